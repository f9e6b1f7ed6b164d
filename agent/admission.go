package agent

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/quota"
)

// admission admits a flow if the quota.Holder has a free token for the flow's customer and
// a current lease. It also buffers the first packets of waiting flows. It is guarded by
// flows.mu.
type admission struct {
	holder    *quota.Holder
	customers map[uint64]bool    // customers whose tokens have been used, requested or received
	buffered  map[uint64][]byte  // first packets of flows that wait for a token or a slot, by flow number
	decisions []quota.Decision   // pending, oldest first
	leaseLog  *daemon.LogLimiter // logs refusals for lack of a lease
	draining  bool

	admitted, waited              metrics.Counter // flows; waited: for a token
	noCustomer, noLease, noTokens metrics.Counter
}

func newAdmission(holder *quota.Holder, r metrics.Registry, leaseLog *daemon.LogLimiter) *admission {
	return &admission{
		holder:     holder,
		customers:  make(map[uint64]bool),
		buffered:   make(map[uint64][]byte),
		leaseLog:   leaseLog,
		admitted:   metrics.NewRegisteredCounter("admission.admitted", r),
		waited:     metrics.NewRegisteredCounter("admission.waited", r),
		noCustomer: metrics.NewRegisteredCounter("admission.refused.no_customer", r),
		noLease:    metrics.NewRegisteredCounter("admission.refused.no_lease", r),
		noTokens:   metrics.NewRegisteredCounter("admission.refused.no_tokens", r),
	}
}

// Admit implements flow.Admission.
func (a *admission) Admit(now time.Duration, customer, number uint64) flow.Verdict {
	if customer == 0 {
		a.noCustomer.Inc(1)
		return flow.Refused
	}
	a.customers[customer] = true
	verdict := a.holder.Admit(now, customer, number)
	if verdict == quota.Waiting {
		a.waited.Inc(1)
		return flow.Waiting
	}
	return a.count(verdict)
}

// count counts a final verdict and converts it to a flow.Verdict.
func (a *admission) count(v quota.Verdict) flow.Verdict {
	switch v {
	case quota.Admitted:
		a.admitted.Inc(1)
		return flow.Admitted
	case quota.NoLease:
		a.noLease.Inc(1)
		if !a.draining {
			a.leaseLog.Log()
		}
	default:
		a.noTokens.Inc(1)
	}
	return flow.Refused
}

// drain makes the holder refuse new flows and give its free tokens to peers.
func (a *admission) drain() {
	a.draining = true
	a.holder.SetDraining()
}

// Release implements flow.Admission.
func (a *admission) Release(now time.Duration, customer uint64) { a.holder.Release(now, customer) }

// buffer keeps a copy of the first packet of a flow that waits for a token or a slot.
func (a *admission) buffer(number uint64, raw []byte) {
	a.buffered[number] = append([]byte(nil), raw...)
}

// discardDecided discards the buffered packets of flows that no longer wait.
func (a *admission) discardDecided(t *flow.Table) {
	for number := range a.buffered {
		if !t.IsWaiting(number) {
			delete(a.buffered, number)
		}
	}
}

// handle passes a message to the holder and returns its replies.
func (a *admission) handle(now time.Duration, m quota.Message) []quota.Message {
	for _, amount := range m.Amounts {
		a.customers[amount.Account.Customer] = true
	}
	return a.holder.Handle(now, m)
}

// nextDecision returns the next pending decision on a flow that waits for a token.
func (a *admission) nextDecision() (quota.Decision, bool) {
	a.decisions = append(a.decisions, a.holder.Decisions()...)
	if len(a.decisions) == 0 {
		return quota.Decision{}, false
	}
	d := a.decisions[0]
	a.decisions = a.decisions[1:]
	return d, true
}

// applyDecision applies a decision on a flow that waited for a token, and sends or drops
// the buffered first packet of the flow.
func (r *reader) applyDecision(now time.Duration, t *flow.Table, i int, d quota.Decision) {
	action, h := t.Decide(now, d.Customer, d.Flow, r.agent.admission.count(d.Verdict))
	r.sendBuffered(i, d.Flow, action, &h)
}

// sendBuffered applies an action to the buffered first packet of a flow that has waited.
func (r *reader) sendBuffered(i int, number uint64, action flow.Action, h *packet.Header) {
	raw := r.agent.admission.buffered[number]
	delete(r.agent.admission.buffered, number)
	// Parsing succeeded on arrival, so that an error is not expected here.
	if raw == nil || r.agent.format().Parse(raw, &r.info) != nil {
		return
	}
	switch action.Kind {
	case flow.Deliver:
		r.deliver(h, raw)
		if action.Hint {
			r.sendHints(h, i, action.ExtraHints)
		}
	case flow.Forward:
		framed := make([]byte, packet.HeaderSize+len(raw))
		h.Put(framed)
		copy(framed[packet.HeaderSize:], raw)
		r.outgoing.Add(framed, action.Addr)
		r.counts.forwarded++
	case flow.Reset:
		r.counts.dropped[action.Reason]++
		r.agent.queueReset(r.outgoing, &r.info, &r.counts)
	default:
		r.counts.dropped[action.Reason]++
	}
}

// admitWaiting ends the wait, for a slot or of an evacuated upstream also for a token, of the flows that the flow table selects now.
func (a *Agent) admitWaiting() {
	a.sendDeferred(func(r *reader, now time.Duration, t *flow.Table) bool {
		for i := range packetio.BatchSize {
			number, action, h := t.NextWaiting(now)
			if number == 0 {
				a.admission.discardDecided(t)
				a.urgent.wakeDue(t)
				return false
			}
			r.sendBuffered(i, number, action, &h)
			a.waitTime.Update(int64(action.Waited))
			a.logFirstPacket(now, t, &r.info, &h, &action, action.Waited)
		}
		return true
	})
}
