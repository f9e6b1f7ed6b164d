package flow

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	fleetLength       = 30 * time.Second
	fleetDefaultSeeds = 50
)

// fleetSeeds returns the number of seeds to run and the first one, from NUTMEGTRACK_FLEET_SEEDS
// ("1000" or "5000:1000" for 1,000 seeds from 5000 on).
func fleetSeeds() (first, n uint64, err error) {
	v := os.Getenv("NUTMEGTRACK_FLEET_SEEDS")
	if v == "" {
		return 1, fleetDefaultSeeds, nil
	}
	first = 1
	if from, count, found := strings.Cut(v, ":"); found {
		if first, err = strconv.ParseUint(from, 10, 64); err != nil {
			return 0, 0, err
		}
		v = count
	}
	n, err = strconv.ParseUint(v, 10, 64)
	return first, n, err
}

func runFleet(seed uint64, traced packet.Key) *fleet {
	f := newFleet(seed, fleetLength)
	f.traced = traced
	f.run()
	return f
}

// fleetRun is the outcome of all seeds.
type fleetRun struct {
	seeds      uint64
	violations []violation
	counts     fleetCounts
}

// runFleets runs the simulation with all seeds, once for all tests.
var runFleets = sync.OnceValues(func() (r fleetRun, err error) {
	first, n, err := fleetSeeds()
	for seed := first; seed < first+n; seed++ {
		f := runFleet(seed, packet.Key{})
		r.violations = append(r.violations, f.oracle.violations...)
		r.counts.add(f.oracle.counts)
	}
	r.seeds = n
	return r, err
})

// maxFleetTraces is the number of seeds whose first violation is traced.
const maxFleetTraces = 3

// checkFleets fails on the violations of one kind.
func checkFleets(t *testing.T, rule string) {
	r, err := runFleets()
	if err != nil {
		t.Fatal(err)
	}
	seeds := map[uint64]bool{}
	for _, v := range r.violations {
		if v.rule != rule {
			continue
		}
		t.Error(v)
		if !seeds[v.seed] && len(seeds) < maxFleetTraces {
			t.Log("trace:\n" + strings.Join(runFleet(v.seed, v.flow).traceLines, "\n"))
		}
		seeds[v.seed] = true
	}
	t.Logf("%d of %d seeds broke the rule; %+v", len(seeds), r.seeds, r.counts)
}

func (c *fleetCounts) add(o fleetCounts) {
	c.answered += o.answered
	c.timedOut += o.timedOut
	c.unopened += o.unopened
	c.judged += o.judged
	c.exempt += o.exempt
	c.lost += o.lost
	c.toldInTime += o.toldInTime
	c.toldLater += o.toldLater
	c.neverTold += o.neverTold
}

// Guards against resets of open flows whose upstream runs, while processes are late, views differ
// and agents restart or are marked as failed by mistake.
func TestFleetResetsNoOpenFlow(t *testing.T) { checkFleets(t, ruleReset) }

// Guards against packets of open flows that reach other upstreams, and none their own, under the
// same conditions.
func TestFleetKeepsFlowsAtTheirUpstream(t *testing.T) { checkFleets(t, ruleMisdelivered) }

// Guards against runs that differ with the same seed, whose violations could not be traced.
func TestFleetIsDeterministic(t *testing.T) {
	RegisterTestingT(t)
	a, b := runFleet(1, packet.Key{}), runFleet(1, packet.Key{})
	Expect(a.seq).To(Equal(b.seq))
	Expect(a.oracle.counts).To(Equal(b.oracle.counts))
}
