package flow

import (
	"testing"

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
