package daemon_test

import (
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
)

var _ = Describe("The metrics page", func() {
	// Guards against a page that a monitoring system cannot parse.
	It("shows counters, gauges and latencies in the text format", func() {
		r := metrics.NewRegistry()
		metrics.NewRegisteredCounter("packets.received", r).Inc(7)
		Expect(r.Register("routes.age_seconds", metrics.NewFunctionalGaugeFloat64(func() float64 { return 1.5 }))).To(Succeed())
		h := daemon.NewTimeHistogram("upstream.request", r)
		h.Update(int64(40 * time.Millisecond))
		w := httptest.NewRecorder()
		daemon.MetricsHandler(r).ServeHTTP(w, httptest.NewRequest("GET", daemon.MetricsPath, nil))
		Expect(w.Header().Get("Content-Type")).To(HavePrefix("text/plain"))
		spec.Golden("metrics.golden", w.Body.String())
	})
})
