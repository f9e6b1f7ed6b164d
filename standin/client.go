package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// ClientConfig configures a client process.
type ClientConfig struct {
	LoadConfig
	Listen  netip.AddrPort // receives replies
	Fabric  netip.AddrPort // destination of the clients' packets
	Control string         // address of the HTTP endpoint
	Seed    uint64
}

// stepInterval is the interval between calls of LoadGenerator.Step. A request or
// retransmission is sent at most this late.
const stepInterval = 5 * time.Millisecond

// Client connects a LoadGenerator to a UDP socket.
type Client struct {
	cfg     ClientConfig
	started time.Time
	mu      sync.Mutex
	load    *LoadGenerator
	conn    *net.UDPConn
}

// NewClient returns a client process. Run opens its sockets.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg}
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Run)))
	c.load = NewLoadGenerator(cfg.LoadConfig, rng, c.send)
	return c
}

func (c *Client) send(p []byte) {
	// Write errors are ignored: the packet is retransmitted like a lost one.
	_, _ = c.conn.WriteToUDPAddrPort(p, c.cfg.Fabric)
}

// Run generates load until ctx ends or a socket fails.
func (c *Client) Run(ctx context.Context) error {
	conn, err := listenPackets(c.cfg.Listen)
	if err != nil {
		return err
	}
	c.conn, c.started = conn, time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return closeOnDone(ctx, conn) })
	group.Go(func() error { return readPackets(ctx, conn, c.handle) })
	group.Go(func() error { return c.tick(ctx) })
	group.Go(func() error { return serveHTTP(ctx, c.cfg.Control, c.Handler()) })
	return group.Wait()
}

func (c *Client) handle(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load.Receive(time.Since(c.started), p)
}

func (c *Client) tick(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		c.mu.Lock()
		c.load.Step(time.Since(c.started))
		c.mu.Unlock()
	}
}

// KilledUpstream is the body of POST /killed. It names an upstream that was killed on
// purpose.
type KilledUpstream struct {
	Upstream string `json:"upstream"`
}

// EndFlowsRequest is the body of POST /end. It requests that the clients close all flows
// of an upstream.
type EndFlowsRequest struct {
	Upstream string  `json:"upstream"`
	Seconds  float64 `json:"seconds"` // period over which the flows are closed
}

// Handler returns the control endpoint: GET /report, POST /close to close all flows,
// POST /end with an EndFlowsRequest, and POST /killed with a KilledUpstream.
func (c *Client) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, c.report())
	})
	mux.HandleFunc("POST /close", func(w http.ResponseWriter, _ *http.Request) {
		c.locked(c.load.Close)
		answerJSON(w, struct{}{})
	})
	mux.HandleFunc("POST /killed", func(w http.ResponseWriter, r *http.Request) {
		var note KilledUpstream
		if !readJSON(w, r, &note) {
			return
		}
		c.locked(func() { c.load.MarkKilled(note.Upstream) })
		answerJSON(w, struct{}{})
	})
	mux.HandleFunc("POST /end", func(w http.ResponseWriter, r *http.Request) {
		var end EndFlowsRequest
		if !readJSON(w, r, &end) {
			return
		}
		within := time.Duration(end.Seconds * float64(time.Second))
		c.locked(func() { c.load.EndFlows(time.Since(c.started), within, end.Upstream) })
		answerJSON(w, struct{}{})
	})
	return mux
}

func (c *Client) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *Client) report() LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.load.Report()
	r.Started = c.started
	return r
}
