package member

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Guards against an agent of an earlier build that concludes from the answers of a balancer that it had no earlier
// process: a balancer may have been cut off while one ran, however long it has run itself.
func TestBalancersClaimNoCompleteHistory(t *testing.T) {
	g := NewWithT(t)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port) }
	rng := rand.New(rand.NewPCG(1, 2))
	n := NewNode(Config{}, Record{Name: "b1", FailureDomain: "a", State: flow.Ready, Control: at(1)}, rng)
	n.SetLoaded()
	agent := NewAnnouncer(Config{Seeds: []netip.AddrPort{at(1)}}, Record{Name: "u1", Service: "s", FailureDomain: "a", Control: at(9)}, rng)
	answers := 0
	for now := 2 * flow.MaxFlowAge; answers < 3; now += flow.MaxFlowAge {
		for _, c := range agent.Step(now) {
			reply := n.Handle(now, c.Request)
			g.Expect(reply.ShortHistory).To(BeTrue())
			agent.Reply(now, c, reply)
			answers++
		}
		digest := Message{Kind: KindDigest, From: at(2), Digests: []Digest{n.table.Digest()}}
		g.Expect(n.Handle(now, digest).ShortHistory).To(BeTrue())
	}
}
