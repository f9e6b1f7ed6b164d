package quota

import (
	"time"
)

// recount counts the tokens of some groups at a time while all holders have
// suspended the transfers of these groups.
type recount struct {
	wanted    uint64 // groups to be counted
	groups    uint64 // groups being counted; 0 when none
	seq       uint64
	start     time.Duration // when the first freeze message was sent
	complete  bool          // all holders have reported; the next step releases them
	resendAt  time.Duration
	nextStart time.Duration // earliest start of the next recount
	pause     time.Duration // before the next recount; increases while holders do not answer
	cursor    int           // group from which the next recount is chosen
	// reports holds the reports received so far.
	reports map[Party]*Message
}

func (r *recount) requestAll(now time.Duration) {
	r.wanted = allGroups
	r.nextStart = now
}

// running reports whether the group is being counted.
func (r *recount) running(group uint64) bool { return r.groups&group != 0 }

// pending reports whether any group is still to be counted.
func (r *recount) pending() bool { return r.wanted != 0 }

// nextGroups chooses wanted groups, starting after those chosen last, with at most
// RecountAccounts accounts in total, but at least one group if any is wanted.
func (g *Grantor) nextGroups() uint64 {
	r := &g.recount
	var sizes [groupCount]int
	for _, e := range g.ledger.entries {
		sizes[e.id.Customer%groupCount]++
	}
	chosen, total := uint64(0), 0
	for range groupCount {
		size := sizes[r.cursor]
		if chosen != 0 && total+size > g.cfg.RecountAccounts {
			break
		}
		if bit := uint64(1) << r.cursor; r.wanted&bit != 0 {
			chosen |= bit
			total += size
		}
		r.cursor = (r.cursor + 1) % groupCount
	}
	return chosen
}

const (
	// resendsPerTimeout is the divisor of RecountTimeout that gives the interval at
	// which unanswered freeze messages are retransmitted.
	resendsPerTimeout = 10
	// maxPauseFactor is the maximum pause between recounts, in multiples of
	// RecountInterval.
	maxPauseFactor = 8
)

// stepRecount starts a recount, retransmits its freeze messages, or ends it when it
// is complete or has timed out.
func (g *Grantor) stepRecount(now time.Duration) []Message {
	r := &g.recount
	if r.groups != 0 && (r.complete || now >= r.start+g.cfg.RecountTimeout/2) {
		return g.endRecount(now)
	}
	if r.groups != 0 {
		if now < r.resendAt {
			return nil
		}
		r.resendAt = now + g.cfg.RecountTimeout/resendsPerTimeout
		return g.freezeMessages()
	}
	if now < r.nextStart || !r.pending() {
		return nil
	}
	r.groups, r.start, r.complete = g.nextGroups(), now, false
	r.seq++
	r.reports = map[Party]*Message{}
	r.resendAt = now + g.cfg.RecountTimeout/resendsPerTimeout
	return g.freezeMessages()
}

// freezeMessages returns a freeze message for every holder that has not reported
// yet.
func (g *Grantor) freezeMessages() []Message {
	var out []Message
	for _, h := range g.holders {
		if h.excluded || g.recount.reports[h.Party] != nil {
			continue
		}
		m := g.message(MessageFreeze, h.Party)
		m.Seq = g.recount.seq
		m.Groups = g.recount.groups
		out = append(out, m)
	}
	return out
}

// endRecount ends the recount and releases the holders, so that they resume
// transfers.
func (g *Grantor) endRecount(now time.Duration) []Message {
	r := &g.recount
	// Transfers of the groups are suspended during each recount, so recounts that
	// cannot succeed have to be rare.
	if r.wanted&r.groups != 0 {
		r.pause = min(2*max(r.pause, g.cfg.RecountInterval), maxPauseFactor*g.cfg.RecountInterval)
	} else {
		r.pause = g.cfg.RecountInterval
	}
	r.groups = 0
	r.nextStart = now + r.pause
	var out []Message
	for _, h := range g.holders {
		if h.excluded {
			continue
		}
		m := g.message(MessageRelease, h.Party)
		m.Seq = g.recount.seq
		out = append(out, m)
	}
	return out
}

// handleReport stores a holder's report, and evaluates the recount when all holders
// have reported. A holder stays frozen for RecountTimeout from the first freeze
// message that it receives, thus at least until recount.start+RecountTimeout. All
// holders are therefore still frozen when the last report arrives, at half of that
// time or earlier, and the reports describe the same instant.
func (g *Grantor) handleReport(now time.Duration, m *Message) {
	r := &g.recount
	if r.groups == 0 || r.complete || m.Seq != r.seq || now >= r.start+g.cfg.RecountTimeout/2 {
		return
	}
	r.reports[m.From] = m
	for _, ch := range m.Channels {
		g.addReportedParty(now, ch.Peer)
	}
	if len(g.holders) == 0 {
		return
	}
	for _, h := range g.holders {
		if !h.excluded && r.reports[h.Party] == nil {
			return
		}
	}
	r.wanted &^= r.groups
	g.ledger.setCounts(r.groups, g.countTokens())
	r.complete = true
}

// addReportedParty adds a holder that only other holders have reported, so that the
// recount includes tokens that were transferred to it. If another incarnation on its
// VM is known and not gone, the reported one is considered earlier, and gone.
func (g *Grantor) addReportedParty(now time.Duration, p Party) {
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
			h.excludableFrom = now
		}
	}
}

// countTokens sums the tokens of the groups in all reports: held, or in a batch
// that its receiver has not added yet. Tokens in transit to a holder that was
// excluded are lost with that holder.
func (g *Grantor) countTokens() map[Account]int32 {
	counts := map[Account]int32{}
	for _, h := range g.holders {
		if m := g.recount.reports[h.Party]; m != nil {
			addAmounts(counts, m.Amounts)
			g.addTransfersInTransit(counts, m)
		}
		g.addIssuesInTransit(counts, h)
	}
	return counts
}

func (g *Grantor) addTransfersInTransit(counts map[Account]int32, m *Message) {
	for _, ch := range m.Channels {
		if len(ch.Outstanding) == 0 {
			continue
		}
		if ch.Peer == g.self {
			// Counted unless this grantor has already recorded the return.
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

// addIssuesInTransit counts tokens that this grantor has queued for or sent to the
// holder and that the holder has not added yet.
func (g *Grantor) addIssuesInTransit(counts map[Account]int32, h *holderState) {
	if h.excluded {
		return
	}
	for _, id := range h.channel.order {
		if g.recount.running(id.group()) {
			counts[id] += h.channel.queued[id]
		}
	}
	m := g.recount.reports[h.Party]
	if m == nil || receivedFrom(m, g.self) >= h.channel.seq {
		return
	}
	for _, amount := range h.channel.outstanding {
		if g.recount.running(amount.Account.group()) {
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
