package quota

import (
	"time"
)

// needTime is how long a need lasts after the last unmet demand.
const needTime = 3 * time.Second

// want notes that the account needs tokens from peers.
func (h *Holder) want(now time.Duration, a *account, urgent bool) {
	if a.need == nil {
		timer := backoff{initial: h.cfg.AskInterval, max: h.cfg.MaxAskInterval, fixed: h.cfg.FixedRetransmission}
		a.need = &need{next: now, timer: timer}
		h.needs = append(h.needs, a)
	}
	if urgent && !a.need.urgent {
		a.need.urgent = true
		a.need.next = now
	}
	a.need.until = now + needTime
}

// stepNeeds ends needs that were met or have expired and returns the asks that
// are due, one message for each peer.
func (h *Holder) stepNeeds(now time.Duration) []Message {
	asks := askBatch{holder: h}
	kept := h.needs[:0]
	for _, a := range h.needs {
		if a.recalled || now >= a.need.until || a.free() > a.recent(now)/2 {
			a.need = nil
			continue
		}
		kept = append(kept, a)
		if now >= a.need.next {
			h.ask(now, a, &asks)
		}
	}
	clear(h.needs[len(kept):])
	h.needs = kept
	return asks.messages
}

// ask adds the account to the messages of the next peers. Each attempt asks twice
// as many peers, so that 70 peers have been asked within 2 s.
func (h *Holder) ask(now time.Duration, a *account, asks *askBatch) {
	accepting := h.acceptingPeers()
	if len(accepting) == 0 {
		a.need.next = now + h.cfg.MaxAskInterval
		return
	}
	count := max(h.cfg.AskPeers, a.need.asked)
	count = min(count, len(accepting)-a.need.asked)
	wanted := max(1, a.recent(now))
	for range count {
		h.cursor++
		asks.add(accepting[h.cursor%len(accepting)], a, wanted)
	}
	a.need.asked += count
	if a.need.asked < len(accepting) {
		a.need.next = now + a.need.timer.next(h.rng)
		return
	}
	// Every peer now remembers the ask for WaitingTime; it is repeated before that
	// ends.
	a.need.asked = 0
	a.need.timer.reset()
	a.need.next = now + h.cfg.WaitingTime*3/4 + scale(h.cfg.WaitingTime/4, spread*h.rng.Float64())
}

func (h *Holder) acceptingPeers() []Party {
	var list []Party
	for _, p := range h.peers {
		if p.Accepting {
			list = append(list, p.Party)
		}
	}
	return list
}

// askBatch collects the asks of one step, one message for each peer and urgency.
type askBatch struct {
	holder   *Holder
	messages []Message
}

func (b *askBatch) add(to Party, a *account, wanted int32) {
	amount := Amount{a.id, wanted}
	for i := range b.messages {
		m := &b.messages[i]
		if m.To == to && m.Urgent == a.need.urgent {
			m.Amounts = append(m.Amounts, amount)
			return
		}
	}
	m := b.holder.message(MessageAsk, to)
	m.Urgent = a.need.urgent
	m.Amounts = []Amount{amount}
	b.messages = append(b.messages, m)
}

// handleAsk gives tokens to a peer, or remembers it until one becomes free.
func (h *Holder) handleAsk(now time.Duration, m *Message) {
	for _, wanted := range m.Amounts {
		a := h.account(wanted.Account)
		tokens := h.spare(now, a, wanted.Tokens, m.Urgent)
		if tokens > 0 {
			h.give(a, m.From, tokens)
			continue
		}
		if m.Urgent {
			a.addWaiter(m.From, now+h.cfg.WaitingTime)
		}
	}
}

// spare returns how many tokens may go to a peer: half of what this holder does
// not expect to need itself, and for an urgent ask at least one free token.
func (h *Holder) spare(now time.Duration, a *account, wanted int32, urgent bool) int32 {
	if a.recalled || a.free() <= 0 {
		return 0
	}
	above := a.free() - a.recent(now)
	if h.draining {
		above = a.free()
	}
	tokens := min(wanted, (above+1)/2)
	if urgent {
		tokens = max(tokens, 1)
	}
	return max(tokens, 0)
}
