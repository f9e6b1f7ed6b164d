package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of an open flow by the record of a lost one with the same addresses and ports: a
// balancer with an outdated hint sends its packet to the agent whose upstream has ended the earlier flow.
func TestFlowThatReusesThePortOfALostFlowIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("c", numbered(k, 2)) // a copy of the SYN, which c accepts
	u.reply("c", k)
	u.restartUpstream("c")
	u.sendPacket("a", numbered(k, 0)) // the client uses its port again
	u.reply("a", k)
	g.Expect(u.agents[u.named("a").ID].status(u.now, k.Hash())).To(Equal(packet.Held))
	for range 2 {
		_, action := u.sendHinted("c", data(k))
		g.Expect(action.Kind).NotTo(Equal(Reset))
	}
}
