package demo

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// cleanReport returns reports that show no violation.
func cleanReport() *deploymentReport {
	run := standin.Run{Flow: 1, Number: 1}
	d := &deploymentReport{deployment: "d", upstreams: make([]upstreamReport, 2)}
	d.upstreams[0].Name, d.upstreams[0].Runs = "u1", []standin.Run{run}
	d.upstreams[1].Name = "u2"
	d.clients.RequestsSent, d.clients.ResponsesExpected = 1, 1
	return d
}

var _ = Describe("the check of the guarantees", func() {
	It("finds no violation in faultless reports", func() {
		Expect(newResult([]*deploymentReport{cleanReport()}).Violations()).To(BeEmpty())
	})

	// Each entry guards against a demo that passes although a guarantee is violated.
	DescribeTable("finds a violation",
		func(change func(*deploymentReport), want string) {
			d := cleanReport()
			change(d)
			Expect(newResult([]*deploymentReport{d}).Violations()).To(ContainElement(ContainSubstring(want)))
		},
		Entry("a broken flow", func(d *deploymentReport) { d.clients.BrokenPlanned = 1 }, "flows broken"),
		Entry("a packet for another service", func(d *deploymentReport) { d.upstreams[1].WrongServicePackets = 1 }, "another service"),
		Entry("a response of another service", func(d *deploymentReport) { d.clients.WrongService = 1 }, "another service"),
		Entry("a response to another request", func(d *deploymentReport) { d.clients.Mismatched = 1 }, "do not belong"),
		Entry("a request run by two upstreams", func(d *deploymentReport) { d.upstreams[1].Runs = d.upstreams[0].Runs }, "ran more than once"),
		Entry("a response without a run", func(d *deploymentReport) { d.upstreams[0].Runs = nil }, "recorded as run"),
		Entry("no load at all", func(d *deploymentReport) { d.clients.ResponsesExpected = 0 }, "no request was answered"),
		Entry("new work after a drain", func(d *deploymentReport) {
			u := &d.upstreams[1]
			u.FlowsOpened, u.drainStart = 1, time.Unix(100, 0)
			u.LastOpen = time.Duration(time.Unix(104, 0).UnixNano())
		}, "after its drain"),
		Entry("connections above a plan", func(d *deploymentReport) { d.overPlan = 1 }, "above its plan"),
		Entry("refusals below a plan", func(d *deploymentReport) { d.refusedUnderPlan = 0.002 }, "refused below its plan"),
		Entry("a violation recorded during the run", func(d *deploymentReport) { d.runViolations = []string{"noted"} }, "noted"),
	)

	// Guards against ignoring connections above a plan after an upstream was killed.
	It("ignores only refusals below a plan when an upstream was killed on purpose", func() {
		d := cleanReport()
		d.upstreams[1].killed, d.refusedUnderPlan, d.overPlan = true, 0.002, 1
		Expect(newResult([]*deploymentReport{d}).Violations()).To(ConsistOf(ContainSubstring("above its plan")))
	})

	// Guards against counting unplanned losses as violations.
	It("accepts flows lost with an upstream that was killed on purpose", func() {
		d := cleanReport()
		d.clients.BrokenUnplanned = 3
		r := newResult([]*deploymentReport{d})
		Expect(r.Violations()).To(BeEmpty())
		Expect(r.FlowsBrokenTotal).To(BeEquivalentTo(3))
	})
})

var _ = Describe("the measures", func() {
	It("compute max/mean and the control rate", func() {
		Expect(maxOverMean([]int{10, 20, 30})).To(Equal(1.5))
		Expect(maxOverMean([]int{0, 0})).To(BeZero())
		Expect(controlRate(1000, 4, 5*time.Second)).To(Equal(100.0))
	})
})
