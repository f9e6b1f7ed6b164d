package agent

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/upstream"
)

var _ = Describe("An agent that has just started", func() {
	var (
		m   *upstreamMonitor
		now time.Duration
	)
	BeforeEach(func() {
		now = 0
		cfg := settings.Agent{Name: "u1", HeartbeatSeconds: 1, UpstreamSinkAddress: netip.MustParseAddrPort("127.0.0.1:9")}
		cfg.Service.Name = "portal"
		options := Options{UpstreamAPI: func(AnnouncementHandler) http.Handler { return http.NotFoundHandler() }}
		m = newUpstreamMonitor(newAgent(cfg, options, event.NewLogger(&bytes.Buffer{}), func() time.Duration { return now }))
	})

	// Guards against an upstream that has ended but is treated as running forever because
	// it still answers packets: all peers forwarded the packets of all lost flows to it.
	It("checks the connection to an upstream that sends packets but does not announce itself", func() {
		now = announceTimeout / 2
		m.recordPacket()
		Expect(m.connectionCheckDue()).To(BeFalse(), "the announcement timeout is not over")
		now = announceTimeout
		Expect(m.connectionCheckDue()).To(BeTrue())
		m.tracker.MarkStopped(now)
		m.recordPacket()
		now += minConnectionCheckInterval
		Expect(m.connectionCheckDue()).To(BeFalse())
		Expect(m.tracker.IsStopped()).To(BeTrue())
	})

	// Guards against repeated connections to an upstream that runs.
	It("does not check the connection to an upstream that has announced itself or was found to run", func() {
		now = announceTimeout
		Expect(m.tracker.HandleAnnouncement(now, upstream.Announcement{ID: "i", Service: "portal",
			Address: netip.MustParseAddrPort("127.0.0.1:9")})).To(Succeed())
		Expect(m.connectionCheckDue()).To(BeFalse())

		m.tracker = upstream.NewTracker(upstream.Config{Service: "portal"})
		m.listening = true
		Expect(m.connectionCheckDue()).To(BeFalse())
	})

	// Guards against clients that wait for an upstream that has left: its agent tells peers that ask for its flows only
	// when it knows that the upstream has ended.
	It("checks whether an upstream that has announced its exit has ended", func() {
		now = announceTimeout
		a := upstream.Announcement{ID: "i", Service: "portal", Address: netip.MustParseAddrPort("127.0.0.1:9"), Draining: true}
		Expect(m.tracker.HandleAnnouncement(now, a)).To(Succeed())
		Expect(m.connectionCheckDue()).To(BeFalse())
		Expect(m.tracker.Leave("i")).To(BeTrue())
		Expect(m.connectionCheckDue()).To(BeTrue())
		now++
		Expect(m.recordConnectionCheck(now, 1, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})).To(BeTrue())
		now += minConnectionCheckInterval
		Expect(m.connectionCheckDue()).To(BeFalse())
	})

	// Guards against the loss of all flows of an upstream that has just started, because it
	// sends packets before it listens.
	It("checks a second time before it ends the flows of an upstream that sends packets", func() {
		refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		now = announceTimeout
		m.recordPacket()
		Expect(m.connectionCheckDue()).To(BeTrue())
		Expect(m.recordConnectionCheck(now, 1, refused)).To(BeFalse())
		now += minConnectionCheckInterval
		m.recordPacket()
		Expect(m.connectionCheckDue()).To(BeTrue())
		Expect(m.recordConnectionCheck(now, 1, refused)).To(BeTrue())
	})

	// Guards against the loss of all flows of an upstream that has restarted, because the agent
	// processes a refused connection from before its first announcement late.
	It("ignores a refused connection from before the last announcement", func() {
		now = announceTimeout
		begun := now
		now += 100 * time.Millisecond
		Expect(m.tracker.HandleAnnouncement(now, upstream.Announcement{ID: "i", Service: "portal",
			Address: netip.MustParseAddrPort("127.0.0.1:9")})).To(Succeed())
		Expect(m.recordConnectionCheck(begun, 1, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})).To(BeFalse())
		Expect(m.tracker.IsStopped()).To(BeFalse())
	})
})
