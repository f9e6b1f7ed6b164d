package httpfront

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/request"
)

// Config holds the parameters of a Front.
type Config struct {
	Service  string
	Upstream netip.AddrPort
	Node     request.NodeConfig // parameters of the agent's request node
	Self     request.Process    // this agent
	Rand     *rand.Rand
	Clock    func() time.Duration  // monotonic
	Send     func(request.Message) // sends to another agent; must not block
}

// Front serves the HTTP requests of callers. It is safe for concurrent use.
type Front struct {
	cfg            Config
	transport      *http.Transport
	server         *http.Server
	maxStoredBytes int

	mu      sync.Mutex
	node    *request.Node // schedules the requests of this agent: queue, slots and keys
	pending map[request.Ticket]chan request.Event
	conns   map[*upstreamConn]bool
}

// maxEventsPerRequest is the maximum number of events of a request: its start and its
// end.
const maxEventsPerRequest = 2

// New returns a Front that serves no listener yet.
func New(cfg Config) *Front {
	f := &Front{
		cfg:            cfg,
		node:           request.NewNode(cfg.Node, cfg.Self, cfg.Rand),
		maxStoredBytes: cfg.Node.Attempts.MaxBodyBytes,
		pending:        make(map[request.Ticket]chan request.Event),
		conns:          make(map[*upstreamConn]bool),
	}
	if f.maxStoredBytes == 0 {
		f.maxStoredBytes = request.MaxBodyBytes
	}
	// Connections are not reused: when a reused connection breaks, net/http itself
	// resends a request that has an Idempotency-Key, although the upstream may have
	// run it.
	f.transport = &http.Transport{DialContext: f.dial, DisableKeepAlives: true, DisableCompression: true}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: headerTimeout}
	return f
}

// headerTimeout is how long a caller may take to send the request headers.
const headerTimeout = 10 * time.Second

// Serve accepts connections on l until Close.
func (f *Front) Serve(l net.Listener) error {
	if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "httpfront")
	}
	return nil
}

// Step performs the work that is due in the request node. It must be called every few
// milliseconds.
func (f *Front) Step() { f.withNode(func(now time.Duration, n *request.Node) { n.Step(now) }) }

// Handle processes a message from another agent.
func (f *Front) Handle(m request.Message) {
	f.withNode(func(now time.Duration, n *request.Node) { n.Handle(now, m) })
}

// SetMembers replaces the list of the running agents of the service.
func (f *Front) SetMembers(list []request.Member) {
	f.withNode(func(now time.Duration, n *request.Node) { n.SetMembers(now, list) })
}

// Drain refuses all requests that have not started and all new ones. Idle reports when
// the started ones have ended.
func (f *Front) Drain() {
	f.withNode(func(now time.Duration, n *request.Node) { n.Drain(now) })
	f.server.SetKeepAlivesEnabled(false)
}

// Idle reports whether no request is queued, parked or in a slot. Responses that are still
// being written without a slot, such as refusals, and stored answers do not count.
func (f *Front) Idle() (idle bool) {
	f.withNode(func(_ time.Duration, n *request.Node) { idle = n.Idle() })
	return idle
}

// State returns a summary for the state dump.
func (f *Front) State() (s request.State) {
	f.withNode(func(_ time.Duration, n *request.Node) { s = n.State() })
	return s
}

// Close closes all connections; incomplete responses are truncated.
func (f *Front) Close() {
	_ = f.server.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Conn.Close()
	}
}

// withNode runs a function on the request node under the lock, then delivers the node's
// events and sends its messages.
func (f *Front) withNode(call func(time.Duration, *request.Node)) {
	f.mu.Lock()
	now := f.cfg.Clock()
	call(now, f.node)
	messages, events := f.node.Take(now)
	for _, e := range events {
		if ch := f.pending[e.Ticket]; ch != nil {
			ch <- e
		}
	}
	f.mu.Unlock()
	for _, m := range messages {
		f.cfg.Send(m)
	}
}

// submit passes a request to the node. r.Deadline is relative to now. The request's
// events are sent to the channel.
func (f *Front) submit(r request.Request) (t request.Ticket, events chan request.Event) {
	events = make(chan request.Event, maxEventsPerRequest)
	f.withNode(func(now time.Duration, n *request.Node) {
		r.Deadline += now
		t = n.Submit(now, r)
		f.pending[t] = events
	})
	return t, events
}

func (f *Front) removePending(t request.Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, t)
}

// cancel cancels a request that has no event yet. A started request is cancelled by its
// exchange.
func (f *Front) cancel(t request.Ticket, events chan request.Event) {
	f.withNode(func(now time.Duration, n *request.Node) {
		if len(events) == 0 {
			n.Cancel(now, t)
		}
	})
}

func (f *Front) finish(t request.Ticket, o request.Outcome, reason request.Reason, a *request.Answer) {
	f.withNode(func(now time.Duration, n *request.Node) { n.Finish(now, t, o, reason, a) })
}

func (f *Front) free(t request.Ticket) {
	f.withNode(func(now time.Duration, n *request.Node) { n.Free(now, t) })
}

// dial opens a connection to the upstream. Its time is limited only by the context.
func (f *Front) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, f.cfg.Upstream.String())
	if err != nil {
		return nil, err
	}
	c := &upstreamConn{Conn: conn, closed: make(chan struct{})}
	c.onClosed = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, c)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = true
	return c, nil
}
