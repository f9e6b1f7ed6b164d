package agent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
)

// batchCounts holds the packet counts of one batch, so that a reader updates the shared
// counters only once per batch.
type batchCounts struct {
	received, delivered, forwarded, replies          int
	hints, malformed, wrongEndpoint, refusedBySystem int
	late, returned, resets, inquiries                int // late: dropped because of their age; returned: by the upstream
	probes, probesReturned                           int // packets of unknown flows delivered to the upstream, and those that it has returned
	dropped                                          daemon.Drops
	awaitsAnswer                                     bool // the first packet of a flow or a probe was delivered
}

// counters holds the packet metrics of the process.
type counters struct {
	received, delivered, forwarded, replies          metrics.Counter
	hints, malformed, wrongEndpoint, refusedBySystem metrics.Counter
	late, returned, resets, inquiries                metrics.Counter
	probes, probesReturned                           metrics.Counter
	dropped                                          daemon.DropCounters
	// lost counts flows that were found lost, by rule: those for which the rule has excluded a peer.
	lost [len(flow.PeerCounts{})]metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		received:        metrics.NewRegisteredCounter("packets.received", r),
		dropped:         daemon.NewDropCounters(r),
		delivered:       metrics.NewRegisteredCounter("packets.delivered", r),
		forwarded:       metrics.NewRegisteredCounter("packets.forwarded", r),
		replies:         metrics.NewRegisteredCounter("packets.replies", r),
		hints:           metrics.NewRegisteredCounter("hints.sent", r),
		returned:        metrics.NewRegisteredCounter("packets.returned", r),
		probes:          metrics.NewRegisteredCounter("probes.delivered", r),
		probesReturned:  metrics.NewRegisteredCounter("probes.returned", r),
		resets:          metrics.NewRegisteredCounter("resets.sent", r),
		inquiries:       metrics.NewRegisteredCounter("inquiries.sent", r),
		late:            metrics.NewRegisteredCounter("packets.late", r),
		malformed:       metrics.NewRegisteredCounter("packets.malformed", r),
		wrongEndpoint:   metrics.NewRegisteredCounter("packets.dropped.wrong_endpoint", r),
		refusedBySystem: metrics.NewRegisteredCounter("packets.refused_by_system", r),
	}
	for i := range c.lost {
		c.lost[i] = metrics.NewRegisteredCounter("flows.lost_by."+flow.Exclusion(i).String(), r)
	}
	return c
}

func (c *counters) addLost(e *flow.Evidence) {
	for rule, peers := range e.ByRule {
		if peers > 0 {
			c.lost[rule].Inc(1)
		}
	}
}

func (c *counters) add(t *batchCounts) {
	daemon.Count(c.received, t.received)
	daemon.Count(c.delivered, t.delivered)
	daemon.Count(c.forwarded, t.forwarded)
	daemon.Count(c.replies, t.replies)
	daemon.Count(c.hints, t.hints)
	daemon.Count(c.malformed, t.malformed)
	daemon.Count(c.late, t.late)
	daemon.Count(c.returned, t.returned)
	daemon.Count(c.probes, t.probes)
	daemon.Count(c.probesReturned, t.probesReturned)
	daemon.Count(c.resets, t.resets)
	daemon.Count(c.inquiries, t.inquiries)
	daemon.Count(c.wrongEndpoint, t.wrongEndpoint)
	daemon.Count(c.refusedBySystem, t.refusedBySystem)
	c.dropped.Add(&t.dropped)
}
