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

var _ = Describe("An agent that has restarted", func() {
	// Guards against an agent that does not learn that an earlier process ran beside its
	// upstream, because its record is newer than that of the earlier process when it first
	// reaches a balancer.
	It("learns of the earlier process whatever the versions of both records are", func() {
		for version := range uint64(4) {
			f := newFleet(version)
			home := f.record("b1", "", "a")
			n := member.NewNode(member.Config{}, home, f.rng())
			earlier := f.record("u1", "portal", "a")
			earlier.Incarnation, earlier.Version, earlier.Start = 7, 2, 99
			n.Load(0, []member.Record{earlier})
			self := f.record("u1", "portal", "a")
			self.Version = version + 1
			a := member.NewAnnouncer(member.Config{Seeds: []netip.AddrPort{home.Control}}, self, f.rng())
			Expect(a.RanBefore(99)).To(BeFalse())
			now := time.Duration(0)
			for range 5 {
				now += 200 * time.Millisecond
				for _, c := range a.Step(now) {
					a.Reply(now, c, n.Handle(now, c.Request))
				}
			}
			Expect(a.RanBefore(99)).To(BeTrue(), "version %d", self.Version)
			Expect(a.RanBefore(98)).To(BeFalse())
			r, _ := n.Table().Get("u1")
			Expect(r).To(Equal(a.Self()))
		}
	})
})
