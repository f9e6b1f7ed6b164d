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
	a.announceUntilConfirmed(flow.Leaving)
}

func (a *Agent) drained() (done bool) {
	a.flows.do(func(now time.Duration, t *flow.Table) { done = t.Drained(now) })
	return done
}

// announceUntilConfirmed announces the last state of an agent that exits, and repeats it until
// a balancer confirms it or leaveTimeout has passed.
func (a *Agent) announceUntilConfirmed(s flow.State) {
	a.announce(s)
	for end := a.clock() + leaveTimeout; ; {
		a.members.StepAndWait(a.lifecycle.Context())
		if a.leaveConfirmed() || a.clock() >= end || !a.lifecycle.Sleep(leavePushInterval) {
			return
		}
	}
}

func (a *Agent) leaveConfirmed() (done bool) {
	a.members.Do(func(_ time.Duration, n *member.Announcer) { done = n.Confirmed() })
	return done
}
