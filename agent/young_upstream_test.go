package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/upstream"
)

// Guards against the reset of open flows whose upstream had been added shortly before all agents and balancers
// were killed: the next agent took its empty table for complete, as the upstream still warmed up and no
// balancer could know of the earlier agent.
func TestAgentIsNotTakenForTheFirstBesideAYoungUpstream(t *testing.T) {
	g := NewWithT(t)
	agentStart := time.UnixMilli(1_000_000)
	killed := evidenceOf(&upstream.Announcement{Born: 998_200, Sequence: 4, Warmup: 3 * time.Second}, agentStart)
	g.Expect(killed.showsFirstAgent(false)).To(BeFalse(), "a balancer that knows no earlier agent may have been cut off")
	g.Expect(killed.showsFirstAgent(true)).To(BeFalse(), "an earlier agent is known")

	replaced := evidenceOf(&upstream.Announcement{Born: 999_300, Sequence: 2, Warmup: 4 * time.Second}, agentStart)
	g.Expect(replaced.showsFirstAgent(false)).To(BeFalse(), "it was added 0.7 s before")
	g.Expect(replaced.showsFirstAgent(true)).To(BeFalse(), "the store names its former run")

	powered := evidenceOf(&upstream.Announcement{Born: 999_960, Sequence: 1, Warmup: 4 * time.Second}, agentStart)
	g.Expect(powered.showsFirstAgent(true)).To(BeTrue(), "both have started with their VM")
	repeated := evidenceOf(&upstream.Announcement{Born: 999_960, Sequence: 3, Warmup: 4 * time.Second}, agentStart)
	g.Expect(repeated.showsFirstAgent(true)).To(BeFalse(), "the upstream may have announced itself to an earlier agent")
	late := evidenceOf(&upstream.Announcement{Born: 999_500, Sequence: 1, Warmup: 4 * time.Second}, agentStart)
	g.Expect(late.showsFirstAgent(true)).To(BeFalse(), "an earlier agent may have passed SYNs before the announcement")

	// A clock that was set back makes the upstream look younger than the agent.
	for _, predecessor := range []bool{false, true} {
		skewed := evidenceOf(&upstream.Announcement{Born: 1_000_500, Sequence: 2, Warmup: 4 * time.Second}, agentStart)
		g.Expect(skewed.showsFirstAgent(predecessor)).To(BeFalse())
	}

	together := evidenceOf(&upstream.Announcement{Born: 1_001_000, Sequence: 1}, agentStart)
	g.Expect(together.showsFirstAgent(false)).To(BeTrue(), "the upstream has called no earlier agent")
}
