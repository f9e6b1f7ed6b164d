package agent

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

func (a *Agent) drainRequested() int {
	a.lifecycle.Shutdown()
	return a.flows.open()
}

// drain refuses new flows, waits for open ones to end, and leaves the service. It lasts
// at least the settling time, in which balancers with an older view still send packets to
// this agent.
func (a *Agent) drain() {
	a.log.Log(event.Draining, "open", a.flows.open(), "limit_seconds", float64(a.cfg.DrainLimitSeconds))
	a.stateMu.Lock()
	a.announce(flow.Draining)
	a.stateMu.Unlock()
	a.drainRequests()
	end := a.clock() + a.cfg.DrainLimitSeconds.Duration()
	for !(a.drained() && a.requestsIdle()) && a.clock() < end {
		if !a.lifecycle.Sleep(stepInterval) {
			return
		}
	}
	if left := a.flows.open(); left > 0 {
		a.log.Log(event.DrainLimit, "left", left)
	}
	a.announce(flow.Leaving)
	a.pushUntilConfirmed()
}

func (a *Agent) drained() (done bool) {
	a.flows.do(func(now time.Duration, t *flow.Table) { done = t.Drained(now) })
	return done
}

// pushUntilConfirmed repeats the announcement of the last state of an agent that exits until a balancer
// confirms it or leaveTimeout has passed.
func (a *Agent) pushUntilConfirmed() {
	for end := a.clock() + leaveTimeout; ; {
		a.members.StepAndWait(a.lifecycle.Context())
		if a.leaveConfirmed() || a.clock() >= end || !a.lifecycle.Sleep(leavePushInterval) {
			return
		}
	}
}

// beginHandover begins to hand the list of the upstream's flows to peers, which return it to the
// agent's next process.
func (a *Agent) beginHandover() {
	a.flows.do(func(now time.Duration, t *flow.Table) { t.BeginHandover(now) })
	a.stepFlows()
}

// finishHandover waits until peers have the list of flows or handoverTimeout has passed.
func (a *Agent) finishHandover() {
	done, flows, keepers := false, 0, 0
	for end := a.clock() + handoverTimeout; ; {
		a.stepFlows()
		a.flows.do(func(_ time.Duration, t *flow.Table) {
			done = t.HandoverDone()
			flows, keepers = t.HandedOver()
		})
		if done || a.clock() >= end || !a.lifecycle.Sleep(handoverPollInterval) {
			break
		}
	}
	a.log.Log(event.FlowsHandedOver, "flows", flows, "keepers", keepers, "complete", done)
}

func (a *Agent) leaveConfirmed() (done bool) {
	a.members.Do(func(_ time.Duration, n *member.Announcer) { done = n.Confirmed() })
	return done
}
