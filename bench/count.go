package bench

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// counts holds the measurements of one run. Broken flows, refusals, packets to the wrong
// service and double ownership are counted from the start, all else after the warm-up.
type counts struct {
	flows, packets, deliveries, detoured int
	changes                              int
	brokenPlanned, brokenBalancer        int
	brokenTotal                          int
	wrongService, twoOwners, refused     int

	samples                             int
	pastSlowStartSum, pastSlowStartPeak float64
	readySum, readyPeak                 float64
	maxControlRate                      float64 // highest mean of control bytes per second of one agent
	controlPeak                         int
}

func (c *counts) flowOpened(w *world) {
	if w.now >= warmUp {
		c.flows++
	}
}

func (c *counts) packetSent(w *world) {
	if w.now >= warmUp {
		c.packets++
	}
}

func (c *counts) packetDelivered(w *world, detoured bool) {
	if w.now < warmUp {
		return
	}
	c.deliveries++
	if detoured {
		c.detoured++
	}
}

func (c *counts) flowBroken(w *world) {
	c.brokenTotal++
	if w.lastChangedUpstream {
		c.brokenPlanned++
	}
	if w.lastChangedBalancer {
		c.brokenBalancer++
	}
}

// sample records the load balance and the control traffic of the last second.
func (c *counts) sample(w *world) {
	for _, u := range w.upstreams {
		if w.now >= warmUp {
			u.controlTotal += u.control
			c.controlPeak = max(c.controlPeak, u.control)
		}
		u.control = 0
	}
	if w.now < warmUp {
		return
	}
	c.samples++
	ready := maxOverMean(w.upstreams, func(u *upstream) bool { return u.State == flow.Ready })
	pastSlowStart := maxOverMean(w.upstreams, func(u *upstream) bool {
		return u.State == flow.Ready && w.now-u.stateSince >= slowStart
	})
	c.readySum += ready
	c.readyPeak = max(c.readyPeak, ready)
	c.pastSlowStartSum += pastSlowStart
	c.pastSlowStartPeak = max(c.pastSlowStartPeak, pastSlowStart)
}

// maxOverMean returns the ratio of the maximum to the mean of the open flows of the
// included upstreams, for the service where it is higher.
func maxOverMean(list []*upstream, include func(*upstream) bool) float64 {
	worst := 0.0
	for service := range serviceNames {
		most, sum, n := 0, 0, 0
		for _, u := range list {
			if u.service == service && include(u) {
				most, sum, n = max(most, u.openFlows), sum+u.openFlows, n+1
			}
		}
		if sum > 0 {
			worst = max(worst, float64(most)*float64(n)/float64(sum))
		}
	}
	return worst
}

// recordControlRate updates maxControlRate with the mean rate of an upstream that leaves or that
// still runs at the end of the simulation.
// Upstreams with less than slowStart of measured time are left out.
func (c *counts) recordControlRate(now time.Duration, u *upstream) {
	from := max(u.startedAt, warmUp)
	if now > from+slowStart {
		c.maxControlRate = max(c.maxControlRate, float64(u.controlTotal)/(now-from).Seconds())
	}
}

func (c *counts) result(w *world) FlowsResult {
	for _, u := range w.upstreams {
		c.recordControlRate(w.now, u)
	}
	n := float64(max(c.samples, 1))
	return FlowsResult{
		Policy: w.policy.Name, Upstreams: w.cfg.Upstreams, Balancers: w.cfg.Balancers, Seed: w.cfg.Seed,
		Flows: c.flows, Packets: c.packets, Changes: c.changes,
		BrokenPlanned: c.brokenPlanned, BrokenBalancerDeath: c.brokenBalancer, BrokenTotal: c.brokenTotal,
		WrongService: c.wrongService, TwoOwners: c.twoOwners, Refused: c.refused,
		MaxOverMean: c.pastSlowStartSum / n, MaxOverMeanPeak: c.pastSlowStartPeak,
		MaxOverMeanReady: c.readySum / n, MaxOverMeanReadyPeak: c.readyPeak,
		DetouredShare:         float64(c.detoured) / float64(max(c.deliveries, 1)),
		ControlBytesPerSecond: c.maxControlRate, ControlBytesPeak: float64(c.controlPeak),
	}
}
