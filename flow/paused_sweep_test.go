package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against a half-open flow that is lost, and reset, because its agent was paused: the timer of the handshake runs
// out before the client's packet, which has arrived meanwhile, is read.
func TestPauseDoesNotEndTheHandshakeOfAFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.runSteps(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 1000)
	u.now += 5 * time.Second
	a := u.agents[u.named("a").ID]
	a.Step(u.now)
	u.now += time.Millisecond
	a.Step(u.now) // a packet that was read first has made a step due
	path, action := u.sendPacket("a", acknowledging(k, 1000))
	g.Expect(action.Kind).To(Equal(Deliver))
	g.Expect(path).To(Equal("a"))
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.Held))
}
