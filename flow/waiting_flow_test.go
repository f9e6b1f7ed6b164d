package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against a reset for an open flow, whose packets are dropped meanwhile: late copies of its SYN wait for a slot at
// another agent, which takes a packet of the open flow for the copy that it lacks.
func TestPacketOfAnOpenFlowEndsTheWaitOfItsLateCopies(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	a := u.agents[u.named("a").ID]
	f := &waitingFlow{firstPacket: firstPacket{key: k, copyNumber: 1}, since: u.now, until: noTimeLimit, copies: 1 << 1}
	a.waiting.add(1, f)
	u.sendPacket("a", numbered(k, 2))
	g.Expect(a.IsWaiting(1)).To(BeTrue())
	g.Expect(f.mayBeOpenElsewhere(u.now + SYNCopyDelay(2))).To(BeTrue())

	u.sendPacket("c", numbered(k, 0))
	u.synAck("c", k, 1000)
	u.sendPacket("c", acknowledging(k, 1000))
	path, action := u.sendPacket("a", acknowledging(k, 1000))
	g.Expect(action.Kind).To(Equal(Deliver), action.Reason.String())
	g.Expect(path).To(HaveSuffix("c"))
	a.refuseWaiting(u.now+SYNCopyDelay(2), 1)
	g.Expect(a.RefusedFlows()).To(BeEmpty())
}
