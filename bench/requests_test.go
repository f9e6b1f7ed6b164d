package bench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against runs that are not reproducible, and against a benchmark that no longer
// shows the differences between the variants.
func TestRequests(t *testing.T) {
	g := NewWithT(t)
	cfg := RequestsConfig{Seed: 1, Requests: 6000}
	first, second := RunRequests(cfg), RunRequests(cfg)
	g.Expect(second).To(Equal(first))
	g.Expect(first).To(HaveLen(3))
	g.Expect(first[0].RunTwice).To(BeNumerically(">", 0), "without keys")
	g.Expect(first[1].StoreWritesPerSecond).To(BeNumerically(">", 0), "store permits")
	withRegistrars := first[2]
	g.Expect([]int{withRegistrars.RunTwice, withRegistrars.NotRunButRun, withRegistrars.Crossed}).To(Equal([]int{0, 0, 0}))
	g.Expect(withRegistrars.Requests).To(Equal(cfg.Requests))
	g.Expect(withRegistrars.UpstreamRuns).To(BeNumerically(">", cfg.Requests*9/10))
}

// Guards against a negative count, with which a run would end before its first request.
func TestRequestsConfig(t *testing.T) {
	NewWithT(t).Expect(RequestsConfig{Requests: -1}.Validate()).To(MatchError(ContainSubstring("-1")))
}
