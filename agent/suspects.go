package agent

import (
	"sync/atomic"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
)

// urgentWork schedules work of the flow table that cannot wait for the next step of the
// agent. A suspect flow may be lost: its client sends packets, but the upstream does not
// hold the flow and this agent knows no owner.
type urgentWork struct {
	digest   daemon.Waker // step the flow table to send a digest
	admit    daemon.Waker // admit flows that wait for a slot
	check    daemon.Waker // check suspect flows
	timerSet atomic.Bool  // a timer for the next check is running
}

func newUrgentWork() urgentWork {
	return urgentWork{digest: daemon.NewWaker(), admit: daemon.NewWaker(), check: daemon.NewWaker()}
}

// wakeDue wakes the work that has become due in a batch of packets. The caller holds
// flows.mu.
func (w *urgentWork) wakeDue(t *flow.Table) {
	if t.StepDue() {
		w.digest.Wake()
	}
	if t.WaitingDue() {
		w.admit.Wake()
	}
	if t.SuspectsDue() {
		w.check.Wake()
	}
}

// runUrgentWork sends digests, admits flows that wait for a slot and checks suspect flows
// between the steps of the agent, until the agent stops.
func (a *Agent) runUrgentWork() {
	for {
		select {
		case <-a.urgent.digest:
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

// checkSuspects sends inquiries about suspect flows to peers, and resets to the clients of
// flows that have turned out to be lost.
func (a *Agent) checkSuspects() {
	var (
		lost      []flow.LostFlow
		inquiries []flow.OutgoingInquiry
		next      time.Duration
	)
	a.flows.do(func(now time.Duration, t *flow.Table) {
		lost, inquiries, next = t.CheckSuspects(now)
		for i := range lost {
			e := t.LossEvidence(now, i)
			a.logLost(now, t, &lost[i].Key, &e)
		}
		a.urgent.wakeDue(t)
	})
	if next > 0 && a.urgent.timerSet.CompareAndSwap(false, true) {
		time.AfterFunc(next, func() {
			a.urgent.timerSet.Store(false)
			a.urgent.check.Wake()
		})
	}
	a.sendInquiries(inquiries)
	a.resetFlows(lost)
}

// sendInquiries sends each inquiry to all of its receivers.
func (a *Agent) sendInquiries(inquiries []flow.OutgoingInquiry) {
	for i := range inquiries {
		out := packetio.NewOutbox(len(inquiries[i].To))
		q := inquiries[i].Inquiry
		q.ReplyTo = a.self().Data
		b := packet.AppendInquiry(nil, a.service, &q)
		for _, to := range inquiries[i].To {
			out.Add(b, to)
		}
		counts := batchCounts{inquiries: len(inquiries[i].To)}
		counts.refusedBySystem = a.ports.data.Send(out)
		a.counters.add(&counts)
	}
}

// resetFlows sends resets to the clients of flows that were lost or refused.
func (a *Agent) resetFlows(ended []flow.LostFlow) {
	if len(ended) == 0 || a.options.Packets == nil {
		return
	}
	out := packetio.NewOutbox(len(ended))
	counts := batchCounts{}
	for _, f := range ended {
		a.queueReset(out, &packet.Info{Key: f.Key, Ack: f.Ack}, &counts)
	}
	counts.refusedBySystem = a.ports.data.Send(out)
	a.counters.add(&counts)
}
