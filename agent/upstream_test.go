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

	// Guards against an upstream that has ended but is treated as running forever because it
	// still answers packets: all peers forwarded the packets of all lost flows to it.
	It("probes an upstream that sends packets but does not announce itself", func() {
		now = announceTime / 2
		b.alive()
		Expect(b.probeDue()).To(BeFalse(), "the announcement timeout is not over")
		now = announceTime
		Expect(b.probeDue()).To(BeTrue())
		b.tracker.Ended()
		b.alive()
		now += probePause
		Expect(b.probeDue()).To(BeFalse())
		Expect(b.tracker.HasEnded()).To(BeTrue())
	})

	// Guards against repeated connections to an upstream that runs.
	It("does not probe an upstream that has announced itself or was found to run", func() {
		now = announceTime
		Expect(b.tracker.Announce(now, upstream.Announcement{ID: "i", Service: "portal",
			Address: netip.MustParseAddrPort("127.0.0.1:9")})).To(Succeed())
		Expect(b.probeDue()).To(BeFalse())

		b.tracker = upstream.NewTracker(upstream.Config{Service: "portal"})
		b.listens = true
		Expect(b.probeDue()).To(BeFalse())
	})
})
