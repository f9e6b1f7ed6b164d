package balancer

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// addGauges registers the metrics whose values are read when the metrics are requested.
func (b *Balancer) addGauges() {
	gauge := func(name string, read func() float64) {
		_ = b.registry.Register(name, metrics.NewFunctionalGaugeFloat64(read))
	}
	gauge("view.age_seconds", func() float64 { return (b.clock() - b.viewChangedAt()).Seconds() })
	gauge("view.upstreams", func() float64 {
		n := 0
		for i := range b.view().Services {
			n += len(b.view().Services[i].Upstreams)
		}
		return float64(n)
	})
	gauge("evacuation.domains", func() float64 { return float64(len(b.dumpEvacuation().Domains)) })
	if b.routes != nil {
		gauge("routes.version", func() float64 { return float64(b.routes.Version()) })
		gauge("routes.age_seconds", func() float64 { return b.routes.Age().Seconds() })
	}
}

// storeMetrics records the duration of store calls and counts the calls by name and
// outcome.
type storeMetrics struct {
	registry metrics.Registry
	took     metrics.Histogram

	mu       sync.Mutex
	counters map[string]metrics.Counter
}

func newStoreMetrics(r metrics.Registry) *storeMetrics {
	return &storeMetrics{registry: r, took: daemon.NewTimeHistogram("store.call", r), counters: make(map[string]metrics.Counter)}
}

func (m *storeMetrics) observe(call string, d time.Duration, err error) {
	m.took.Update(int64(d))
	name := "store.calls." + call + "." + outcome(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counters[name] == nil {
		m.counters[name] = metrics.NewRegisteredCounter(name, m.registry)
	}
	m.counters[name].Inc(1)
}

// outcome returns the name of the error's class in metrics.
func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrNotFound):
		return "not_found"
	case errors.Is(err, store.ErrCompacted):
		return "compacted"
	case errors.Is(err, store.ErrUnknown):
		return "unknown"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	}
	return "refused"
}
