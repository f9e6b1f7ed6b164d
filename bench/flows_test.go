package bench

import (
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
)

func TestBench(t *testing.T) { spec.Run(t, "bench") }

// result returns the result of a policy and panics if there is none.
func result(list []FlowsResult, policy string) FlowsResult {
	for _, r := range list {
		if r.Policy == policy {
			return r
		}
	}
	panic("no result of policy " + policy)
}

var _ = Describe("RunFlows", func() {
	DescribeTable("the forward policy breaks no flow and meets its targets",
		func(cfg FlowsConfig) {
			cfg.Upstreams = 5
			results := RunFlows(cfg)
			f := result(results, "forward")
			Expect(f.Changes).To(BeNumerically(">=", cfg.Changes))
			Expect([]int{f.BrokenTotal, f.WrongService, f.TwoOwners}).To(Equal([]int{0, 0, 0}))
			Expect(f.MaxOverMean).To(BeNumerically("<=", 1.10))
			Expect(f.ControlBytesPerSecond).To(BeNumerically("<=", 6000))
			// Guards against a benchmark whose changes would break no flow under any policy.
			for _, baseline := range []string{"hash", "hash_cache", "previous_owner"} {
				Expect(result(results, baseline).BrokenTotal).To(BeNumerically(">", 100))
			}
		},
		Entry("planned changes and balancer death", FlowsConfig{Seed: 11, Changes: 6}),
		Entry("changes twice as often", FlowsConfig{Seed: 12, Changes: 8, Interval: 15 * time.Second}),
		Entry("5% of the messages lost", FlowsConfig{Seed: 13, Changes: 6, MessageLoss: 0.05}),
	)

	It("returns the same result for the same seed", func() {
		cfg := FlowsConfig{Seed: 3, Upstreams: 2, Changes: 2}
		Expect(reflect.DeepEqual(RunFlows(cfg), RunFlows(cfg))).To(BeTrue())
	})

	It("rejects options that are out of range", func() {
		for _, cfg := range []FlowsConfig{{Upstreams: -1}, {Upstreams: 5000}, {Balancers: -1}, {Changes: -1}, {Lag: -1}, {Threshold: -1}, {MessageLoss: 1}} {
			Expect(cfg.Validate()).NotTo(Succeed())
		}
	})
})
