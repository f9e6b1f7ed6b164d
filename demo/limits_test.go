package demo

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

var _ = Describe("the comparison of connections with plans", func() {
	source := netip.MustParseAddr("10.0.0.1")
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Duration {
		return time.Duration(start.UnixNano()) + time.Duration(seconds*float64(time.Second))
	}
	lists := func(began float64, connections int) datedLists {
		l := &plan.Lists{
			Customers: []plan.Customer{{Name: "a", Plan: "p", Sources: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/24")}}},
			Plans:     []plan.Plan{{Name: "p", Services: map[string]plan.Limits{"s": {Connections: connections}}}},
		}
		return datedLists{start.Add(time.Duration(began * float64(time.Second))), plan.NewTable(l)}
	}
	with := func(history ...datedLists) *limits {
		return &limits{history, []customer{{Name: "a", Sources: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/24")}}}}
	}
	// upstream returns an upstream whose connections are given as pairs of start and end
	// times; an end of 0 means that the connection is open.
	upstream := func(times ...float64) upstreamReport {
		var u upstreamReport
		u.Service = "s"
		for i := 0; i < len(times); i += 2 {
			c := standin.Connection{Source: source, Opened: at(times[i])}
			if times[i+1] != 0 {
				c.Closed = at(times[i+1])
			}
			u.Connections = append(u.Connections, c)
		}
		return u
	}

	// Guards against a demo that misses connections above a plan when they are spread
	// over upstreams, or that reports a connection opened at the moment another ended.
	It("counts the connections on all upstreams together", func() {
		l := with(lists(-100, 2))
		Expect(l.overPlan([]upstreamReport{upstream(1, 5, 1, 0), upstream(5, 0)})).To(BeZero())
		Expect(l.overPlan([]upstreamReport{upstream(1, 0, 1, 0), upstream(5, 0, 6, 0)})).To(Equal(2))
	})

	// Guards against reporting connections that were open before their plan was lowered or
	// that were opened within 13 s of the edit, and against not reporting later ones.
	It("applies a lowered plan only 13 s after its edit began", func() {
		l := with(lists(-100, 3), lists(0, 1))
		Expect(l.overPlan([]upstreamReport{upstream(-50, 0, -50, 0, 12, 0)})).To(BeZero())
		Expect(l.overPlan([]upstreamReport{upstream(-50, 0, -50, 0, 14, 0)})).To(Equal(2))
	})

	// Guards against missing connections from sources that belong to no customer.
	It("allows no connections from a source without a customer", func() {
		u := upstream(1, 0)
		u.Connections[0].Source = netip.MustParseAddr("192.0.2.1")
		Expect(with(lists(-100, 2)).overPlan([]upstreamReport{u})).To(Equal(1))
	})

	// Guards against ignoring refusals of a customer below its plan, and against counting
	// those of a customer at its plan.
	It("counts refusals of customers that were below their plan during the whole attempt", func() {
		attempt := func(from, to float64, answered bool) standin.Attempt {
			return standin.Attempt{
				Service: "s", Source: source, Answered: answered,
				Opened: time.Duration(from * float64(time.Second)), Ended: time.Duration(to * float64(time.Second)),
			}
		}
		clients := &standin.LoadReport{Started: start, Attempts: []standin.Attempt{
			attempt(0, 1, true), attempt(1, 9, false), attempt(1, 2, true), attempt(20, 28, false),
		}}
		l := with(lists(-100, 1))
		Expect(l.refusedUnderPlan(clients, []upstreamReport{upstream(0, 2)})).To(Equal(0.25))
		Expect(l.refusedUnderPlan(clients, []upstreamReport{upstream(0, 2, 27, 0)})).To(BeZero())
		Expect(l.refusedUnderPlan(clients, nil)).To(Equal(0.5))
	})
})
