package member_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

var _ = Describe("An agent whose balancers all failed at once", func() {
	// Guards against an agent that avoids all balancers for seconds because none of them
	// responded while they were starting. It would be missing from every view for that
	// time.
	It("continues to send heartbeats to them", func() {
		seeds := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
		self := member.Record{Name: "u1", Service: "portal", FailureDomain: "a", State: flow.Starting}
		a := member.NewAnnouncer(member.Config{Seeds: seeds}, self, rand.New(rand.NewPCG(1, 1)))
		now := time.Duration(0)
		for range 20 {
			now += 100 * time.Millisecond
			for _, c := range a.Step(now) {
				a.Unreachable(now, c)
			}
		}
		// One of the balancers responds from now on.
		reached := now
		for reached == now || !a.Confirmed() {
			now += 100 * time.Millisecond
			Expect(now - reached).To(BeNumerically("<=", 500*time.Millisecond))
			for _, c := range a.Step(now) {
				if c.To == seeds[0] {
					a.Reply(now, c, member.Message{})
				} else {
					a.Unreachable(now, c)
				}
			}
		}
	})
})
