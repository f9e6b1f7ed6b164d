package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against packets of an open flow that are shown to other upstreams by agents which take themselves for
// its first choice because their lists of peers, from balancers that have just started, lack its owner.
func TestAgentWithAnIncompleteListOfPeersProbesNoFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 0))
	u.reply("a", k)
	for _, name := range []string{"b", "c", "d"} {
		u.restartAgent(name)
		u.reportStart(name)
		b := u.agents[u.named(name).ID]
		b.SetPeersIncomplete(u.now, true)
		b.SetPeers(u.now, nil)
		h, in := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}, data(k)
		g.Expect(b.Receive(u.now, &h, &in).Kind).NotTo(Equal(Deliver), name)
	}
}
