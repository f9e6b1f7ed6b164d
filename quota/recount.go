package quota

import (
	"time"
)

// recount counts the tokens of one group at a time while the group's transfers
// are stopped at every holder.
type recount struct {
	wanted [groups]bool
	active bool
	group  uint8
	seq    uint64
	start  time.Duration // when the first freeze message was sent
	resend time.Duration
	next   time.Duration // earliest start of the next recount
	cursor uint8
	// reports holds the answers by holder.
	reports map[Party]*Message
}

func (r *recount) requestAll(now time.Duration) {
	for g := range r.wanted {
		r.wanted[g] = true
	}
	r.next = now
}

// running reports whether the group is being counted.
func (r *recount) running(group uint8) bool { return r.active && r.group == group }

// pending reports whether a group is still to be counted.
func (r *recount) pending() bool {
	for _, wanted := range r.wanted {
		if wanted {
			return true
		}
	}
	return false
}

// nextGroup returns the next wanted group after the last one counted.
func (r *recount) nextGroup() (uint8, bool) {
	for i := range uint8(groups) {
		g := (r.cursor + i) % groups
		if r.wanted[g] {
			return g, true
		}
	}
	return 0, false
}

// stepRecount starts, repeats or gives up a recount.
func (g *Grantor) stepRecount(now time.Duration) []Message {
	r := &g.recount
	if r.active && now >= r.start+g.cfg.RecountTimeout/2 {
		return g.endRecount(now)
	}
	if r.active {
		if now < r.resend {
			return nil
		}
		r.resend = now + g.cfg.RetransmitInitial
		return g.freezeMessages()
	}
	if now < r.next {
		return nil
	}
	group, ok := r.nextGroup()
	if !ok {
		return nil
	}
	r.active, r.group, r.start = true, group, now
	r.seq++
	r.cursor = (group + 1) % groups
	r.reports = map[Party]*Message{}
	r.resend = now + g.cfg.RetransmitInitial
	return g.freezeMessages()
}

// freezeMessages asks every holder that has not reported yet.
func (g *Grantor) freezeMessages() []Message {
	var out []Message
	for _, h := range g.holders {
		if h.writtenOff || g.recount.reports[h.Party] != nil {
			continue
		}
		m := g.message(MessageFreeze, h.Party)
		m.Seq = g.recount.seq
		m.Group = g.recount.group
		out = append(out, m)
	}
	return out
}

// endRecount lets the holders transfer again.
func (g *Grantor) endRecount(now time.Duration) []Message {
	g.recount.active = false
	g.recount.next = now + g.cfg.RecountInterval
	var out []Message
	for _, h := range g.holders {
		if h.writtenOff {
			continue
		}
		m := g.message(MessageRelease, h.Party)
		m.Seq = g.recount.seq
		out = append(out, m)
	}
	return out
}

// handleReport keeps a holder's report, and evaluates the recount once all have
// reported. Holders stay frozen for RecountTimeout from a time not before start,
// so reports that are complete within half of it describe one instant.
func (g *Grantor) handleReport(now time.Duration, m *Message) {
	r := &g.recount
	if !r.active || m.Seq != r.seq || now >= r.start+g.cfg.RecountTimeout/2 {
		return
	}
	r.reports[m.From] = m
	for _, ch := range m.Channels {
		g.noteParty(now, ch.Peer)
	}
	if len(g.holders) == 0 {
		return
	}
	for _, h := range g.holders {
		if !h.writtenOff && r.reports[h.Party] == nil {
			return
		}
	}
	r.wanted[r.group] = false
	g.ledger.recounted(r.group, g.countTokens())
	// The next step releases the holders.
	r.start = now - g.cfg.RecountTimeout
}

// noteParty adds a holder that only other holders know of, so that the recount
// does not miss tokens that were transferred to it.
func (g *Grantor) noteParty(now time.Duration, p Party) {
	if p == g.self {
		return
	}
	if _, ok := g.index[p]; ok {
		return
	}
	h := g.holder(now, p)
	for _, other := range g.holders {
		if other.ID == p.ID && other.Incarnation != p.Incarnation && !other.Gone {
			h.Gone = true
		}
	}
}

// countTokens adds up the tokens of the group that the reports show: held, or in
// a batch that its receiver has not added yet. What is in transit to a holder
// that was written off is lost with it.
func (g *Grantor) countTokens() map[Account]int32 {
	counts := map[Account]int32{}
	for _, h := range g.holders {
		if m := g.recount.reports[h.Party]; m != nil {
			addAmounts(counts, m.Amounts)
			g.addInTransit(counts, m)
		}
		g.addIssues(counts, h)
	}
	return counts
}

func (g *Grantor) addInTransit(counts map[Account]int32, m *Message) {
	for _, ch := range m.Channels {
		if len(ch.Outstanding) == 0 {
			continue
		}
		if ch.Peer == g.self {
			// Counted unless this grantor has booked the return already.
			if g.holders[g.index[m.From]].channel.received < ch.OutstandingSeq {
				addAmounts(counts, ch.Outstanding)
			}
			continue
		}
		receiver := g.recount.reports[ch.Peer]
		if receiver != nil && receivedFrom(receiver, m.From) < ch.OutstandingSeq {
			addAmounts(counts, ch.Outstanding)
		}
	}
}

// addIssues counts tokens that this grantor has queued or sent and that the
// holder has not added yet.
func (g *Grantor) addIssues(counts map[Account]int32, h *holderState) {
	if h.writtenOff {
		return
	}
	for _, id := range h.channel.order {
		if id.group() == g.recount.group {
			counts[id] += h.channel.queued[id]
		}
	}
	m := g.recount.reports[h.Party]
	if m == nil || receivedFrom(m, g.self) >= h.channel.seq {
		return
	}
	for _, amount := range h.channel.outstanding {
		if amount.Account.group() == g.recount.group {
			counts[amount.Account] += amount.Tokens
		}
	}
}

func receivedFrom(m *Message, peer Party) uint64 {
	for _, ch := range m.Channels {
		if ch.Peer == peer {
			return ch.ReceivedSeq
		}
	}
	return 0
}

func addAmounts(counts map[Account]int32, amounts []Amount) {
	for _, a := range amounts {
		counts[a.Account] += a.Tokens
	}
}
