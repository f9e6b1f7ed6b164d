package flow

import (
	"testing"
	"time"

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

// Guards against a new flow at an upstream that is draining, because its client uses a port again whose earlier flow
// is still in the agent's table: one that was given up without a packet (review/3), or one that has just ended.
func TestNewFlowOnTheOldPortIsNotDeliveredToADrainingUpstream(t *testing.T) {
	for _, ended := range []bool{false, true} {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		u.sendPacket("a", syn(k))
		u.reply("a", k)
		u.sendPacket("a", data(k))
		if ended {
			in := data(k)
			in.RST = true
			u.sendPacket("a", in)
		} else {
			u.run(67 * time.Second)
		}
		u.setState("a", Draining)
		u.announce()
		for _, first := range []string{"a", "b"} { // balancers with and without the new state
			path, action := u.sendPacket(first, syn(k))
			g.Expect(action.Kind).To(Equal(Deliver))
			g.Expect(path).NotTo(HaveSuffix("a"), "ended: %v", ended)
		}
	}
}

// Guards against an open flow that leaves the table with a late copy of its SYN.
func TestLateCopyOfASYNDoesNotRemoveItsFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a")
	u.sendPacket("a", numbered(k, 0))
	u.reply("a", k)
	u.sendPacket("a", data(k))
	u.setState("a", Draining)
	u.announce()
	u.run(time.Second)
	path, action := u.sendPacket("a", numbered(k, 1))
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(path).To(Equal("a"))
}

// Guards against the reset of an open flow by the record of a lost one with the same addresses and ports, although
// the packets' numbers tell the two flows from each other.
func TestFlowThatAcknowledgesAnotherUpstreamIsNotResetForALostOne(t *testing.T) {
	for i := range 4 {
		found, kept := i%2 == 1, i/2 == 1 // kept: no packet of the lost flow arrives before the new one
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		c := u.agents[u.named("c").ID]
		u.sendPacket("c", numbered(k, 2))
		u.synAck("c", k, 1000)
		u.sendPacket("c", acknowledging(k, 1000))
		u.reply("c", k)
		if found {
			c.removeFlow(u.now, k.Hash(), &packet.Info{Key: k}, ReturnedByUpstream)
			u.held["c"] = map[packet.Key]bool{}
			c.lost.record(u.now, k.Hash(), FoundLost, 1001)
		} else {
			u.restartUpstream("c")
		}
		if !kept {
			_, action := u.sendHinted("c", acknowledging(k, 2000))
			g.Expect(action.Kind).To(Equal(Reset), "a packet of the lost flow")
		}
		u.sendPacket("a", numbered(k, 0)) // the client uses its port again
		u.synAck("a", k, 1<<30)
		u.sendPacket("a", acknowledging(k, 1<<30))
		u.reply("a", k)
		for range 2 {
			_, action := u.sendHinted("c", acknowledging(k, 1<<30))
			g.Expect(action.Kind).To(Equal(Deliver), "found lost: %v, kept: %v", found, kept)
		}
	}
}

// Guards against the reset of an open flow after a late packet of an earlier flow with the same addresses and ports: the
// upstream returns that packet, and the agent takes the open flow for one that the upstream does not hold.
func TestLatePacketOfAnEarlierFlowDoesNotRemoveTheOpenOne(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	a := u.agents[u.named("a").ID]
	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 5_000_000)
	u.sendPacket("a", acknowledging(k, 5_000_000))
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.Held))

	late, h := acknowledging(k, 1000), packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
	if a.Receive(u.now, &h, &late).Kind == Deliver {
		a.HandleReturned(u.now, &h, &late)
	}
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.Held))
	u.now += peerListSettleTime
	u.sendPacket("a", acknowledging(k, 5_000_000))
	g.Expect(u.findLost("a")).To(BeEmpty())
}
