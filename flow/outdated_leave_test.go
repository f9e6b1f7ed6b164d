package flow

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of a flow of an upstream that has left and started again in place, by an agent that does not
// know of the start yet: it takes the notice of exit for a proof, although the upstream's agent has sent a digest since.
func TestFlowOfAnUpstreamThatHasStartedAgainIsNotReset(t *testing.T) {
	for _, upstreams := range []int{2, 4} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			g := NewWithT(t)
			u := newUpstreamRig(upstreams)
			u.run(settled)
			k := u.keyRanked(packet.ProtoTCP, "a", "b")
			u.setState("b", Leaving)
			u.announce()
			u.run(peerListSettleTime)

			b := u.agents[u.named("b").ID] // starts again; the others learn it later
			b.SetUpstreamStart(u.now, 1001, true)
			b.SetState(u.now, Ready)
			u.sendPacket("b", numbered(k, 2))
			u.reply("b", k)
			u.run(time.Second) // in which b sends its digest to a
			g.Expect(b.status(u.now, k.Hash())).To(Equal(packet.Held))

			_, action := u.sendPacket("a", data(k))
			g.Expect(action.Kind).NotTo(Equal(Reset))
			g.Expect(u.findLost("a")).To(BeEmpty())
		})
	}
}

// Guards against the reset of a flow of an upstream that has just been added, by an agent that does not know it yet and
// counts all others as leaving: it asks no one who could tell it of the new one.
func TestAgentWithoutPeersThatRunFindsNoFlowOfANewUpstreamLost(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(3)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "c", "b")
	a := u.agents[u.named("a").ID]
	u.setState("b", Leaving)
	a.SetPeers(u.now, []Upstream{u.named("a"), u.named("b")}) // without c
	u.run(peerListSettleTime)
	u.sendPacket("c", numbered(k, 2))
	u.reply("c", k)
	g.Expect(u.agents[u.named("c").ID].status(u.now, k.Hash())).To(Equal(packet.Held))

	u.sendPacket("a", data(k))
	g.Expect(u.findLost("a")).To(BeEmpty())
}
