package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of an open flow whose upstream returns a late copy of its SYN: it is leaving or full, and the
// flow left the table, which went on counting as complete.
func TestReturnedCopyOfASYNDoesNotRemoveItsOpenFlow(t *testing.T) {
	for _, restored := range []bool{false, true} {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		opened := numbered(k, 2)
		opened.Seq = 7000
		u.sendPacket("a", opened)
		u.synAck("a", k, 1000)
		u.sendPacket("a", acknowledging(k, 1000))
		a := u.agents[u.named("a").ID]
		if restored {
			a.flows.findHash(k.Hash()).synSeq = 0 // as of a flow that an earlier process of the agent accepted
		}
		late := opened
		late.Repeat = 0
		h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
		action := a.Receive(u.now, &h, &late)
		if restored {
			g.Expect(action.Kind).To(Equal(Deliver))
			action = a.HandleReturned(u.now, &h, &late)
		}
		g.Expect(action.Kind).To(Equal(Drop), "no other upstream is to open it")
		g.Expect(action.Reason).To(Equal(ReasonLateCopy))
		g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.Held))
	}
}

// Guards against the loss of a half-open flow whose upstream, which is full or leaving by now, returns a copy of its SYN:
// the client acknowledges the SYN+ACK that it has got from this upstream.
func TestReturnedCopyOfASYNDoesNotRemoveItsHalfOpenFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	first := numbered(k, 0)
	first.Seq = 7000
	u.sendPacket("a", first)
	u.synAck("a", k, 1000)
	again := first
	again.Repeat = 1
	a := u.agents[u.named("a").ID]
	h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
	g.Expect(a.Receive(u.now, &h, &again).Kind).To(Equal(Deliver))
	a.HandleReturned(u.now, &h, &again)
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.MaybeHeld))
	path, action := u.sendPacket("a", acknowledging(k, 1000))
	g.Expect(path).To(Equal("a"))
	g.Expect(action.Kind).To(Equal(Deliver))
}

// Guards against the loss of a flow that an earlier process of the agent has passed half-open, and against a client whose
// SYN no upstream answers.
func TestReturnedSYNOfARestoredHalfOpenFlowIsHandedOff(t *testing.T) {
	g := NewWithT(t)
	u, _, in := acceptedTwice(false)
	u.stopAgent("b")
	u.returnAgent("b")
	b := u.agents[u.named("b").ID]
	again := numbered(in.Key, 2)
	h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
	g.Expect(b.Receive(u.now, &h, &again).Kind).To(Equal(Deliver))
	g.Expect(b.HandleReturned(u.now, &h, &again).Kind).To(Equal(Forward))
	g.Expect(b.status(u.now, in.Key.Hash())).To(Equal(packet.MaybeHeld))
}

// Guards against a client that uses its port again at once and gets no answer, as its upstream is full.
func TestReturnedSYNOfANewFlowOnTheSamePortsIsHandedOff(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	opened := numbered(k, 0)
	opened.Seq = 7000
	u.sendPacket("a", opened)
	u.synAck("a", k, 1000)
	u.sendPacket("a", acknowledging(k, 1000))
	again := opened
	again.Seq = 9000
	a := u.agents[u.named("a").ID]
	h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
	g.Expect(a.Receive(u.now, &h, &again).Kind).To(Equal(Deliver))
	action := a.HandleReturned(u.now, &h, &again)
	g.Expect(action.Kind).To(Equal(Forward))
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.NotHeld))
}
