package agent

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/member"
)

// warmup applies the rate of the agent's service to its cold upstream. It is nil if the settings do not
// switch the limit on.
type warmup struct {
	limit       *load.Warmup // guarded by flows.mu
	exceededLog *daemon.LogLimiter

	rate float64 // the rate as last logged, 0 while the limit does not apply; guarded by Agent.stateMu
}

func (a *Agent) newWarmup() *warmup {
	if !a.cfg.LimitsWarmup() || a.options.Packets == nil || a.options.UpstreamAPI == nil {
		return nil
	}
	return &warmup{limit: load.NewWarmup(a.clock()), exceededLog: daemon.NewLogLimiter(a.log, a.clock, event.WarmupExceeded)}
}

// warmupRate returns what balancers have said about cold upstreams of the service.
func (a *Agent) warmupRate() (rate float64, warmTime time.Duration) {
	a.members.Do(func(_ time.Duration, n *member.Announcer) { rate, warmTime = n.Warmup() })
	return rate, warmTime
}

// applyWarmup sets the limit of the upstream's requests, logs its start and its end, and reports whether the upstream
// is known to be cold. The caller holds stateMu, but not flows.mu.
func (a *Agent) applyWarmup(c *upstreamStatus) (cold bool) {
	w := a.warmup
	if w == nil {
		return false
	}
	rate, warmTime := a.warmupRate()
	until := a.monitor.coldUntil(warmTime)
	if c.start == 0 {
		// The upstream has not announced itself to this process. It is taken for cold: while the fleet starts, flows
		// that no other agent accepts are accepted before the first announcement.
		until = math.MaxInt64
	}
	given, left := 0, time.Duration(0)
	a.flows.do(func(now time.Duration, _ *flow.Table) {
		w.limit.Set(rate, until)
		cold, given, left = w.limit.Applies(now), w.limit.Given(now), until-now
	})
	if cold = cold && c.start != 0; !cold {
		rate = 0
	}
	if rate != w.rate {
		if cold {
			a.log.Log(event.WarmupLimited, "start", c.start, "rate", rate, "left", left.Seconds())
		} else {
			a.log.Log(event.WarmupEnded, "start", c.start)
		}
		w.rate = rate
	}
	if bound := rate*a.cfg.WarmupExcess + a.cfg.WarmupSlack; cold && float64(given) > bound {
		w.exceededLog.Log("given", given, "rate", rate, "bound", bound)
	}
	return cold
}

// coldUntil returns the time until which the upstream is cold.
func (m *upstreamMonitor) coldUntil(warmTime time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.ColdUntil(warmTime)
}

// WarmupState is the dump source "warmup".
type WarmupState struct {
	Rate        float64 `json:"rate"` // requests a second that a cold upstream may be given; 0: no limit
	Cold        bool    `json:"cold"` // the limit applies
	LeftSeconds float64 `json:"left_seconds"`
	Room        int     `json:"room"` // requests that the upstream may be given now, if cold
	Given       int     `json:"given_last_second"`
	PassedOn    uint64  `json:"passed_on"`
	Refused     uint64  `json:"refused"`
}

func (a *Agent) warmupState() (s WarmupState) {
	a.flows.do(func(now time.Duration, t *flow.Table) {
		w, c := a.warmup.limit, t.Counters()
		s = WarmupState{Rate: w.Rate(), Cold: w.Applies(now), Given: w.Given(now), PassedOn: c.ColdPassed, Refused: c.ColdRefused}
		if s.Cold {
			s.LeftSeconds, s.Room = (w.Until() - now).Seconds(), w.Limit(now)
		}
	})
	return s
}

// addWarmup adds the dump source and the gauges of the limit.
func (a *Agent) addWarmup() {
	if a.warmup == nil {
		return
	}
	a.control.Dump.AddSource("warmup", func() any { return a.warmupState() })
	gauge := func(name string, read func(s *WarmupState) float64) {
		_ = a.registry.Register(name, metrics.NewFunctionalGaugeFloat64(func() float64 {
			s := a.warmupState()
			return read(&s)
		}))
	}
	gauge("warmup.cold", func(s *WarmupState) float64 {
		if s.Cold {
			return 1
		}
		return 0
	})
	gauge("warmup.room", func(s *WarmupState) float64 { return float64(s.Room) })
	gauge("warmup.given", func(s *WarmupState) float64 { return float64(s.Given) })
	gauge("warmup.passed_on", func(s *WarmupState) float64 { return float64(s.PassedOn) })
	gauge("warmup.refused", func(s *WarmupState) float64 { return float64(s.Refused) })
}
