package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// These specs guard against agents that take their tables as complete sooner than a flow that may be open was
// allowed to be idle (review/5).
var _ = Describe("The time for which flows may be idle", func() {
	var f *fleet
	limits := func() (out []time.Duration) {
		for _, a := range f.agents {
			out = append(out, a.IdleLimit())
		}
		return out
	}
	set := func(limit time.Duration) {
		for _, n := range f.balancers {
			n.SetIdleLimit(limit)
		}
	}
	BeforeEach(func() {
		f = newFleet(400)
		f.start(4, 6)
	})

	It("is unknown until a balancer knows it", func() {
		Expect(limits()).To(HaveEach(time.Duration(0)))
		set(40 * time.Second)
		f.net.Run(2 * time.Second)
		Expect(limits()).To(HaveEach(40 * time.Second))
	})

	It("is the longest of the lifetime of a flow, also by a balancer that starts after it was lowered", func() {
		set(40 * time.Second)
		f.net.Run(2 * time.Second)
		set(15 * time.Second)
		f.net.Run(20 * time.Second)
		Expect(limits()).To(HaveEach(40 * time.Second))
		for _, name := range []string{"b0", "b1", "b2", "b3"} {
			domain := f.balancers[name].Self().FailureDomain
			f.kill(name)
			f.balancer(name, domain).SetIdleLimit(15 * time.Second)
			f.net.Run(5 * time.Second)
		}
		Expect(limits()).To(HaveEach(40 * time.Second))
		f.net.Run(flow.MaxFlowAge - 35*time.Second)
		Expect(limits()).To(HaveEach(15 * time.Second))
	})

	It("is at once the longer one when it is raised", func() {
		set(15 * time.Second)
		f.net.Run(2 * time.Second)
		set(40 * time.Second)
		f.net.Run(2 * time.Second)
		Expect(limits()).To(HaveEach(40 * time.Second))
	})
})
