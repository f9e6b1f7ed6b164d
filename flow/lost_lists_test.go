package flow

import (
	"testing"

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
