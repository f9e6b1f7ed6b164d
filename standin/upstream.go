package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// UpstreamConfig configures an upstream process.
type UpstreamConfig struct {
	ResponderConfig
	Listen  netip.AddrPort // receives IP packets from the agent
	ReplyTo netip.AddrPort // address at which the agent receives replies
	Control string         // address of the HTTP endpoint
	Seed    uint64
}

// UpstreamReport contains the counters and records of an upstream.
type UpstreamReport struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Open    int    `json:"open"`
	UpstreamCounts
	Runs    []Run  `json:"runs,omitempty"`
	Dropped uint64 `json:"dropped"` // requests beyond the limit of Runs
	// Connections lists the accepted flows up to a limit, and ConnectionsDropped is the
	// number of those beyond it. Only /ledger returns Runs and these two.
	Connections        []Connection `json:"connections,omitempty"`
	ConnectionsDropped uint64       `json:"connections_dropped"`
}

const (
	// maxPacket is the maximum size of an IP packet.
	maxPacket = 65535
	// socketBuffer is the size in bytes of a socket's receive buffer, in which packets wait
	// while the process is not scheduled.
	socketBuffer = 4 << 20
)

// Upstream connects a Responder to a UDP socket.
type Upstream struct {
	cfg       UpstreamConfig
	started   time.Time
	mu        sync.Mutex
	responder *Responder
}

// NewUpstream returns an upstream. Run opens its sockets.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(UpstreamTag(cfg.Name))))
	return &Upstream{cfg: cfg, started: time.Now(), responder: NewResponder(cfg.ResponderConfig, rng)}
}

// Run serves until ctx ends or a socket fails.
func (u *Upstream) Run(ctx context.Context) error {
	conn, err := listenPackets(u.cfg.Listen)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return closeOnDone(ctx, conn) })
	group.Go(func() error { return readPackets(ctx, conn, func(p []byte) { u.handle(conn, p) }) })
	group.Go(func() error { return serveHTTP(ctx, u.cfg.Control, u.Handler()) })
	return group.Wait()
}

func (u *Upstream) handle(conn *net.UDPConn, p []byte) {
	u.mu.Lock()
	answer := u.responder.Receive(time.Since(u.started), p)
	u.mu.Unlock()
	if answer != nil {
		// Write errors are ignored: the client retransmits its request and gets the
		// reply again, as after any packet loss.
		_, _ = conn.WriteToUDPAddrPort(answer, u.cfg.ReplyTo)
	}
}

// Handler returns the control endpoint: GET /report, and GET /ledger, which also
// lists the recorded requests and connections.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, u.report(false))
	})
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, u.report(true))
	})
	return mux
}

func (u *Upstream) report(runs bool) UpstreamReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := UpstreamReport{
		Name:           u.cfg.Name,
		Service:        u.cfg.Service,
		Open:           u.responder.OpenFlows(time.Since(u.started)),
		UpstreamCounts: u.responder.Counts(),
	}
	r.LastOpen += time.Duration(u.started.UnixNano())
	all, dropped := u.responder.Runs()
	r.Dropped = dropped
	if runs {
		r.Runs = append([]Run(nil), all...)
		list, dropped := u.responder.Connections(time.Since(u.started))
		r.Connections, r.ConnectionsDropped = sinceEpoch(list, u.started), dropped
	}
	return r
}

func listenPackets(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "packet socket")
	}
	// The kernel may limit the buffer to a smaller size. Packets lost because of it are
	// retransmitted.
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// closeOnDone closes the socket when ctx ends, which unblocks its reader.
func closeOnDone(ctx context.Context, c interface{ Close() error }) error {
	<-ctx.Done()
	return c.Close()
}

// readPackets passes every datagram to handle, which must not retain it, until ctx
// ends.
func readPackets(ctx context.Context, conn *net.UDPConn, handle func([]byte)) error {
	buffer := make([]byte, maxPacket)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrClosed):
			return errors.Wrap(err, "packet socket")
		case err != nil:
			continue // an ICMP error in reply to an earlier datagram
		}
		handle(buffer[:n])
	}
}
