package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of an open flow that has been idle when a copy of its SYN arrives that a balancer has
// held back: the owner takes the copy for the SYN of a new flow and forgets the open one.
func TestLateCopyOfASYNDoesNotLoseAnIdleFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	opened, late := numbered(k, 2), numbered(k, 0)
	opened.Seq, late.Seq = 7000, 7000
	u.sendPacket("a", opened)
	u.synAck("a", k, 1000)
	u.sendPacket("a", acknowledging(k, 1000))
	u.reply("a", k)
	u.run(2 * halfOpenTimeout)

	u.sendPacket("a", late)
	u.synAck("a", k, 1000)
	path, action := u.sendPacket("a", acknowledging(k, 6000))
	g.Expect(u.findLost("a")).To(BeEmpty())
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(path).To(Equal("a"))
}

// Guards against a new flow on the ports of one that was given up, with a sequence number of its own, that is
// delivered to an upstream that is draining.
func TestSYNWithAnotherSequenceNumberBeginsANewFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	first, second := numbered(k, 0), numbered(k, 0)
	first.Seq, second.Seq = 7000, 9000
	u.sendPacket("a", first)
	u.synAck("a", k, 1000)
	u.sendPacket("a", acknowledging(k, 1000))
	u.run(2 * halfOpenTimeout)
	u.setState("a", Draining)
	u.announce()
	path, action := u.sendPacket("a", second)
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(path).NotTo(HaveSuffix("a"))
}

// Guards against a client that numbers each SYN alike, and can't use a port again whose flow it has given up.
func TestSYNWithTheSameSequenceNumberReplacesAnOutdatedFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	in := numbered(k, 0)
	in.Seq = 7000
	u.sendPacket("a", in)
	u.synAck("a", k, 1000)
	u.sendPacket("a", acknowledging(k, 1000))
	u.run(MaxFlowAge)
	_, action := u.sendPacket("a", in)
	g.Expect(action.Reason).To(Equal(ReasonLateCopy))
	u.run(2 * time.Second)
	_, action = u.sendPacket("a", in)
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(u.removed).To(HaveLen(1))
	g.Expect(u.removed[0].Cause).To(Equal(PortsReused))
}

// Guards against a late copy of the SYN of a flow that has ended, which opens a flow that nobody uses.
func TestLateCopyOfTheSYNOfAnEndedFlowIsDropped(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	opened := numbered(k, 1)
	opened.Seq = 7000
	u.sendPacket("a", opened)
	u.synAck("a", k, 1000)
	end := acknowledging(k, 1000)
	end.RST = true
	u.sendPacket("a", end)
	u.setState("a", Draining)
	u.announce()
	late := numbered(k, 0)
	late.Seq = 7000
	path, action := u.sendPacket("a", late)
	g.Expect(path).To(Equal("a"))
	g.Expect(action).To(Equal(Action{Kind: Drop, Reason: ReasonLateCopy}))
}
