package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// holdersPerIssue is the number of holders among which new tokens of an account are
// divided; later they move on demand. Dividing them among all holders would take
// one Amount for each account and holder when the first tokens are issued.
const holdersPerIssue = 2

// leaseMargin is the time from the end of a holder's lease until the holder may be
// excluded from recounts. It is needed because clocks may differ in speed.
const leaseMargin = 2 * time.Second

// HolderInfo is the state of one agent of the service in the membership.
type HolderInfo struct {
	Party
	// Accepting is set while the agent is ready to admit flows.
	Accepting bool
	// Gone is set when the holder is considered to have no connections left: its VM
	// has failed, another incarnation runs on it, or the holder has been missing for
	// Config.GoneAfter.
	Gone bool
}

// Grantor is the balancer's part of the protocol for one service: it issues tokens
// up to the limits, takes them back and recounts them.
type Grantor struct {
	cfg     Config
	self    Party
	service packet.ServiceID
	term    int64
	rng     *rand.Rand

	holders []*holderState // in order of arrival
	index   map[Party]int
	ledger  ledger
	recount recount
}

// holderState is the grantor's state of one holder.
type holderState struct {
	HolderInfo
	channel *channel
	// excludableFrom is the time from which the holder may be excluded if it is gone: the
	// end of its lease plus leaseMargin, or the time at which it was superseded by another
	// incarnation. The holder admits nothing new from then on.
	excludableFrom time.Duration
	// excluded is set when recounts no longer include the holder.
	excluded         bool
	lastListed       time.Duration // when the holder was last listed in the membership
	responded        bool          // the holder has sent a message in this term
	nextAnnouncement time.Duration // when this grantor is next announced to the holder
	recall           recallChannel
}

// NewGrantor returns the grantor of a service for one term. The term is the
// revision of the store write that made this process the grantor. The grantor
// issues nothing until it has counted the tokens issued by earlier grantors. now is
// the earliest start of the first recount.
func NewGrantor(now time.Duration, cfg Config, service packet.ServiceID, self Party, term int64, rng *rand.Rand) *Grantor {
	g := &Grantor{
		cfg:     cfg.withDefaults(),
		self:    self,
		service: service,
		term:    term,
		rng:     rng,
		index:   map[Party]int{},
		ledger:  newLedger(),
	}
	g.recount.requestAll(now)
	return g
}

// SetLimits replaces the limits of all customers at the service.
func (g *Grantor) SetLimits(limits []Amount) { g.ledger.setLimits(limits) }

// SetHolders records the listed holders. A known holder that is missing from the
// list keeps its tokens until it is reported as gone, is missing for
// Config.GoneAfter, or another incarnation on the same VM is listed.
func (g *Grantor) SetHolders(now time.Duration, list []HolderInfo) {
	for _, info := range list {
		g.supersede(now, info.Party)
		h := g.holder(now, info.Party)
		h.HolderInfo = info
		h.lastListed = now
	}
}

// supersede marks the other incarnations on the VM of current as gone. They can no
// longer admit anything, so the end of their lease need not be awaited.
func (g *Grantor) supersede(now time.Duration, current Party) {
	for _, h := range g.holders {
		if h.ID == current.ID && h.Incarnation != current.Incarnation && !h.excluded {
			h.Gone, h.Accepting = true, false
			h.excludableFrom = now
		}
	}
}

// holder returns the state of a party and adds the party if it is new.
func (g *Grantor) holder(now time.Duration, p Party) *holderState {
	if i, ok := g.index[p]; ok {
		return g.holders[i]
	}
	h := &holderState{
		HolderInfo:     HolderInfo{Party: p},
		channel:        newChannel(p, &g.cfg),
		excludableFrom: now + g.cfg.Lease + leaseMargin,
		lastListed:     now,
		recall:         newRecallChannel(&g.cfg),
	}
	for _, e := range g.ledger.entries {
		if e.recalled {
			h.recall.set(e.id, true)
		}
	}
	g.index[p] = len(g.holders)
	g.holders = append(g.holders, h)
	return h
}

// Step advances time and returns the messages to send.
func (g *Grantor) Step(now time.Duration) []Message {
	g.excludeGone(now)
	out := g.stepRecount(now)
	g.applyChanges()
	for _, h := range g.holders {
		if h.excluded {
			continue
		}
		out = g.stepHolder(now, h, out)
	}
	return out
}

// excludeGone marks holders as gone that were missing for Config.GoneAfter. It excludes
// holders that are gone from recounts once their lease and leaseMargin have ended, and
// requests a recount of what the others hold.
func (g *Grantor) excludeGone(now time.Duration) {
	for _, h := range g.holders {
		if now >= h.lastListed+g.cfg.GoneAfter {
			h.Gone, h.Accepting = true, false
		}
		if h.Gone && !h.excluded && now >= h.excludableFrom {
			h.excluded = true
			g.recount.requestAll(now)
		}
	}
}

