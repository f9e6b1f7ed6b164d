package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of a flow whose agent has restarted and answers that it may hold it, while
// the notice that its restart has ended is late: a period without that notice is used as proof.
func TestFlowOfAnsweringAgentListedAsRestartingIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u, k := displacedFlow(true)
	u.setState("b", AgentRestarting)
	u.announce()
	u.now += AgentRestartTimeout
	// The new process of b has no flow in its table, and its upstream runs on.
	self := u.named("b")
	b := NewTable(u.agents[self.ID].cfg, self, testService, nil)
	b.StartRebuild(u.now)
	a := u.agents[u.named("a").ID]
	a.markSuspect(u.now, k.Hash(), &packet.Header{Class: u.class}, &packet.Info{Key: k})
	_, inquiries, _ := a.CheckSuspects(u.now)
	g.Expect(inquiries).NotTo(BeEmpty())
	for _, p := range u.list {
		table := u.agents[p.ID]
		if p.Name == "b" {
			table = b
		}
		answer := table.AnswerInquiry(u.now, &inquiries[0].Inquiry)
		answer.Peers = nil
		if p.ID != u.named("a").ID {
			a.HandleInquiryAnswer(u.now, &answer)
		}
	}
	lost, _, _ := a.CheckSuspects(u.now)
	g.Expect(lost).To(BeEmpty())
}

// Guards against the reset of a flow whose requests must not be repeated, a second after the start of
// a single new VM, because one peer, which runs and was marked by nobody, is silent for that second: it
// does not answer before it has learned of the new agent.
func TestFlowIsNotResetByOneNewVMForASilentSecond(t *testing.T) {
	g := NewWithT(t)
	u, k := displacedFlow(false)
	u.restartAgent("a") // a new VM: agent and upstream have started together
	for i := range u.list {
		if u.list[i].Name == "a" {
			u.list[i].Start += 1000
			u.agents[u.list[i].ID].SetUpstreamStart(u.now, u.list[i].Start, true)
		}
	}
	u.announce()
	u.now += peerListSettleTime
	u.silent["b"] = true
	g.Expect(u.suspectAt("a", k, 2*time.Second)).To(BeEmpty())
}

// Guards against the reset of a flow in use after a roll of all agents: the packets visit two peers in
// two seconds, and the owner denies the flow at the end of its rebuilding phase, unvisited.
func TestFlowInUseIsNotResetAtTheEndOfTheRebuildingPhase(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(24)
	u.run(settled)
	u.class = packet.NewClass(1, 300*time.Millisecond, true)
	k := u.keyRanked(packet.ProtoTCP, "a")
	ranking := u.ranking(k)
	owner := ranking[len(ranking)-1].Name
	u.sendPacket(owner, numbered(k, 0))
	u.reply(owner, k)
	for i := range u.list {
		u.restartAgent(u.list[i].Name)
		u.list[i].Start = uint64(100 + i)
		u.agents[u.list[i].ID].SetUpstreamStart(u.now, u.list[i].Start, false)
	}
	u.announce()
	for began := u.now; u.now-began < rebuildTime+4*time.Second; {
		// The balancer has no hint, and the client sends a packet every 0.8 s.
		path, action := u.sendPacket("a", data(k))
		g.Expect(action.Kind).NotTo(Equal(Reset))
		if action.Kind == Deliver {
			g.Expect(path).To(HaveSuffix(owner))
			return
		}
		lost, _ := u.firstLoss("a", 800*time.Millisecond)
		g.Expect(lost).To(BeEmpty(), "%v after the roll", u.now-began)
	}
}

// Guards against the reset of a flow whose agent, on a slow VM, takes long to stop and to start again, while its
// upstream runs.
func TestFlowOfSlowlyRestartingAgentIsNotReset(t *testing.T) {
	g := NewWithT(t)
	const stop, start = 6 * time.Second, 10 * time.Second // the platform's grace period; two seconds at a fifth of the speed
	u, k := displacedFlow(true)
	u.setState("b", AgentRestarting)
	u.announce()
	u.silent["b"] = true
	u.now += stop + start - 2*time.Second
	g.Expect(u.suspectAt("a", k, 2*time.Second)).To(BeEmpty())
}

// Guards against the reset of a flow whose agent restarts, by an agent that has restarted as well and knows only
// that the other one is marked as failed, or does not even know that.
func TestFlowOfAnAgentNotKnownToRestartIsNotReset(t *testing.T) {
	for _, s := range []State{Failed, Ready} {
		g := NewWithT(t)
		u, k := displacedFlow(true)
		u.restartAgent("a")
		u.reportStart("a")
		u.setState("b", s)
		u.announce()
		u.silent["b"] = true
		g.Expect(u.suspectAt("a", k, 12*time.Second)).To(BeEmpty(), "%v", s)
	}
}
