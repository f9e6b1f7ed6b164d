package member

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Guards against an agent that never learns of its earlier process, because the one reply that carried its record
// was lost: the balancer replaces the record with the heartbeat and returned it only once.
func TestPredecessorIsReturnedAgainAfterALostReply(t *testing.T) {
	g := NewWithT(t)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port) }
	rng := rand.New(rand.NewPCG(1, 2))
	n := NewNode(Config{}, Record{Name: "b1", FailureDomain: "a", State: flow.Ready, Control: at(1)}, rng)
	n.SetLoaded()
	earlier := Record{Name: "u1", Service: "s", FailureDomain: "a", Incarnation: 7, Start: 77, Version: 2, State: flow.Ready, Control: at(9)}
	n.Load(flow.MaxFlowAge, []Record{earlier})

	agent := NewAnnouncer(Config{Seeds: []netip.AddrPort{at(1)}}, Record{Name: "u1", Service: "s", FailureDomain: "a", Control: at(9)}, rng)
	now := flow.MaxFlowAge + time.Second
	for i := range 3 { // no balancer could be reached while its upstream announced itself and sent packets
		agent.SetUpstream(now, Upstream{StartID: 77, Slots: i + 1, State: flow.Starting})
	}
	for _, c := range agent.Step(now) {
		n.Handle(now, c.Request)
		agent.Unreachable(now+time.Second, c) // the reply is lost
	}
	for range 3 {
		now += 2 * time.Second
		for _, c := range agent.Step(now) {
			agent.Reply(now, c, n.Handle(now, c.Request))
		}
	}
	g.Expect(agent.ListComplete()).To(BeTrue())
	g.Expect(agent.RanBefore(77)).To(BeTrue())
	g.Expect(agent.Predecessor()).To(BeEquivalentTo(7))
}
