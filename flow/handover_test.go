package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// stopAgent stops an agent beside its running upstream and runs the service for a moment, so that its
// keepers have its list.
func (u *upstreamRig) stopAgent(name string) {
	u.setState(name, AgentRestarting)
	u.announce()
	u.agents[u.named(name).ID].BeginHandover(u.now)
	u.exchange()
}

// returnAgent starts the next process of a stopped agent.
func (u *upstreamRig) returnAgent(name string) {
	u.restartAgent(name)
	u.setState(name, Starting)
	u.announce()
	u.exchange()
	u.reportStart(name)
}

// exchange delivers the agents' messages without delay. An agent that has stopped receives none.
func (u *upstreamRig) exchange() {
	for range 4 {
		u.now += handoverRetryInterval
		for _, from := range u.list {
			for _, m := range u.agents[from.ID].Step(u.now) {
				if to := u.agents[m.To]; to.State() != AgentRestarting || len(m.Kept) > 0 {
					to.Handle(u.now, m)
				}
			}
		}
	}
}

func rollingFleet() (*upstreamRig, packet.Key) {
	u := newUpstreamRig(6)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d", "e", "f")
	u.sendPacket("f", numbered(k, 0))
	u.reply("f", k)
	u.run(time.Second)
	return u, k
}

// Guards against open flows whose packets are shown to other upstreams, because their owner and their
// first choice were restarted and neither knows them any more.
func TestFlowIsFoundAfterItsOwnerAndFirstChoiceHaveRestarted(t *testing.T) {
	g := NewWithT(t)
	u, k := rollingFleet()
	for _, name := range []string{"f", "a", "b", "e"} {
		u.stopAgent(name)
	}
	for _, name := range []string{"f", "a", "b", "e"} {
		u.returnAgent(name)
	}
	for range 5 {
		u.findLost("a")
		path, _ := u.sendPacket("a", data(k))
		u.now += 500 * time.Millisecond
		if path[len(path)-1] == 'f' {
			break
		}
	}
	path, action := u.sendPacket("a", data(k))
	g.Expect(path).To(Equal("af"))
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(u.returned).To(BeEmpty())
}

// Guards against a restarted agent that denies flows which its upstream has accepted from a process of
// which the returned list knows nothing.
func TestListOfAnEarlierProcessIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	for _, known := range []bool{true, false} {
		u, k := rollingFleet()
		u.stopAgent("f")
		f := u.named("f")
		u.returnAgent("f")
		table := u.agents[f.ID]
		table.SetPredecessor(f.Incarnation)
		if !known {
			table.SetPredecessor(f.Incarnation + 1)
		}
		ask := func(k packet.Key) packet.FlowStatus {
			return table.AnswerInquiry(u.now, &packet.Inquiry{From: u.named("a").ID, Flows: []uint64{k.Hash()}}).Statuses[0]
		}
		g.Expect(ask(k)).To(Equal(packet.Held))
		if known {
			g.Expect(ask(key(4711, packet.ProtoTCP))).To(Equal(packet.NotHeld))
		} else {
			g.Expect(ask(key(4711, packet.ProtoTCP))).To(Equal(packet.MaybeHeld))
		}
	}
}

// Guards against a list that is lost with its keepers, and against keepers that return the flows of an
// upstream's earlier run.
func TestListOutlivesRestartsOfItsKeepers(t *testing.T) {
	g := NewWithT(t)
	u, _ := rollingFleet()
	u.stopAgent("f")
	for _, name := range []string{"a", "b", "c", "d"} {
		u.stopAgent(name)
		u.returnAgent(name)
	}
	u.returnAgent("f")
	g.Expect(u.agents[u.named("f").ID].Counters().Restored).To(BeEquivalentTo(1))

	u, k := rollingFleet()
	u.stopAgent("f")
	u.restartUpstream("f")
	u.restartAgent("f")
	u.agents[u.named("f").ID].SetUpstreamStart(u.now, 1105, false)
	u.setState("f", Starting)
	u.announce()
	u.exchange()
	g.Expect(u.agents[u.named("f").ID].flows.find(k.Hash(), &k)).To(BeNil())
}

// Guards against an agent that stops without waiting for its keepers, and against one that waits for
// more of them than there are.
func TestHandoverIsDoneWhenItsKeepersHaveConfirmed(t *testing.T) {
	g := NewWithT(t)
	u, _ := rollingFleet()
	f := u.agents[u.named("f").ID]
	u.setState("f", AgentRestarting)
	f.BeginHandover(u.now)
	g.Expect(f.HandoverDone()).To(BeFalse())
	u.exchange()
	g.Expect(f.HandoverDone()).To(BeTrue())

	alone := newUpstreamRig(1)
	a := alone.agents[alone.named("a").ID]
	a.BeginHandover(0)
	g.Expect(a.HandoverDone()).To(BeTrue())
}

// Guards against an agent that denies a flow whose handshake ended after the list was written: it forgot
// the flow as half-open, and counted its table as complete.
func TestFlowOpenedWhileItsAgentStopsIsNotDenied(t *testing.T) {
	g := NewWithT(t)
	u, _ := rollingFleet()
	k := u.keyRanked(packet.ProtoTCP, "f", "a")
	f := u.named("f")
	u.sendPacket("f", numbered(k, 0))
	u.synAck("f", k, 1000)
	u.stopAgent("f")
	u.returnAgent("f")
	table := u.agents[f.ID]
	table.SetPredecessor(f.Incarnation)
	u.run(4 * halfOpenTimeout)
	q := packet.Inquiry{From: u.named("a").ID, Flows: []uint64{k.Hash()}}
	g.Expect(table.AnswerInquiry(u.now, &q).Statuses[0]).To(Equal(packet.MaybeHeld))
	_, action := u.sendPacket("f", acknowledging(k, 1300)) // the upstream has answered meanwhile
	g.Expect(action.Kind).To(Equal(Deliver))
}

// Guards against an agent that denies flows which its predecessor learned of only after it had written its
// list, or did not know whether the upstream's new run held them.
func TestListIsNotCompleteIfTheUpstreamMayHoldMore(t *testing.T) {
	g := NewWithT(t)
	status := func(u *upstreamRig, k packet.Key) packet.FlowStatus {
		q := packet.Inquiry{From: u.named("a").ID, Flows: []uint64{k.Hash()}}
		return u.agents[u.named("f").ID].AnswerInquiry(u.now, &q).Statuses[0]
	}
	for _, learned := range []bool{true, false} {
		u, k := rollingFleet()
		f, adopted := u.named("f"), key(4711, packet.ProtoTCP)
		if !learned {
			u.restartUpstream("f") // k is lost unless the new run has accepted it
		}
		u.stopAgent("f")
		if learned {
			u.reply("f", adopted)
			u.exchange()
		}
		u.restartAgent("f")
		u.agents[f.ID].SetPredecessor(f.Incarnation)
		u.agents[f.ID].SetUpstreamStart(u.now, map[bool]uint64{true: f.Start, false: f.Start + 1000}[learned], false)
		u.setState("f", Starting)
		u.announce()
		u.exchange()
		g.Expect(status(u, key(4712, packet.ProtoTCP))).To(Equal(packet.MaybeHeld))
		if learned {
			g.Expect(status(u, adopted)).To(Equal(packet.Held))
		} else {
			g.Expect(status(u, k)).To(Equal(packet.MaybeHeld))
		}
	}
}
