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