// applyChanges issues or recalls tokens of accounts whose issued count differs from
// the limit.
func (g *Grantor) applyChanges() {
	for _, e := range g.ledger.dueChanges(g.recount.running) {
		g.setRecalled(e, e.issued > e.limit)
		if missing := e.limit - e.issued; missing > 0 {
			g.issue(e, missing)
		}
	}
}

func (g *Grantor) setRecalled(e *entry, recalled bool) {
	if e.recalled == recalled {
		return
	}
	e.recalled = recalled
	for _, h := range g.holders {
		h.recall.set(e.id, recalled)
	}
}

// issue divides new tokens among the accepting holders with the highest home scores
// for the account, because the other holders of a service with homes (usesHomes)
// request tokens there first. The ledger counts the tokens as issued from now on,
// even if they do not arrive.
func (g *Grantor) issue(e *entry, tokens int32) {
	var targets []*holderState
	for _, h := range g.holders {
		if h.Accepting && !h.Gone {
			targets = append(targets, h)
		}
	}
	if len(targets) == 0 {
		g.ledger.markChanged(e)
		return
	}
	slices.SortFunc(targets, func(a, b *holderState) int {
		return cmp.Compare(homeScore(e.id, b.ID), homeScore(e.id, a.ID))
	})
	n := min(int32(holdersPerIssue), int32(len(targets)), tokens)
	for i := range n {
		share := tokens / n
		if i < tokens%n {
			share++
		}
		targets[i].channel.queue(e.id, share)
	}
	e.issued += tokens
}

// stepHolder appends the messages due for one holder.
func (g *Grantor) stepHolder(now time.Duration, h *holderState, out []Message) []Message {
	if !h.responded && now >= h.nextAnnouncement {
		h.nextAnnouncement = now + g.cfg.RetransmitMax
		out = append(out, g.message(MessageRelease, h.Party))
	}
	c := h.channel
	started := c.startBatch(g.cfg.BatchAmounts, func(a Account) bool { return g.recount.running(a.group()) })
	if started || (len(c.outstanding) > 0 && now >= c.resendAt) {
		c.resendAt = now + c.timer.next(g.rng)
		m := g.message(MessageTransfer, h.Party)
		m.Seq = c.seq
		m.Amounts = c.outstanding
		out = append(out, m)
	}
	for _, m := range h.recall.step(now, g.rng) {
		m.Service, m.From, m.To, m.Term = g.service, g.self, h.Party, g.term
		out = append(out, m)
	}
	return out
}

func (g *Grantor) message(kind MessageKind, to Party) Message {
	return Message{Kind: kind, Service: g.service, From: g.self, To: to, Term: g.term}
}

// Handle processes a message from a holder and returns the answers.
func (g *Grantor) Handle(now time.Duration, m Message) []Message {
	if m.To != g.self || m.Service != g.service {
		return nil
	}
	h := g.holder(now, m.From)
	h.responded = true
	switch m.Kind {
	case MessageRenew:
		return g.handleRenew(now, h, &m)
	case MessageTransfer:
		return g.handleReturn(h, &m)
	case MessageTransferAck:
		h.channel.acknowledge(m.Seq)
	case MessageReport:
		g.handleReport(now, &m)
	case MessageRecallAck:
		h.recall.acknowledge(m.Seq)
	}
	return nil
}

// handleRenew extends a holder's lease. A holder that was excluded by mistake is
// recounted before its lease is extended, because its tokens have been issued to
// others. Therefore no lease that has ended is extended while a recount is pending.
func (g *Grantor) handleRenew(now time.Duration, h *holderState, m *Message) []Message {
	if h.excluded {
		h.excluded, h.Gone = false, false
		h.lastListed = now
		g.ledger.exact = 0
		g.recount.requestAll(now)
	}
	if g.recount.pending() && h.excludableFrom <= now {
		return nil
	}
	h.excludableFrom = now + g.cfg.Lease + leaseMargin
	answer := g.message(MessageRenewed, m.From)
	answer.Seq = m.Seq
	return []Message{answer}
}

// handleReturn records tokens that a holder has returned.
func (g *Grantor) handleReturn(h *holderState, m *Message) []Message {
	// The ledger does not include the tokens of an excluded holder.
	if h.excluded {
		return nil
	}
	for _, amount := range m.Amounts {
		if g.recount.running(amount.Account.group()) {
			return nil
		}
	}
	if h.channel.acceptSeq(m.Seq) {
		for _, amount := range m.Amounts {
			g.ledger.recordReturn(amount)
		}
	}
	if m.Seq > h.channel.received {
		return nil
	}
	ack := g.message(MessageTransferAck, m.From)
	ack.Seq = m.Seq
	return []Message{ack}
}

// Issued returns the number of tokens of one account that are issued, and whether
// the count is exact.
func (g *Grantor) Issued(id Account) (int32, bool) {
	if g.ledger.exact&id.group() == 0 {
		return 0, false
	}
	if e := g.ledger.index[id]; e != nil {
		return e.issued, true
	}
	return 0, true
}

// Counted reports whether the issued counts of all accounts are exact.
func (g *Grantor) Counted() bool { return g.ledger.exact == allGroups }
