package member_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

// live returns the names of the balancers that count as live on a balancer.
func (f *fleet) live(name string) (names []string) {
	for _, b := range f.balancers[name].Table().LiveBalancers() {
		names = append(names, b.Name)
	}
	return names
}

// killBalancers stops all balancers but those named, without an announcement.
func (f *fleet) killBalancers(keep ...string) {
	for name := range f.balancers {
		if !slices.Contains(keep, name) {
			f.kill(name)
		}
	}
}

var _ = Describe("After the loss of most balancers", func() {
	// Guards against duties that stay with balancers that are gone, such as that of a store reader
	// (review/1): without a second observer nobody is marked as failed.
	It("a lone survivor is the only one that counts as live", func() {
		for seed := range uint64(5) {
			f := newFleet(300 + seed)
			f.start(6, 7)
			f.killBalancers("b4")
			f.net.Run(20 * time.Second)
			Expect(f.live("b4")).To(Equal([]string{"b4"}))
		}
	})

	// Guards against a lone survivor that resends each failed push to several balancers that are gone too: the
	// calls multiplied until its steps took seconds, and new routes were not in force (review/1 under load).
	It("a lone survivor does not multiply its calls", func() {
		f := newFleet(305)
		f.start(6, 7)
		f.killBalancers("b4")
		f.net.Run(20 * time.Second)
		calls := 0
		f.net.Observe = func(from, _ netip.AddrPort, _ any) {
			if from == control("b4") {
				calls++
			}
		}
		for version := range int64(3) {
			f.balancers["b4"].SetRoutes(version+1, 0)
			f.setState("u1", flow.Draining)
			f.net.Run(10 * time.Second)
		}
		Expect(calls).To(BeNumerically("<", 30*30), "in 30 s, beside the answers to 7 agents")
	})

	// Guards against duties that stay with balancers that are gone because no more than half of all
	// balancers may be marked as failed, and against records that are never removed for it.
	It("the survivors share the duties and mark the others as failed", func() {
		for seed := range uint64(5) {
			f := newFleet(310 + seed)
			f.start(9, 7)
			f.killBalancers("b4", "b8")
			f.net.Run(30 * time.Second)
			Expect(f.live("b4")).To(Equal([]string{"b4", "b8"}))
			Expect(f.live("b8")).To(Equal([]string{"b4", "b8"}))
			candidates := 0
			for _, n := range f.balancers {
				if member.NewShardWriter("fd1", n.Self().Name).Candidate(n.Table()) {
					candidates++
				}
			}
			Expect(candidates).To(Equal(1), "of the domain of b4")
			f.net.Run(2 * time.Minute)
			f.expectConverged()
		}
	})

	// Guards against lost upstreams that are never marked as failed because the arbiter, the
	// probers or the homes are balancers that are gone.
	It("a lost upstream is marked as failed", func() {
		for seed := range uint64(5) {
			f := newFleet(320 + seed)
			f.start(9, 7)
			f.killBalancers("b1", "b5")
			f.net.Run(20 * time.Second)
			f.kill("u3")
			f.net.Run(40 * time.Second)
			Expect(f.states("u3")).To(HaveEach(flow.Failed))
		}
	})

	// Guards against new balancers that rank behind those that they replace: they know them only
	// from the store, whose shards nobody writes once a domain has no balancer (review/1).
	It("balancers that replace all others count as live alone", func() {
		for seed := range uint64(5) {
			f := newFleet(330 + seed)
			f.start(6, 0)
			stored := f.balancers["b0"].Table().Records()
			f.killBalancers()
			f.seeds = nil
			for i := range 2 {
				n := f.balancer(fmt.Sprintf("c%d", i), fmt.Sprintf("fd%d", i))
				n.Load(0, stored)
				n.SetLoaded()
			}
			f.net.Run(20 * time.Second)
			Expect(f.live("c0")).To(Equal([]string{"c0", "c1"}))
			Expect(f.live("c1")).To(Equal([]string{"c0", "c1"}))
			f.net.Run(2 * time.Minute)
			f.expectConverged()
		}
	})

	// Guards against a balancer that remains without duties, or takes all of them, after it was
	// cut off for a while.
	It("one that was only cut off counts as live soon after", func() {
		for seed := range uint64(5) {
			f := newFleet(340 + seed)
			f.segments["b2"] = "island"
			f.start(6, 7)
			for domain := range 3 {
				f.net.Cut("island", fmt.Sprintf("fd%d", domain))
			}
			f.net.Run(30 * time.Second)
			Expect(f.live("b2")).To(Equal([]string{"b2"}))
			f.net.Heal()
			f.net.Run(5 * time.Second)
			for name := range f.balancers {
				Expect(f.live(name)).To(HaveLen(6), name)
			}
		}
	})
})
