package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// openNumbered opens a flow at a by a SYN with the given number, and lets it be used.
func (u *upstreamRig) openNumbered(k packet.Key, seq, synAck uint32) {
	in := numbered(k, 0)
	in.Seq = seq
	u.sendPacket("a", in)
	u.synAck("a", k, synAck)
	u.sendPacket("a", acknowledging(k, synAck))
	u.reply("a", k)
}

// expectHeldByA expects that a packet of an open flow that arrives without a hint is delivered to a's upstream.
func (u *upstreamRig) expectHeldByA(g *WithT, in packet.Info) {
	for range 3 {
		u.sendPacket("a", in)
		g.Expect(u.findLost("a")).To(BeEmpty())
		u.now += 200 * time.Millisecond
	}
	path, action := u.sendPacket("a", in)
	g.Expect(path).To(Equal("a"))
	g.Expect(action.Kind).To(Equal(Deliver))
}

// Guards against the reset of an open flow after a late reset by its client of an earlier flow on its ports, or of the
// SYN+ACK of another upstream: its own upstream ignores the reset, and its agent takes the flow for closed.
func TestLateResetOfTheClientDoesNotLoseAnOpenFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.openNumbered(k, 7000, 1000)
	u.sendPacket("a", packet.Info{Key: k, RST: true, Flags: packet.FlagRST, Seq: 1 << 30})
	u.run(5 * time.Second)
	u.expectHeldByA(g, acknowledging(k, 2000))
}

// Guards against the reset of an open flow after a late SYN of an earlier attempt on its ports: its agent takes the SYN
// for that of a later flow, which another upstream accepts, and forgets the open one.
func TestLateSYNOfAnEarlierAttemptDoesNotLoseAnOpenFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.openNumbered(k, 7000, 1000)
	u.setState("a", Draining)
	u.announce()
	u.run(2 * halfOpenTimeout)
	late := numbered(k, 0)
	late.Seq = 5000
	path, _ := u.sendPacket("a", late)
	g.Expect(path).To(Equal("ab"))
	u.synAck("b", k, 1<<30)
	u.run(2 * halfOpenTimeout)
	in := acknowledging(k, 2000)
	var last Action
	for range 5 {
		_, last = u.sendPacket("b", in)
		g.Expect(u.findLost("b")).To(BeEmpty())
		u.now += 500 * time.Millisecond
	}
	g.Expect(last.Kind).To(Equal(Deliver))
}

// Guards against the reset of an open flow whose client has used its port again within the linger time of the flow
// before: a late copy of the SYN is compared with that of the earlier flow, and counts as one of a later flow.
func TestLateCopyOfTheSYNOfAFlowOnAReusedPortDoesNotLoseIt(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.openNumbered(k, 5000, 1000)
	end := acknowledging(k, 1000)
	end.RST = true
	u.sendPacket("a", end)
	u.openNumbered(k, 7000, 1<<30)
	u.run(2 * halfOpenTimeout)
	late := numbered(k, 0)
	late.Seq = 7000
	_, action := u.sendPacket("a", late)
	g.Expect(action.Reason).To(Equal(ReasonLateCopy))
	g.Expect(u.removed).To(BeEmpty())
	u.expectHeldByA(g, acknowledging(k, 1<<30+1000))
}

// Guards against the reset of a flow after a late packet of an earlier flow on its ports, which arrives before the client
// has acknowledged the SYN+ACK: its agent takes the flow for one that is open elsewhere.
func TestLatePacketOfAnEarlierFlowDoesNotLoseAnOpeningFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 1000)
	a := u.agents[u.named("a").ID]
	h, late := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}, acknowledging(k, 1<<30)
	a.Receive(u.now, &h, &late)
	u.expectHeldByA(g, acknowledging(k, 1000))
}
