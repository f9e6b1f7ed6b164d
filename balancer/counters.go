package balancer

import (
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// reasons is the number of drop reasons.
const reasons = len(flow.Counters{}.Dropped)

// tally counts the packets of one batch, so that readers touch the shared
// counters once for each batch.
type tally struct {
	received, sent, refused  int
	hinted, hints, malformed int
	late                     int
	dropped                  [reasons]int
}

// counters are the packet metrics of the process.
type counters struct {
	received, sent, refused  metrics.Counter
	hinted, hints, malformed metrics.Counter
	late                     metrics.Counter
	dropped                  [reasons]metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		received:  metrics.NewRegisteredCounter("packets.received", r),
		sent:      metrics.NewRegisteredCounter("packets.sent", r),
		refused:   metrics.NewRegisteredCounter("packets.refused_by_system", r),
		hinted:    metrics.NewRegisteredCounter("packets.sent_by_hint", r),
		hints:     metrics.NewRegisteredCounter("hints.received", r),
		late:      metrics.NewRegisteredCounter("packets.late", r),
		malformed: metrics.NewRegisteredCounter("packets.malformed", r),
	}
	for i := 1; i < reasons; i++ {
		name := "packets.dropped." + flow.Reason(i).String()
		c.dropped[i] = metrics.NewRegisteredCounter(name, r)
	}
	return c
}

func (c *counters) add(t *tally) {
	inc(c.received, t.received)
	inc(c.sent, t.sent)
	inc(c.refused, t.refused)
	inc(c.hinted, t.hinted)
	inc(c.hints, t.hints)
	inc(c.malformed, t.malformed)
	inc(c.late, t.late)
	for i := 1; i < reasons; i++ {
		inc(c.dropped[i], t.dropped[i])
	}
}

func inc(c metrics.Counter, n int) {
	if n > 0 {
		c.Inc(int64(n))
	}
}
