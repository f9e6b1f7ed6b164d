package agent

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// addGauges registers gauges that read the flow table when metrics are scraped.
func (a *Agent) addGauges() {
	gauge := func(name string, read func(now time.Duration, t *flow.Table) float64) {
		_ = a.registry.Register(name, metrics.NewFunctionalGaugeFloat64(func() (v float64) {
			a.flows.do(func(now time.Duration, t *flow.Table) { v = read(now, t) })
			return v
		}))
	}
	gauge("flows.open", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Open()) })
	gauge("flows.waiting", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Waiting()) })
	gauge("flows.held", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().Held) })
	gauge("flows.handed_off", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().HandedOff) })
	gauge("flows.handed_off.evacuated", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().EvacuatedHandedOff) })
	gauge("flows.refused.evacuated", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().EvacuatedRefused) })
	gauge("flows.falsely_denied", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().FalselyDenied) })
	gauge("flows.missed", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().Missed) })
	gauge("flows.adopted", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().Adopted) })
	gauge("flows.tried", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().Tried) })
	gauge("flows.reset", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Counters().Reset) })
	gauge("upstream.requests", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Load().Busy) })
	gauge("upstream.slots", func(_ time.Duration, t *flow.Table) float64 { return float64(t.Load().Slots) })
	gauge("evacuation.domains", func(time.Duration, *flow.Table) float64 { return float64(len(a.peers.evacuatedDomains())) })
	gauge("peers.count", func(_ time.Duration, t *flow.Table) float64 {
		n, _ := t.Peers()
		return float64(n)
	})
	gauge("peers.age_seconds", func(now time.Duration, t *flow.Table) float64 {
		_, changed := t.Peers()
		return (now - changed).Seconds()
	})
}
