package quota

import (
	"time"
)

// startTokenRequest starts requesting tokens from peers if the account lacks any.
func (h *Holder) startTokenRequest(now time.Duration, a *account) {
	if a.tokenRequest != nil || a.missing() == 0 {
		return
	}
	timer := backoff{initial: h.cfg.TokenRequestInterval, max: h.cfg.MaxTokenRequestInterval, fixed: h.cfg.FixedRetransmission}
	a.tokenRequest = &tokenRequest{resendAt: now, timer: timer}
	h.requesting = append(h.requesting, a)
}

// stepTokenRequests ends the token requests of accounts that lack no token or are
// recalled, and returns the messages that are due, one for each peer.
func (h *Holder) stepTokenRequests(now time.Duration) []Message {
	batch := requestBatch{holder: h}
	kept := h.requesting[:0]
	for _, a := range h.requesting {
		if a.id.Kind == Requests && now >= a.waitingUntil {
			a.waitingFlows = 0
			h.assignFreed(now, a)
		}
		if a.recalled || a.missing() == 0 {
			a.tokenRequest = nil
			continue
		}
		kept = append(kept, a)
		if now >= a.tokenRequest.resendAt {
			h.requestTokens(now, a, &batch)
		}
	}
	clear(h.requesting[len(kept):])
	h.requesting = kept
	return batch.messages
}

// minShareDivisor sets the minimum number of peers contacted by each attempt after
// the first: the number of all peers divided by minShareDivisor. With a quarter,
// four attempts including the first reach all peers, within 2 s by default.
const minShareDivisor = 4

// requestTokens adds the account to the messages to the next peers in the order of
// requestOrder. The first attempt contacts TokenRequestPeers peers; each further one
// contacts as many as all earlier ones, or the minimum by minShareDivisor.
func (h *Holder) requestTokens(now time.Duration, a *account, batch *requestBatch) {
	if a.tokenRequest.contacted == 0 {
		a.tokenRequest.peers = h.requestOrder(a.id)
	}
	accepting := a.tokenRequest.peers
	if len(accepting) == 0 {
		a.tokenRequest.resendAt = now + h.cfg.MaxTokenRequestInterval
		return
	}
	count := h.cfg.TokenRequestPeers
	if a.tokenRequest.contacted > 0 {
		count = max(a.tokenRequest.contacted, len(accepting)/minShareDivisor)
	}
	count = min(count, len(accepting)-a.tokenRequest.contacted)
	// Recent demand shows how many flows to expect next. Tokens for them are requested
	// as well, at most as many as are missing now.
	wanted := a.missing() + min(a.recentDemand(now), a.missing())
	for i := range count {
		batch.add(accepting[a.tokenRequest.contacted+i], a, wanted)
	}
	a.tokenRequest.contacted += count
	if a.tokenRequest.contacted < len(accepting) {
		a.tokenRequest.resendAt = now + a.tokenRequest.timer.next(h.rng)
		return
	}
	// The request has now been sent to every peer. The holder repeats it after a
	// pause, because a peer that transferred one token may have more by then.
	a.tokenRequest.contacted = 0
	a.tokenRequest.timer.reset()
	a.tokenRequest.resendAt = now + h.cfg.MaxTokenRequestInterval + scale(h.cfg.MaxTokenRequestInterval, jitter*h.rng.Float64())
}

// requestOrder returns the accepting peers in the order in which tokens are
// requested from them.
func (h *Holder) requestOrder(a Account) []Party {
	accepting := h.acceptingPeers()
	if h.usesHomes(accepting) {
		return byHomeScore(a, accepting)
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

// requestBatch collects the token requests of one step, one message for each peer.
type requestBatch struct {
	holder   *Holder
	messages []Message
}

func (b *requestBatch) add(to Party, a *account, wanted int32) {
	amount := Amount{a.id, wanted}
	for i := range b.messages {
		m := &b.messages[i]
		if m.To == to {
			m.Amounts = append(m.Amounts, amount)
			return
		}
	}
	m := b.holder.message(MessageTokenRequest, to)
	m.Amounts = []Amount{amount}
	b.messages = append(b.messages, m)
}

// handleTokenRequest transfers tokens to a peer. If the peer wants more than that,
// its request for the rest is kept.
func (h *Holder) handleTokenRequest(now time.Duration, m *Message) {
	for _, wanted := range m.Amounts {
		a := h.account(wanted.Account)
		a.removeWaitingPeer(m.From)
		tokens := h.transferable(now, a, wanted.Tokens)
		h.transfer(a, m.From, tokens)
		if missing := wanted.Tokens - tokens; missing > 0 {
			a.addWaitingPeer(waitingPeer{m.From, missing, now + h.cfg.TokenRequestTTL})
		}
	}
}

// transferable returns the number of tokens that may be transferred to a peer:
// those that this holder does not expect to need itself, but at least one spare
// token, because a flow is waiting at the peer.
func (h *Holder) transferable(now time.Duration, a *account, wanted int32) int32 {
	if a.recalled {
		return 0
	}
	surplus := a.spare()
	if !h.draining {
		surplus = a.spare() - a.recentDemand(now)
	}
	return min(wanted, max(surplus, 1), a.spare())
}
