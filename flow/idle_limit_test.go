package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// These tests guard against an open flow that is reset because the agents that have lost their tables count
// them as complete before a flow that may be idle has shown itself (review/5).

// awaitIdleLimit lets the agents take their tables as complete by the time for which flows may be idle.
func (u *upstreamRig) awaitIdleLimit(limit time.Duration) {
	for _, t := range u.agents {
		t.cfg.AwaitIdleLimit = true
		t.SetIdleLimit(limit)
	}
}

// runSteps steps all agents as often as real ones.
func (u *upstreamRig) runSteps(d time.Duration) {
	for end := u.now + d; u.now < end; {
		u.now += 100 * time.Millisecond
		for _, p := range u.list {
			for _, m := range u.agents[p.ID].Step(u.now) {
				u.agents[m.To].Handle(u.now, m)
			}
		}
	}
}

// lostAfter sends a packet of a flow that no table contains after an idle time since the restart of all
// agents, and reports whether the flow is found to be lost.
func lostAfter(limit, idle time.Duration) bool {
	u, k := restartedFleet("a", "b", "c", "d", "e", "f")
	restarted := u.agents[u.named("f").ID].rebuildStarted // the last one
	u.awaitIdleLimit(limit)
	u.runSteps(idle - (u.now - restarted))
	u.sendPacket("a", data(k))
	return len(u.findLost("a")) > 0
}

func TestIdleFlowIsNotLostBeforeItsIdleLimit(t *testing.T) {
	for _, c := range []struct {
		limit, open, gone time.Duration
	}{
		{limit: 15 * time.Second, open: 19 * time.Second, gone: 21 * time.Second},
		{limit: 40 * time.Second, open: 39 * time.Second, gone: 42 * time.Second},
		{limit: 24 * time.Hour, open: MaxFlowAge - time.Second, gone: MaxFlowAge + time.Second},
		{limit: 0, open: MaxFlowAge - time.Second, gone: MaxFlowAge + time.Second}, // unknown
	} {
		g := NewWithT(t)
		g.Expect(lostAfter(c.limit, c.open)).To(BeFalse(), "limit %v, idle %v", c.limit, c.open)
		g.Expect(lostAfter(c.limit, c.gone)).To(BeTrue(), "limit %v, idle %v", c.limit, c.gone)
	}
}

// The limit is raised while the agents rebuild their tables.
func TestRebuildingPhaseFollowsTheIdleLimit(t *testing.T) {
	g := NewWithT(t)
	u, k := restartedFleet("a", "b", "c", "d", "e", "f")
	u.awaitIdleLimit(15 * time.Second)
	u.runSteps(10 * time.Second)
	u.awaitIdleLimit(40 * time.Second)
	u.runSteps(20 * time.Second)
	u.sendPacket("a", data(k))
	g.Expect(u.findLost("a")).To(BeEmpty())
}

// The agent is paused, so that packets of the upstream may have been dropped unread.
func TestPauseInTheRebuildingPhaseExtendsIt(t *testing.T) {
	g := NewWithT(t)
	u, k := restartedFleet("a", "b", "c", "d", "e", "f")
	u.awaitIdleLimit(15 * time.Second)
	f := u.agents[u.named("f").ID]
	u.runSteps(5 * time.Second)
	u.now += 4 * time.Second
	u.runSteps(15 * time.Second)
	g.Expect(f.status(u.now, k.Hash())).To(Equal(packet.MaybeHeld))
	u.runSteps(6 * time.Second)
	g.Expect(f.status(u.now, k.Hash())).To(Equal(packet.NotHeld))
}

// A packet of the client reaches another upstream early in the phase; its own may still hold the flow later.
func TestFlowThatWasAskedForIsNotDeniedWithinItsIdleLimit(t *testing.T) {
	g := NewWithT(t)
	u, k := restartedFleet("a", "b", "c", "d", "e", "f")
	u.awaitIdleLimit(40 * time.Second)
	u.runSteps(4 * time.Second)
	u.sendPacket("a", data(k))
	u.findLost("a")
	asked := u.now
	for u.now < asked+39*time.Second {
		u.runSteps(time.Second)
		g.Expect(u.agents[u.named("f").ID].status(u.now, k.Hash())).To(Equal(packet.MaybeHeld), "%v after", u.now-asked)
	}
}

// Guards against an agent that was paused until after the end of the rebuilding phase, and denies the flows of which
// it has missed packets, before its next step or after it.
func TestPauseAcrossTheEndOfTheRebuildingPhaseExtendsIt(t *testing.T) {
	for _, stepped := range []bool{false, true} {
		g := NewWithT(t)
		u, k := restartedFleet("a", "b", "c", "d", "e", "f")
		u.awaitIdleLimit(15 * time.Second)
		f := u.agents[u.named("f").ID]
		u.runSteps(18 * time.Second)
		u.now += 4 * time.Second
		if stepped {
			f.Step(u.now)
		}
		answer := f.AnswerInquiry(u.now, &packet.Inquiry{From: u.named("a").ID, Flows: []uint64{k.Hash()}})
		g.Expect(answer.Statuses).To(Equal([]packet.FlowStatus{packet.MaybeHeld}), "stepped %v", stepped)
	}
}
