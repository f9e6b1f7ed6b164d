package agent

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/upstream"
)

// Guards against the loss of the flows that a restarted upstream has accepted before its first
// announcement: the check that found the earlier process stopped is processed late. The agent knows
// announcements of the earlier process only.
func TestRefusedConnectionBeforeAPacketEndsNoFlows(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	cfg := settings.Agent{Name: "u1", HeartbeatSeconds: 1, UpstreamSinkAddress: netip.MustParseAddrPort("127.0.0.1:9")}
	cfg.Service.Name = "portal"
	options := Options{UpstreamAPI: func(AnnouncementHandler) http.Handler { return http.NotFoundHandler() }}
	m := newUpstreamMonitor(newAgent(cfg, options, event.NewLogger(&bytes.Buffer{}), func() time.Duration { return now }))
	g.Expect(m.tracker.HandleAnnouncement(now, upstream.Announcement{ID: "i", Service: "portal",
		Address: netip.MustParseAddrPort("127.0.0.1:9")})).To(Succeed())
	now = 2 * time.Second
	begun := now
	now += 100 * time.Millisecond
	m.recordPacket() // of the new process
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	g.Expect(m.recordConnectionCheck(begun, 1, refused)).To(BeFalse())
	now += minConnectionCheckInterval
	g.Expect(m.connectionCheckDue()).To(BeTrue(), "the refusal is checked")
	g.Expect(m.recordConnectionCheck(now, 1, refused)).To(BeTrue(), "nothing listens")
}
