package balancer

import (
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/daemon"
)

// batchCounts holds the packet counts of one batch, so that a reader updates the shared
// counters only once per batch.
type batchCounts struct {
	received, sent, refusedBySystem int
	hinted, hints, malformed        int
	late, resets                    int
	evacuated                       int // flows refused because all upstreams of their service are evacuated
	dropped                         daemon.Drops
}

// counters holds the packet metrics of the process.
type counters struct {
	received, sent, refusedBySystem metrics.Counter
	hinted, hints, malformed        metrics.Counter
	late, resets, evacuated         metrics.Counter
	dropped                         daemon.DropCounters
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		received:        metrics.NewRegisteredCounter("packets.received", r),
		dropped:         daemon.NewDropCounters(r),
		sent:            metrics.NewRegisteredCounter("packets.sent", r),
		refusedBySystem: metrics.NewRegisteredCounter("packets.refused_by_system", r),
		hinted:          metrics.NewRegisteredCounter("packets.sent_by_hint", r),
		hints:           metrics.NewRegisteredCounter("hints.received", r),
		resets:          metrics.NewRegisteredCounter("resets.sent", r),
		evacuated:       metrics.NewRegisteredCounter("flows.refused.evacuated", r),
		late:            metrics.NewRegisteredCounter("packets.late", r),
		malformed:       metrics.NewRegisteredCounter("packets.malformed", r),
	}
}

func (c *counters) add(t *batchCounts) {
	daemon.Count(c.received, t.received)
	daemon.Count(c.sent, t.sent)
	daemon.Count(c.refusedBySystem, t.refusedBySystem)
	daemon.Count(c.hinted, t.hinted)
	daemon.Count(c.hints, t.hints)
	daemon.Count(c.malformed, t.malformed)
	daemon.Count(c.late, t.late)
	daemon.Count(c.resets, t.resets)
	daemon.Count(c.evacuated, t.evacuated)
	c.dropped.Add(&t.dropped)
}
