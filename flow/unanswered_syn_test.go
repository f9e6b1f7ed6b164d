package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// deliveredInFlight returns how many of three packets in flight an agent delivers to its upstream before the first of them
// is returned.
func (u *upstreamRig) deliveredInFlight(name string, in packet.Info) (n int) {
	for range 3 {
		h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
		if u.agents[u.named(name).ID].Receive(u.now, &h, &in).Kind == Deliver {
			n++
		}
	}
	return n
}

// Guards against three packets of an open flow that reach an upstream which has accepted a copy of its SYN and has not
// answered it: all SYN+ACKs pass the agent, so that the client has that of another upstream.
func TestPacketsOfAFlowReachAnUpstreamThatHasNotAnsweredItsSYNOnce(t *testing.T) {
	g := NewWithT(t)
	u, _, in := acceptedTwice(false)
	g.Expect(u.deliveredInFlight("b", in)).To(BeNumerically("<=", 1))
}

// Guards against the same after a planned restart of that agent: the list of its flows names the flow as half-open, although
// the upstream has returned a packet of it meanwhile.
func TestPacketsOfAFlowDoNotFollowAnOutdatedListOfHalfOpenFlows(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(6)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "f", "a")
	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 1000)
	u.sendPacket("f", numbered(k, 2))
	u.held["f"] = map[packet.Key]bool{} // it returns the packets of the open flow
	in := acknowledging(k, 1000)
	u.sendPacket("a", in)
	u.reply("a", k)
	before := u.agents[u.named("f").ID]
	u.stopAgent("f")
	h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
	before.HandleReturned(u.now, &h, &in)
	g.Expect(before.Open()).To(BeZero())
	u.returnAgent("f")
	g.Expect(u.deliveredInFlight("f", in)).To(BeNumerically("<=", 1))
}
