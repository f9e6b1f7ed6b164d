package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against packets of an open flow that reach three other upstreams and not its own, because all agents were
// restarted at once twice: with the lists of flows, the counts of probes are lost.
func TestProbesBeforeARestartOfAllAgentsAreNotForgotten(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(7)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d", "e", "f", "g")
	u.held["g"][k] = true
	for range 2 {
		for _, p := range u.list {
			u.setState(p.Name, AgentRestarting)
		}
		u.announce()
		for _, p := range u.list {
			u.restartAgent(p.Name)
			u.agents[p.ID].SetPredecessor(p.Incarnation)
			u.agents[p.ID].ExpectList(true)
		}
		for _, p := range u.list {
			u.setState(p.Name, Ready)
			u.reportStart(p.Name)
		}
		u.now += listWait
		u.retransmit(k, "aaaaaa")
	}
	g.Expect(u.misdelivered()).To(BeNumerically(">", 0))
	g.Expect(u.misdelivered()).To(BeNumerically("<", misdeliveryLimit))
}

// Guards against an open flow that its own agent never finds again, because the list of its predecessor is lost with its
// keepers and the flow's address has had two services.
func TestSharedFlowIsProbedWithoutTheListOfThePredecessor(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 1000)
	u.sendPacket("a", acknowledging(k, 1000))
	before := u.named("a").Incarnation
	u.restartAgent("a")
	a := u.agents[u.named("a").ID]
	a.SetPredecessor(before)
	a.ExpectList(true)
	u.reportStart("a")
	u.run(listWait)
	u.sendWithFlags("a", acknowledging(k, 1000), packet.FlagExpected|packet.FlagShared)
	g.Expect(a.Counters().Tried).To(BeEquivalentTo(1))
}

// Guards against a limit of probes that stays lowered after the flows that the predecessor knew have ended.
func TestMissingListLimitsProbesForATime(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	before := u.named("a").Incarnation
	u.restartAgent("a")
	a := u.agents[u.named("a").ID]
	a.SetPredecessor(before)
	a.ExpectList(true)
	u.reportStart("a")
	u.run(MaxFlowAge - 2*time.Second)
	g.Expect(a.maxProbes(&unknownFlow{})).To(BeEquivalentTo(maxTried - 1))
	u.run(4 * time.Second)
	g.Expect(a.maxProbes(&unknownFlow{})).To(BeEquivalentTo(maxTried))
}

// Guards against probes that are used up at other upstreams, while the first choice, which holds the flow, still waits for
// its list and does not probe its own.
func TestFirstChoiceProbesItsOwnUpstreamFirst(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(7)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d", "e", "f", "g")
	u.held["a"][k] = true
	for _, p := range u.list {
		before := p.Incarnation
		u.restartAgent(p.Name)
		u.agents[p.ID].SetPredecessor(before)
		u.agents[p.ID].ExpectList(true)
	}
	for _, p := range u.list {
		u.reportStart(p.Name)
	}
	for _, p := range u.list {
		u.agents[p.ID].StartRebuild(u.now)
	}
	u.retransmit(k, "aaaa")
	g.Expect(u.misdelivered()).To(BeZero())
	u.now += listWait
	path, action := u.sendPacket("a", data(k))
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(path).To(Equal("a"))
}
