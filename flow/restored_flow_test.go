package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the denial of a flow that its client has half-closed while the upstream works on its last request, after
// a planned restart of its agent and a late copy of its SYN.
func TestHalfClosedFlowOfARestartedAgentIsHeld(t *testing.T) {
	for _, copied := range []bool{false, true} {
		g := NewWithT(t)
		u, k := rollingFleet()
		f := u.named("f")
		u.stopAgent("f")
		u.returnAgent("f")
		table := u.agents[f.ID]
		table.SetPredecessor(f.Incarnation)
		if copied {
			u.sendPacket("f", numbered(k, 1))
			u.synAck("f", k, 1000)
		}
		end := data(k)
		end.FIN = true
		u.sendPacket("f", end)
		u.run(10 * time.Second)
		g.Expect(table.status(u.now, k.Hash())).To(Equal(packet.Held), "copied: %v", copied)
	}
}

// Guards against the loss of a flow without a known SYN, which an agent has adopted after it was killed, by a late copy of
// that SYN.
func TestLateCopyOfASYNDoesNotLoseAnAdoptedFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 2))
	u.restartAgent("a")
	u.reportStart("a")
	u.reply("a", k)
	u.run(rebuildTime + time.Second)
	late := numbered(k, 0)
	late.Seq = 7000
	u.sendPacket("a", late)
	u.synAck("a", k, 1000)
	u.run(2 * halfOpenTimeout)
	path, action := u.sendPacket("a", acknowledging(k, 6000))
	g.Expect(path).To(Equal("a"))
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(u.removed).To(BeEmpty())
}
