package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of a flow whose client has the SYN+ACK of a restarted upstream when its agent learns of the
// restart, or that of an upstream which is taken for stopped for a moment: the flow leaves the table as one of the
// ended run, and the agent, which knows all flows of the present run, denies it.
func TestFlowThatOpensDuringARestartOfItsUpstreamIsNotReset(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		u.sendPacket("a", numbered(k, 0))
		u.synAck("a", k, 1000)
		a, start := u.agents[u.named("a").ID], u.named("a").Start
		if restarted {
			start += 1000
		} else {
			a.SetUpstreamStopped(u.now, a.BeginUpstreamCheck())
		}
		a.SetUpstreamStart(u.now, start, true) // its next announcement
		in := acknowledging(k, 1000)
		u.sendPacket("a", in) // through a balancer without a hint
		g.Expect(u.findLost("a")).To(BeEmpty(), "restarted: %v", restarted)
		path, action := u.sendPacket("a", in)
		g.Expect(path).To(Equal("a"))
		g.Expect(action.Kind).To(Equal(Deliver))
	}
}
