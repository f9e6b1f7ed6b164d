package agent

import (
	"sync/atomic"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
)

// prompt does what the flow table wants done sooner than at the next tick.
type prompt struct {
	step  daemon.Waker // a digest is to be sent
	admit daemon.Waker // a waiting flow may be taken
	look  daemon.Waker // suspected flows are to be looked at
	armed atomic.Bool  // a later look is due
}

func newPrompt() prompt {
	return prompt{step: daemon.NewWaker(), admit: daemon.NewWaker(), look: daemon.NewWaker()}
}

// after looks at the table after a batch of packets; the caller holds its lock.
func (p *prompt) after(t *flow.Table) {
	if t.StepDue() {
		p.step.Wake()
	}
	if t.MayAdmit() {
		p.admit.Wake()
	}
	if t.SuspectsDue() {
		p.look.Wake()
	}
}

// actPromptly sends digests, admits waiting flows and looks after suspected ones between
// ticks until the agent stops.
func (a *Agent) actPromptly() {
	for {
		select {
		case <-a.prompt.step:
			a.stepFlows()
		case <-a.prompt.admit:
			a.admitWaiting()
		case <-a.prompt.look:
			a.lookAfterSuspects()
		case <-a.life.Context().Done():
			return
		}
	}
}

// lookAfterSuspects asks the peers about flows that may be lost, and tells the clients of
// those that are.
func (a *Agent) lookAfterSuspects() {
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
		a.prompt.after(t)
	})
	if next > 0 && a.prompt.armed.CompareAndSwap(false, true) {
		time.AfterFunc(next, func() {
			a.prompt.armed.Store(false)
			a.prompt.look.Wake()
		})
	}
	a.sendInquiries(asks)
	a.resetFlows(lost)
}

// sendInquiries sends each inquiry to all its receivers.
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

// resetFlows tells the clients of flows that these have ended, or were not taken.
func (a *Agent) resetFlows(ended []flow.LostFlow) {
	if len(ended) == 0 || a.options.Packets == nil {
		return
	}
	out := packetio.NewOutbox(len(ended))
	t := tally{}
	for _, f := range ended {
		a.reset(out, &packet.Info{Key: f.Key, Ack: f.Ack}, &t)
	}
	t.refused = a.ports.data.Send(out)
	a.counters.add(&t)
}
