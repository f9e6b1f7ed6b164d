package quota

import (
	"math"
	"time"
)

// Step advances time and returns the messages to send.
func (h *Holder) Step(now time.Duration) []Message {
	h.freeze.expire(now)
	h.releaseRateTokens(now)
	h.stepWaiting(now)
	out := h.acks
	h.acks = nil
	if h.grantor != (Party{}) && h.lease.due(now) {
		out = append(out, h.renewal(now))
	}
	if h.draining {
		h.transferAllFree(now)
	} else {
		h.transferIdle(now)
	}
	out = append(out, h.stepTokenRequests(now)...)
	return append(out, h.stepChannels(now)...)
}

func (h *Holder) releaseRateTokens(now time.Duration) {
	n := 0
	for n < len(h.rateTokensInUse) && h.rateTokensInUse[n].freeAt <= now {
		h.release(now, h.account(Account{h.rateTokensInUse[n].customer, Rate}))
		n++
	}
	h.rateTokensInUse = h.rateTokensInUse[n:]
}

func (h *Holder) renewal(now time.Duration) Message {
	h.lease.seq++
	h.lease.sentAt = now
	h.lease.resendAt = now + h.lease.timer.next(h.rng)
	m := h.message(MessageRenew, h.grantor)
	m.Seq = h.lease.seq
	m.Term = h.term
	return m
}

// transferIdle transfers tokens without recent demand to the account's home.
func (h *Holder) transferIdle(now time.Duration) {
	if now < h.nextIdleTransfer {
		return
	}
	h.nextIdleTransfer = now + h.cfg.IdleReturnInterval
	accepting := h.acceptingPeers()
	if !h.usesHomes(accepting) {
		return
	}
	for _, a := range h.accounts {
		if a.spare() == 0 || a.recalled || a.recentDemand(now) > 0 {
			continue
		}
		if home, ok := h.home(a.id, accepting); ok {
			h.transfer(a, home, a.spare())
		}
	}
}

// transferAllFree transfers the free tokens of a draining holder to its accepting
// peers in turn.
func (h *Holder) transferAllFree(now time.Duration) {
	accepting := h.acceptingPeers()
	if len(accepting) == 0 {
		return
	}
	for _, a := range h.accounts {
		if a.spare() > 0 {
			h.drainCursor++
			h.transfer(a, accepting[h.drainCursor%len(accepting)], a.spare())
		}
	}
}

// stepChannels starts and retransmits batches.
func (h *Holder) stepChannels(now time.Duration) []Message {
	var out []Message
	for _, p := range h.parties {
		c := h.channels[p]
		started := c.startBatch(h.cfg.BatchAmounts, h.freeze.covers)
		if !started && (len(c.outstanding) == 0 || now < c.resendAt) {
			continue
		}
		c.resendAt = now + c.timer.next(h.rng)
		m := h.message(MessageTransfer, p)
		m.Seq = c.seq
		m.Amounts = c.outstanding
		out = append(out, m)
	}
	return out
}

func (h *Holder) message(kind MessageKind, to Party) Message {
	return Message{Kind: kind, Service: h.service, From: h.self, To: to}
}

// Handle processes a message and returns the answers, except acknowledgements of
// transfers, which the next Step returns. A message to another incarnation, or from
// a grantor with a lower term, is ignored.
func (h *Holder) Handle(now time.Duration, m Message) []Message {
	if m.To != h.self || m.Service != h.service {
		return nil
	}
	if m.Term != 0 && !h.acceptTerm(now, &m) {
		return nil
	}
	switch m.Kind {
	case MessageTransfer:
		return h.handleTransfer(now, &m)
	case MessageTransferAck:
		if c := h.channels[m.From]; c != nil {
			c.acknowledge(m.Seq)
		}
	case MessageTokenRequest:
		h.handleTokenRequest(now, &m)
	case MessageRenewed:
		h.lease.renewed(m.Seq)
	case MessageFreeze:
		return []Message{h.handleFreeze(now, &m)}
	case MessageRelease:
		h.freeze.release(m.Seq)
	case MessageRecall, MessageRecallEnd:
		return []Message{h.handleRecall(&m)}
	}
	return nil
}

// acceptTerm rejects messages with a lower term, and records the sender of a higher
// term as the grantor.
func (h *Holder) acceptTerm(now time.Duration, m *Message) bool {
	if m.Term < h.term {
		return false
	}
	if m.Term > h.term {
		h.SetGrantor(now, m.From, m.Term)
	}
	return true
}

// SetGrantor sets the process that issues tokens, and its term. It is ignored
// unless the term is higher than the current one. Recalls of the earlier grantor
// end, because the new grantor has no record of them.
func (h *Holder) SetGrantor(now time.Duration, grantor Party, term int64) {
	if term <= h.term {
		return
	}
	// A batch that is outstanding to the earlier grantor is lost: the new grantor's
	// recounts do not include its tokens.
	if grantor != h.grantor {
		h.removeChannel(h.grantor)
	}
	h.grantor, h.term = grantor, term
	h.lease.active = false
	h.lease.renewAt = min(h.lease.renewAt, now)
	for _, a := range h.accounts {
		a.recalled = false
	}
	h.freeze = freeze{}
}

func (h *Holder) handleTransfer(now time.Duration, m *Message) []Message {
	for _, amount := range m.Amounts {
		// No acknowledgement is sent, so the sender retransmits the batch after the
		// recount.
		if h.freeze.covers(amount.Account) {
			return nil
		}
	}
	c := h.channel(m.From)
	if c.acceptSeq(m.Seq) {
		h.add(now, m.Amounts)
	}
	if m.Seq > c.received {
		return nil
	}
	ack := h.message(MessageTransferAck, m.From)
	ack.Seq = m.Seq
	h.acks = append(h.acks, ack)
	return nil
}

func (h *Holder) add(now time.Duration, amounts []Amount) {
	for _, amount := range amounts {
		a := h.account(amount.Account)
		// Tokens beyond the range of a count, which no limit allows, are lost.
		a.held += min(amount.Tokens, math.MaxInt32-a.held)
		a.check()
		if a.recalled {
			h.returnFreeTokens(a)
			continue
		}
		h.assignFreed(now, a)
	}
}

func (h *Holder) handleRecall(m *Message) Message {
	for _, amount := range m.Amounts {
		a := h.account(amount.Account)
		a.recalled = m.Kind == MessageRecall
		if a.recalled {
			h.returnFreeTokens(a)
		}
	}
	ack := h.message(MessageRecallAck, m.From)
	ack.Seq = m.Seq
	ack.Term = m.Term
	return ack
}
