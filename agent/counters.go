package agent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// reasons is the number of drop reasons.
const reasons = len(flow.Counters{}.Dropped)

// tally counts the packets of one batch.
type tally struct {
	received, delivered, forwarded, replies  int
	hints, malformed, wrongEndpoint, refused int
	late                                     int
	dropped                                  [reasons]int
}

// counters are the packet metrics of the process.
type counters struct {
	received, delivered, forwarded, replies  metrics.Counter
	hints, malformed, wrongEndpoint, refused metrics.Counter
	late                                     metrics.Counter
	dropped                                  [reasons]metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		received:      metrics.NewRegisteredCounter("packets.received", r),
		delivered:     metrics.NewRegisteredCounter("packets.delivered", r),
		forwarded:     metrics.NewRegisteredCounter("packets.forwarded", r),
		replies:       metrics.NewRegisteredCounter("packets.replies", r),
		hints:         metrics.NewRegisteredCounter("hints.sent", r),
		late:          metrics.NewRegisteredCounter("packets.late", r),
		malformed:     metrics.NewRegisteredCounter("packets.malformed", r),
		wrongEndpoint: metrics.NewRegisteredCounter("packets.dropped.wrong_endpoint", r),
		refused:       metrics.NewRegisteredCounter("packets.refused_by_system", r),
	}
	for i := 1; i < reasons; i++ {
		name := "packets.dropped." + flow.Reason(i).String()
		c.dropped[i] = metrics.NewRegisteredCounter(name, r)
	}
	return c
}

func (c *counters) add(t *tally) {
	inc(c.received, t.received)
	inc(c.delivered, t.delivered)
	inc(c.forwarded, t.forwarded)
	inc(c.replies, t.replies)
	inc(c.hints, t.hints)
	inc(c.malformed, t.malformed)
	inc(c.late, t.late)
	inc(c.wrongEndpoint, t.wrongEndpoint)
	inc(c.refused, t.refused)
	for i := 1; i < reasons; i++ {
		inc(c.dropped[i], t.dropped[i])
	}
}

func inc(c metrics.Counter, n int) {
	if n > 0 {
		c.Inc(int64(n))
	}
}
