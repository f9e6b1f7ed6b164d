package quota

import (
	"time"
)

// want starts requesting tokens from peers if the account lacks any.
func (h *Holder) want(now time.Duration, a *account) {
	if a.need != nil || a.missing() == 0 {
		return
	}
	timer := backoff{initial: h.cfg.AskInterval, max: h.cfg.MaxAskInterval, fixed: h.cfg.FixedRetransmission}
	a.need = &need{next: now, timer: timer}
	h.needs = append(h.needs, a)
}

// stepNeeds ends requests that have been met and returns the messages that are due,
// one for each peer.
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

// askShare is the divisor for the minimum share of all peers in each attempt after
// the first: with a quarter each, four attempts, within 2 s, reach all peers.
const askShare = 4

// ask adds the account to the messages to the next peers: at first AskPeers peers,
// the home first, then as many as in all attempts before.
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
	// If more flows arrive than wait at present, the next ones will need tokens
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
	// Every peer now has the request on record. It is repeated after a pause,
	// because a peer that transferred one token may have more by then.
	a.need.asked = 0
	a.need.timer.reset()
	a.need.next = now + h.cfg.MaxAskInterval + scale(h.cfg.MaxAskInterval, spread*h.rng.Float64())
}

// askOrder returns the accepting peers in the order in which tokens are requested
// from them.
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

// askBatch collects the token requests of one step, one message for each peer.
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

// handleAsk transfers tokens to a peer. If the peer wants more than that, its
// request for the rest is kept.
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

// offer returns the number of tokens that may be transferred to a peer: those that
// this holder does not expect to need itself, but at least one spare token, because
// a flow is waiting at the peer.
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
