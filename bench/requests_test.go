package bench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against runs that cannot be repeated, and against a mechanism or ledger that
// no longer tells the variants apart.
func TestRequests(t *testing.T) {
	g := NewWithT(t)
	cfg := RequestsConfig{Seed: 1, Requests: 6000}
	first, second := RunRequests(cfg), RunRequests(cfg)
	g.Expect(second).To(Equal(first))
	g.Expect(first).To(HaveLen(3))
	g.Expect(first[0].RunTwice).To(BeNumerically(">", 0), "without keys")
	g.Expect(first[1].StoreWritesPerSecond).To(BeNumerically(">", 0), "store permits")
	kept := first[2]
	g.Expect([]int{kept.RunTwice, kept.NotRunButRun, kept.Crossed}).To(Equal([]int{0, 0, 0}))
	g.Expect(kept.Requests).To(Equal(cfg.Requests))
	g.Expect(kept.UpstreamRuns).To(BeNumerically(">", cfg.Requests*9/10))
}

// Guards against a negative count that would end a run before it begins.
func TestRequestsConfig(t *testing.T) {
	NewWithT(t).Expect(RequestsConfig{Requests: -1}.Validate()).To(MatchError(ContainSubstring("-1")))
}
