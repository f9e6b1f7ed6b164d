package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of an open flow by the agent of a new VM, beside a roll of all agents: it takes the planned
// restarts for the start of the whole fleet, and then counts the silence of one second of a peer that it has known only
// since its restart.
func TestNewVMBesideARollOfAgentsDoesNotCountASilentSecond(t *testing.T) {
	g := NewWithT(t)
	u, k := displacedFlow(true)
	u.reply("b", k)
	u.stopAgent("b")
	u.restartAgent("a") // a new VM: agent and upstream have started together
	for i := range u.list {
		if u.list[i].Name == "a" {
			u.list[i].Start += 1000
			u.agents[u.list[i].ID].SetUpstreamStart(u.now, u.list[i].Start, true)
		}
	}
	u.announce()
	u.now += peerListSettleTime
	u.returnAgent("b")
	u.setState("b", Ready)
	u.announce()
	for _, name := range []string{"c", "d"} {
		before := u.named(name).Incarnation
		u.stopAgent(name)
		u.returnAgent(name)
		u.agents[u.named(name).ID].SetPredecessor(before)
		u.setState(name, Ready)
		u.announce()
		u.exchange()
	}
	b := u.agents[u.named("b").ID]
	g.Expect(b.status(u.now, k.Hash())).To(Equal(packet.Held))
	a := u.agents[u.named("a").ID]
	a.ownerRecords.forget(k.Hash())
	a.inbox(u.named("b").ID).clear() // the digest of b is late
	u.expectKeptWhileSilent(g, k, 3*time.Second)
}

// Guards against the reset of an open flow after a kill of all processes, by an agent whose own upstream has restarted:
// it counts one second of silence of a peer whose upstream runs on and whose agent starts later.
func TestFlowOfASilentPeerIsNotResetAfterAKillOfAllProcesses(t *testing.T) {
	g := NewWithT(t)
	u, k := displacedFlow(false)
	u.reply("b", k)
	for _, name := range []string{"a", "b", "c", "d"} {
		u.restartAgent(name)
		u.setState(name, Starting)
	}
	u.announce()
	for _, name := range []string{"c", "d"} {
		u.reportStart(name)
	}
	u.restartUpstream("a")
	u.now += peerListSettleTime
	u.silent["b"] = true
	for began := u.now; u.now-began < 4*time.Second; u.now += 200 * time.Millisecond {
		_, action := u.sendPacket("a", data(k))
		g.Expect(action.Kind).NotTo(Equal(Reset))
		g.Expect(u.findLost("a")).To(BeEmpty(), "after %v", u.now-began)
	}
}
