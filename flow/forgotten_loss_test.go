package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// unconfirmedLoss returns a service in which the upstream of a has restarted and holds the flow, which was
// accepted before a learned of the restart.
func unconfirmedLoss() (*upstreamRig, packet.Key) {
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 0))
	u.reply("a", k)
	u.restartUpstream("a")
	u.held["a"][k] = true
	return u, k
}

// Guards against the reset of a flow that the upstream's present run may hold, after that upstream was falsely
// taken for stopped: the false stop confirmed the loss, and the upstream's next announcement left it so.
func TestFlowOfARestartedUpstreamFalselyTakenForStoppedIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u, k := unconfirmedLoss()
	a := u.agents[u.named("a").ID]
	a.SetUpstreamStopped(u.now, a.BeginUpstreamCheck())
	a.SetUpstreamStart(u.now, u.named("a").Start, true) // its next announcement
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.MaybeHeld))
	_, action := u.sendPacket("a", data(k))
	g.Expect(action.Kind).To(Equal(Deliver))
}

// Guards against the reset of an idle flow that the upstream's present run may hold: after lostFlowRetention its
// agent had forgotten that, and denied the flow.
func TestIdleFlowOfARestartedUpstreamIsNotResetLater(t *testing.T) {
	g := NewWithT(t)
	u, k := unconfirmedLoss()
	u.run(lostFlowRetention + 5*time.Second)
	g.Expect(u.agents[u.named("a").ID].status(u.now, k.Hash())).To(Equal(packet.MaybeHeld))
	g.Expect(u.suspectAt("a", k, 3*time.Second)).To(BeEmpty())
	_, action := u.sendPacket("a", data(k))
	g.Expect(action.Kind).To(Equal(Deliver))
}
