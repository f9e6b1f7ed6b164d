package member

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Guards against an agent that takes the list of a balancer which has just started, and knows few agents
// or none, for the list of all upstreams.
func TestListOfABalancerThatHasJustStartedIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port) }
	rng := rand.New(rand.NewPCG(1, 2))
	start := func(name string, port uint16) *Node {
		return NewNode(Config{}, Record{Name: name, FailureDomain: "a", State: flow.Ready, Control: at(port)}, rng)
	}
	agent := NewAnnouncer(Config{Seeds: []netip.AddrPort{at(1)}}, Record{Name: "u1", Service: "s", FailureDomain: "a", Control: at(9)}, rng)
	agentTime := time.Duration(0)
	heartbeat := func(n *Node, now time.Duration) bool {
		agentTime += time.Second
		for _, c := range agent.Step(agentTime) {
			agent.Reply(agentTime, c, n.Handle(now, c.Request))
		}
		return agent.ListComplete()
	}
	exchange := func(from *Node, fromTime time.Duration, to *Node, toTime time.Duration) {
		c := Call{To: to.self.Control, Request: Message{Kind: KindDigest, From: from.self.Control, Digests: []Digest{from.table.Digest()}}}
		from.Reply(fromTime, c, to.Handle(toTime, c.Request))
	}
	young, other, old := start("b1", 1), start("b2", 2), start("b3", 3)
	g.Expect(heartbeat(young, 100*time.Millisecond)).To(BeFalse())
	exchange(young, 200*time.Millisecond, other, 200*time.Millisecond)
	g.Expect(heartbeat(young, 200*time.Millisecond)).To(BeFalse(), "the other balancer has just started too")
	old.SetLoaded()
	exchange(young, 300*time.Millisecond, old, 2*time.Second)
	g.Expect(heartbeat(young, 300*time.Millisecond)).To(BeTrue())
}
