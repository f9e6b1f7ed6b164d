package quota

import (
	"time"
)

// want notes that the account needs tokens from peers.
func (h *Holder) want(now time.Duration, a *account) {
	if a.need != nil || a.missing() == 0 {
		return
	}
	timer := backoff{initial: h.cfg.AskInterval, max: h.cfg.MaxAskInterval, fixed: h.cfg.FixedRetransmission}
	a.need = &need{next: now, timer: timer}
	h.needs = append(h.needs, a)
}

// stepNeeds ends needs that were met and returns the asks that are due, one
// message for each peer.
func (h *Holder) stepNeeds(now time.Duration) []Message {
	asks := askBatch{holder: h}
	kept := h.needs[:0]
	for _, a := range h.needs {
		if a.id.Kind == Requests && now >= a.flowsUntil {
			a.flows = 0
			h.freed(now, a)
		}
		if a.recalled || a.missing() == 0 {
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

// askShare is the part of all peers that each ask after the first reaches at
// least, so that four attempts, within 2 s, reach all of them.
const askShare = 4

// ask adds the account to the messages of the next peers: first the home, then
// as many as all before.
func (h *Holder) ask(now time.Duration, a *account, asks *askBatch) {
	if a.need.asked == 0 {
		a.need.peers = h.askOrder(a.id)
	}
	accepting := a.need.peers
	if len(accepting) == 0 {
		a.need.next = now + h.cfg.MaxAskInterval
		return
	}
	count := h.cfg.AskPeers
	if a.need.asked > 0 {
		count = max(a.need.asked, len(accepting)/askShare)
	}
	count = min(count, len(accepting)-a.need.asked)
	// Where more flows arrive than wait at the moment, the next ones need tokens
	// soon.
	wanted := a.missing() + min(a.recent(now), a.missing())
	for i := range count {
		asks.add(accepting[a.need.asked+i], a, wanted)
	}
	a.need.asked += count
	if a.need.asked < len(accepting) {
		a.need.next = now + a.need.timer.next(h.rng)
		return
	}
	// Every peer now remembers the ask. It is repeated after a pause, because a peer
	// that gave one token may have more by then.
	a.need.asked = 0
	a.need.timer.reset()
	a.need.next = now + h.cfg.MaxAskInterval + scale(h.cfg.MaxAskInterval, spread*h.rng.Float64())
}

// askOrder returns the peers in the order in which they are asked.
func (h *Holder) askOrder(a Account) []Party {
	accepting := h.acceptingPeers()
	if h.usesHomes(accepting) {
		return rank(a, accepting)
	}
	h.rng.Shuffle(len(accepting), func(i, j int) {
		accepting[i], accepting[j] = accepting[j], accepting[i]
	})
	return accepting
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

// askBatch collects the asks of one step, one message for each peer.
type askBatch struct {
	holder   *Holder
	messages []Message
}

func (b *askBatch) add(to Party, a *account, wanted int32) {
	amount := Amount{a.id, wanted}
	for i := range b.messages {
		m := &b.messages[i]
		if m.To == to {
			m.Amounts = append(m.Amounts, amount)
			return
		}
	}
	m := b.holder.message(MessageAsk, to)
	m.Amounts = []Amount{amount}
	b.messages = append(b.messages, m)
}

// handleAsk gives tokens to a peer, and remembers it when it wants more than that.
func (h *Holder) handleAsk(now time.Duration, m *Message) {
	for _, wanted := range m.Amounts {
		a := h.account(wanted.Account)
		a.dropWaiter(m.From)
		tokens := h.offer(now, a, wanted.Tokens)
		h.give(a, m.From, tokens)
		if missing := wanted.Tokens - tokens; missing > 0 {
			a.addWaiter(waiter{m.From, missing, now + h.cfg.WaitingTime})
		}
	}
}

// offer returns how many tokens may go to a peer: what this holder does not expect
// to need itself, but at least one spare token, because a flow waits for it there.
func (h *Holder) offer(now time.Duration, a *account, wanted int32) int32 {
	if a.recalled {
		return 0
	}
	above := a.spare()
	if !h.draining {
		above = a.spare() - a.recent(now)
	}
	return min(wanted, max(above, 1), a.spare())
}
