package bench

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Limits", func() {
	options := LimitsOptions{Seed: 3, Upstreams: 5, Customers: 40, Duration: 5 * time.Minute, Load: 0.8, MeanOpen: 60 * time.Second}

	It("never exceeds a plan and refuses almost no flow below it under steady load", func() {
		r := RunLimits(options, Tokens)
		Expect(r.OverPlanMax).To(BeZero())
		Expect(r.RefusedUnderPlanShare).To(BeNumerically("<", 0.001))
		Expect(r.RefusalSecondsMax).To(BeNumerically("<=", 2))
		Expect(r.VictimShareChange).To(BeNumerically("<", 0.01))
	})

	It("never exceeds a plan while messages, agents and grantors fail", func() {
		faulty := options
		faulty.Faults = true
		for seed := range uint64(5) {
			faulty.Seed = seed
			Expect(RunLimits(faulty, Tokens).OverPlanMax).To(BeZero(), "seed %d", seed)
		}
	})

	// Guards against a benchmark that does not detect refusals below the plan.
	It("detects the refusals of a fixed split", func() {
		Expect(RunLimits(options, FixedSplit).RefusedUnderPlanShare).To(BeNumerically(">", 0.05))
	})
})
