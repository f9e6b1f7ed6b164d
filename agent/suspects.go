package agent

import (
	"sync/atomic"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
)

// urgentWork schedules work of the flow table that cannot wait for the next tick.
type urgentWork struct {
	step     daemon.Waker // send a digest
	admit    daemon.Waker // admit a waiting flow
	check    daemon.Waker // check suspected flows
	timerSet atomic.Bool  // a timer for the next check is running
}

func newUrgentWork() urgentWork {
	return urgentWork{step: daemon.NewWaker(), admit: daemon.NewWaker(), check: daemon.NewWaker()}
}

// wakeDue wakes the work that has become due in a batch of packets. The caller holds
// flows.mu.
func (w *urgentWork) wakeDue(t *flow.Table) {
	if t.StepDue() {
		w.step.Wake()
	}
	if t.WaitingDue() {
		w.admit.Wake()
	}
	if t.SuspectsDue() {
		w.check.Wake()
	}
}

// runUrgentWork sends digests, admits waiting flows and checks suspected ones between ticks
// until the agent stops.
func (a *Agent) runUrgentWork() {
	for {
		select {
		case <-a.urgent.step:
			a.stepFlows()
		case <-a.urgent.admit:
			a.admitWaiting()
		case <-a.urgent.check:
			a.checkSuspects()
		case <-a.lifecycle.Context().Done():
			return
		}
	}
}

// checkSuspects sends inquiries to peers about flows that may be lost, and resets to
// the clients of flows that have turned out to be lost.
func (a *Agent) checkSuspects() {
	var (
		lost []flow.LostFlow
		asks []flow.OutgoingInquiry
		next time.Duration
	)
	a.flows.do(func(now time.Duration, t *flow.Table) {
		lost, asks, next = t.CheckSuspects(now)
		for i := range lost {
			a.logReset(now, t, &lost[i].Key, flow.ReasonFlowLost)
		}
		a.urgent.wakeDue(t)
	})
	if next > 0 && a.urgent.timerSet.CompareAndSwap(false, true) {
		time.AfterFunc(next, func() {
			a.urgent.timerSet.Store(false)
			a.urgent.check.Wake()
		})
	}
	a.sendInquiries(asks)
	a.resetFlows(lost)
}

// sendInquiries sends each inquiry to all of its receivers.
func (a *Agent) sendInquiries(asks []flow.OutgoingInquiry) {
	for i := range asks {
		out := packetio.NewOutbox(len(asks[i].To))
		b := packet.AppendInquiry(nil, a.service, &asks[i].Inquiry)
		for _, to := range asks[i].To {
			out.Add(b, to)
		}
		t := tally{inquiries: len(asks[i].To)}
		t.refused = a.ports.data.Send(out)
		a.counters.add(&t)
	}
}

// resetFlows sends resets to the clients of flows that were lost or refused.
func (a *Agent) resetFlows(ended []flow.LostFlow) {
	if len(ended) == 0 || a.options.Packets == nil {
		return
	}
	out := packetio.NewOutbox(len(ended))
	t := tally{}
	for _, f := range ended {
		a.sendReset(out, &packet.Info{Key: f.Key, Ack: f.Ack}, &t)
	}
	t.refused = a.ports.data.Send(out)
	a.counters.add(&t)
}
