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

// admission admits flows with the tokens of a quota.Holder. It is used under the
// lock of flows.
type admission struct {
	holder    *quota.Holder
	customers map[uint64]bool    // customers whose tokens have been used, asked for or received
	kept      map[uint64][]byte  // first packets of waiting flows by number
	decisions []quota.Decision   // not yet executed
	lease     *daemon.LogLimiter // logs refusals without a lease
	draining  bool

	admitted, waited              metrics.Counter
	noCustomer, noLease, noTokens metrics.Counter
}

func newAdmission(holder *quota.Holder, r metrics.Registry, lease *daemon.LogLimiter) *admission {
	return &admission{
		holder:     holder,
		customers:  make(map[uint64]bool),
		kept:       make(map[uint64][]byte),
		lease:      lease,
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

// count counts a final verdict and converts it.
func (a *admission) count(v quota.Verdict) flow.Verdict {
	switch v {
	case quota.Admitted:
		a.admitted.Inc(1)
		return flow.Admitted
	case quota.NoLease:
		a.noLease.Inc(1)
		if !a.draining {
			a.lease.Log()
		}
	default:
		a.noTokens.Inc(1)
	}
	return flow.Refused
}

// drain makes the holder admit nothing and give its free tokens to peers.
func (a *admission) drain() {
	a.draining = true
	a.holder.SetDraining()
}

// Release implements flow.Admission.
func (a *admission) Release(now time.Duration, customer uint64) { a.holder.Release(now, customer) }

// keep stores a copy of the first packet of a waiting flow.
func (a *admission) keep(number uint64, raw []byte) { a.kept[number] = append([]byte(nil), raw...) }

// forget drops the packets of flows that no longer wait.
func (a *admission) forget(t *flow.Table) {
	for number := range a.kept {
		if !t.IsWaiting(number) {
			delete(a.kept, number)
		}
	}
}

// handle passes a message to the holder and returns the answers.
func (a *admission) handle(now time.Duration, m quota.Message) []quota.Message {
	for _, amount := range m.Amounts {
		a.customers[amount.Account.Customer] = true
	}
	return a.holder.Handle(now, m)
}

// nextDecision returns the next late decision to execute.
func (a *admission) nextDecision() (quota.Decision, bool) {
	a.decisions = append(a.decisions, a.holder.Decisions()...)
	if len(a.decisions) == 0 {
		return quota.Decision{}, false
	}
	d := a.decisions[0]
	a.decisions = a.decisions[1:]
	return d, true
}

// decide executes one late decision: it delivers the flow's first packet or drops it.
func (r *reader) decide(now time.Duration, t *flow.Table, i int, d quota.Decision) {
	action, h := t.Decide(now, d.Customer, d.Flow, r.agent.admission.count(d.Verdict))
	r.release(i, d.Flow, action, &h)
}

// release does with the kept first packet of a flow what has been decided.
func (r *reader) release(i int, number uint64, action flow.Action, h *packet.Header) {
	raw := r.agent.admission.kept[number]
	delete(r.agent.admission.kept, number)
	// The packet was parsed when it arrived.
	if raw == nil || r.agent.format().Parse(raw, &r.info) != nil {
		return
	}
	switch action.Kind {
	case flow.Deliver:
		r.deliver(h, raw)
		if action.Hint {
			r.hint(h, i, action.ExtraHints)
		}
	case flow.Forward:
		framed := make([]byte, packet.HeaderSize+len(raw))
		h.Put(framed)
		copy(framed[packet.HeaderSize:], raw)
		r.outgoing.Add(framed, action.Addr)
		r.tally.forwarded++
	default:
		r.tally.dropped[action.Reason]++
	}
}

// admitWaiting takes the flows that have waited for a slot and whose time has come.
func (a *Agent) admitWaiting() {
	a.lateBatches(func(r *reader, now time.Duration, t *flow.Table) bool {
		for i := range packetio.BatchSize {
			number, action, h := t.Admit(now)
			if number == 0 {
				a.admission.forget(t)
				a.prompt.after(t)
				return false
			}
			r.release(i, number, action, &h)
			a.waitTime.Update(int64(action.Waited))
			a.logFirst(now, t, &r.info, &h, &action, action.Waited)
		}
		return true
	})
}
