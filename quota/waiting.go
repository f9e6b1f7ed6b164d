package quota

import (
	"time"
)

// Decision is the result for a flow for which Admit returned Waiting.
type Decision struct {
	Customer uint64
	Flow     uint64
	Verdict  Verdict // Admitted or NoTokens
}

// customer is the state of one customer: its accounts for connections and the flows
// that wait for tokens.
type customer struct {
	connections, rate *account
	waiting           []waitingFlow
	enqueued          bool // in Holder.waitingCustomers
}

type waitingFlow struct {
	flow  uint64
	until time.Duration
}

func (h *Holder) customer(id uint64) *customer {
	c := h.customers[id]
	if c == nil {
		c = &customer{
			connections: h.account(Account{id, Connections}),
			rate:        h.account(Account{id, Rate}),
		}
		h.customers[id] = c
	}
	return c
}

// takeTokens takes a Connections and a Rate token if both are free and neither account is
// recalled.
func (h *Holder) takeTokens(now time.Duration, c *customer) bool {
	if c.connections.recalled || c.rate.recalled || c.connections.free() == 0 || c.rate.free() == 0 {
		return false
	}
	c.connections.used++
	c.rate.used++
	h.rateTokensInUse = append(h.rateTokensInUse, rateTokenUse{now + rateTokenDuration, c.rate.id.Customer})
	c.connections.check()
	c.rate.check()
	return true
}

// enqueue queues a flow and requests the tokens that it lacks from peers.
func (h *Holder) enqueue(now time.Duration, c *customer, flow uint64) {
	c.waiting = append(c.waiting, waitingFlow{flow, now + h.cfg.MaxWait})
	if !c.enqueued {
		c.enqueued = true
		h.waitingCustomers = append(h.waitingCustomers, c)
	}
	h.updateWaiting(now, c)
}

// updateWaiting sets the number of waiting flows in the accounts, and requests the
// tokens that they lack from peers.
func (h *Holder) updateWaiting(now time.Duration, c *customer) {
	n := int32(len(c.waiting))
	c.connections.waitingFlows, c.rate.waitingFlows = n, n
	h.startTokenRequest(now, c.connections)
	h.startTokenRequest(now, c.rate)
}

// admitWaiting admits waiting flows while tokens are free, in order of arrival.
func (h *Holder) admitWaiting(now time.Duration, c *customer) {
	if !h.lease.valid(now) {
		return
	}
	for len(c.waiting) > 0 && h.takeTokens(now, c) {
		h.decide(c, Admitted)
	}
	h.updateWaiting(now, c)
}

// decide removes the first waiting flow from the queue and records its verdict.
func (h *Holder) decide(c *customer, v Verdict) {
	h.decisions = append(h.decisions, Decision{c.rate.id.Customer, c.waiting[0].flow, v})
	c.waiting = c.waiting[1:]
}

// stepWaiting refuses flows that have waited for Config.MaxWait.
func (h *Holder) stepWaiting(now time.Duration) {
	kept := h.waitingCustomers[:0]
	for _, c := range h.waitingCustomers {
		for len(c.waiting) > 0 && now >= c.waiting[0].until {
			h.decide(c, NoTokens)
		}
		h.updateWaiting(now, c)
		if len(c.waiting) == 0 {
			c.enqueued = false
			continue
		}
		kept = append(kept, c)
	}
	clear(h.waitingCustomers[len(kept):])
	h.waitingCustomers = kept
}

// Decisions returns the decisions on waiting flows since the last call.
func (h *Holder) Decisions() []Decision {
	d := h.decisions
	h.decisions = nil
	return d
}
