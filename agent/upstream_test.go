package agent

import (
	"bytes"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/upstream"
)

var _ = Describe("An agent that has just started", func() {
	var (
		b   *beside
		now time.Duration
	)
	BeforeEach(func() {
		now = 0
		cfg := settings.Agent{Name: "u1", HeartbeatSeconds: 1, UpstreamSinkAddress: netip.MustParseAddrPort("127.0.0.1:9")}
		cfg.Service.Name = "portal"
		options := Options{UpstreamAPI: func(UpstreamSink) http.Handler { return http.NotFoundHandler() }}
		b = newBeside(newAgent(cfg, options, event.NewLogger(&bytes.Buffer{}), func() time.Duration { return now }))
	})

	// Guards against an upstream that has ended and that its agent believes to run for good,
	// because it still answers packets: all peers passed the packets of all lost flows there.
	It("probes an upstream that sends packets and does not announce itself", func() {
		now = announceTime / 2
		b.alive()
		Expect(b.probeDue()).To(BeFalse(), "it may announce itself yet")
		now = announceTime
		Expect(b.probeDue()).To(BeTrue())
		b.tracker.MarkStopped()
		b.alive()
		now += probePause
		Expect(b.probeDue()).To(BeFalse())
		Expect(b.tracker.IsStopped()).To(BeTrue())
	})

	// Guards against connections again and again to an upstream that runs.
	It("probes no upstream that has announced itself or was found to run", func() {
		now = announceTime
		Expect(b.tracker.Announce(now, upstream.Announcement{ID: "i", Service: "portal",
			Address: netip.MustParseAddrPort("127.0.0.1:9")})).To(Succeed())
		Expect(b.probeDue()).To(BeFalse())

		b.tracker = upstream.NewTracker(upstream.Config{Service: "portal"})
		b.listens = true
		Expect(b.probeDue()).To(BeFalse())
	})
})
