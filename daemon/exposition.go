package daemon

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

const (
	// MetricsPath is the URL path of the metrics page.
	MetricsPath = "/metrics"

	metricsPrefix = "nutmegtrack_"
	// sampleSize and sampleAlpha are the usual parameters of an exponentially decaying
	// sample that is weighted towards the last 5 min (rcrowley/go-metrics,
	// NewExpDecaySample).
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// quantiles are the quantiles exposed for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// NewTimeHistogram registers a histogram of durations. The metrics page shows it in
// seconds with the suffix _seconds added to the name.
func NewTimeHistogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// MetricsHandler returns a handler that serves a registry at MetricsPath in the Prometheus
// text format: the metrics page.
func MetricsHandler(r metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		for _, f := range families(r) {
			if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
				return // the client has disconnected
			}
		}
	})
	return mux
}

// Exposition is the HTTP server of a process's metrics page.
type Exposition struct {
	server *http.Server // nil if there is no listener
}

// ServeMetrics serves a registry on a listener until Close. Without a listener (nil) it
// serves nothing. spawn runs the server in the background.
func ServeMetrics(l net.Listener, r metrics.Registry, spawn func(func())) *Exposition {
	if l == nil {
		return &Exposition{}
	}
	e := &Exposition{server: &http.Server{Handler: MetricsHandler(r), ReadHeaderTimeout: readHeaderTimeout}}
	// Serve returns an error when Close is called.
	spawn(func() { _ = e.server.Serve(l) })
	return e
}

// readHeaderTimeout is the timeout for the header of a request, after which the server
// closes the connection.
const readHeaderTimeout = 5 * time.Second

// Close stops the server and closes its connections.
func (e *Exposition) Close() {
	if e != nil && e.server != nil {
		_ = e.server.Close()
	}
}

// families converts the metrics of a registry, sorted by name.
func families(r metrics.Registry) (out []*dto.MetricFamily) {
	names := make(map[string]any)
	r.Each(func(name string, m any) { names[name] = m })
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if f := family(name, names[name]); f != nil {
			out = append(out, f)
		}
	}
	return out
}

func family(name string, m any) *dto.MetricFamily {
	full := metricsPrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	switch m := m.(type) {
	case metrics.Counter:
		return newFamily(full+"_total", dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: float(m.Count())}})
	case metrics.Gauge:
		return newFamily(full, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: float(m.Value())}})
	case metrics.GaugeFloat64:
		value := m.Value()
		return newFamily(full, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: &value}})
	case metrics.Histogram:
		return newFamily(full+"_seconds", dto.MetricType_SUMMARY, &dto.Metric{Summary: summary(m.Snapshot())})
	}
	return nil
}

func summary(h metrics.Histogram) *dto.Summary {
	count, sum := uint64(h.Count()), time.Duration(h.Sum()).Seconds()
	out := &dto.Summary{SampleCount: &count, SampleSum: &sum}
	for i, value := range h.Percentiles(quantiles) {
		seconds := time.Duration(value).Seconds()
		out.Quantile = append(out.Quantile, &dto.Quantile{Quantile: &quantiles[i], Value: &seconds})
	}
	return out
}

func newFamily(name string, kind dto.MetricType, m *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{m}}
}

func float(n int64) *float64 {
	f := float64(n)
	return &f
}
