package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against a wrong finding that outlives the disruption in which it was made: the flow's later packets were reset
// for 20 s, although every agent could tell who holds it.
func TestLaterPacketOfAFlowThatWasFoundLostIsAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("c", numbered(k, 2))
	u.synAck("c", k, 1000)
	u.sendPacket("c", acknowledging(k, 1000))
	a := u.agents[u.named("a").ID]
	forgetOwner := func() {
		a.inbox(u.named("c").ID).clear()
		a.ownerRecords.forget(k.Hash())
	}
	forgetOwner()
	a.lost.record(u.now, k.Hash(), FoundLost, 1001)
	_, action := u.sendPacket("a", acknowledging(k, 1000))
	g.Expect(action.Kind).To(Equal(Reset), "in flight when the client was sent the reset")
	u.run(time.Second)
	forgetOwner()
	_, action = u.sendPacket("a", acknowledging(k, 1000))
	g.Expect(action.Kind).NotTo(Equal(Reset))
	g.Expect(u.findLost("a")).To(BeEmpty())
	path, action := u.sendPacket("a", acknowledging(k, 1000))
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(path).To(Equal("ac"))
}

// Guards against probes that are counted anew each time that the flow is found lost.
func TestProbesOfAFlowThatWasFoundLostAreCounted(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.restartAgent("a")
	u.reportStart("a")
	for range 12 {
		u.sendPacket("a", data(k))
		u.findLost("a")
		u.run(700 * time.Millisecond)
	}
	g.Expect(u.returned["a"]).To(BeNumerically("<=", maxTried))
}
