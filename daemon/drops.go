package daemon

import (
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Drops counts the dropped packets of one batch by reason.
type Drops [len(flow.Counters{}.Dropped)]int

// DropCounters are the metrics of dropped packets, one counter for each reason. Index 0 is
// flow.ReasonNone and has no counter.
type DropCounters [len(Drops{})]metrics.Counter

// NewDropCounters registers the counters.
func NewDropCounters(r metrics.Registry) (c DropCounters) {
	for i := 1; i < len(c); i++ {
		name := "packets.dropped." + flow.Reason(i).String()
		c[i] = metrics.NewRegisteredCounter(name, r)
	}
	return c
}

// Add adds the counts of a batch.
func (c *DropCounters) Add(d *Drops) {
	for i := 1; i < len(c); i++ {
		Count(c[i], d[i])
	}
}

// Count adds n to the counter if n is positive. Otherwise it does not access the counter.
func Count(c metrics.Counter, n int) {
	if n > 0 {
		c.Inc(int64(n))
	}
}
