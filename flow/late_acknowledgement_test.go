package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// lateAcknowledgement returns a service in which the client has the SYN+ACK of the named upstream, but whose first packets
// have got to a balancer that forwards none. They are sent after 0, 0.2, 0.6 and 1.4 s, and the next one, which is
// returned here, after 3 s.
func lateAcknowledgement(owner string) (*upstreamRig, packet.Info) {
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket(owner, numbered(k, 0))
	u.synAck(owner, k, 1000)
	for range 30 {
		u.now += 100 * time.Millisecond
		u.exchangeMessages()
	}
	return u, acknowledging(k, 1000)
}

// Guards against the reset of a flow by its own agent, which has forgotten it as half-open: the client has its SYN+ACK,
// and the packets that acknowledge it were lost with a balancer until 3 s later.
func TestFlowThatIsAcknowledgedLateIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u, in := lateAcknowledgement("a")
	for range 3 { // through balancers without a hint
		path, action := u.sendPacket("a", in)
		g.Expect(u.findLost("a")).To(BeEmpty())
		g.Expect(action.Kind).To(Equal(Deliver))
		g.Expect(path).To(Equal("a"))
		u.now += 200 * time.Millisecond
	}
}

// Guards against the same by the flow's first choice, because the flow's agent denies it. A digest no longer names it: its
// removal has come with the addition of another flow.
func TestFlowThatIsAcknowledgedLateIsNotDenied(t *testing.T) {
	g := NewWithT(t)
	u, in := lateAcknowledgement("b")
	u.sendPacket("b", numbered(u.keyRanked(packet.ProtoTCP, "a", "c", "b", "d"), 0))
	u.exchangeMessages()
	for range 3 {
		u.sendPacket("a", in)
		g.Expect(u.findLost("a")).To(BeEmpty())
		u.now += 200 * time.Millisecond
	}
}
