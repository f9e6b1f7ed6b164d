package control

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBusy is returned when the connection limit is reached and every connection has
// calls in progress.
var ErrBusy = errors.New("control: connection limit reached and no connection is idle")

// ClientConfig configures a Client. Zero fields take the default.
type ClientConfig struct {
	Timeout        time.Duration // limit for one call including connection setup; default 1 s
	DialTimeout    time.Duration // limit for connection setup; default 400 ms, longer than any round trip
	MaxConnections int           // limit of open connections; default 256
	Source         netip.Addr    // local address, used where it can reach the destination; by default the system chooses
}

// Client makes RPC calls over one persistent connection per remote address. It is
// safe for concurrent use.
type Client struct {
	cfg    ClientConfig
	counts *Counts

	mu       sync.Mutex
	conns    map[netip.AddrPort]*clientConn
	closed   bool
	useCount uint64 // incremented on each use; finds the least recently used connection
}

// clientConn is one connection. It exists from before the connection is opened until
// its last call has ended.
type clientConn struct {
	ready   chan struct{} // closed when rpc or err is set
	rpc     *rpc.Client
	err     error
	calls   int    // calls in progress; guarded by Client.mu
	lastUse uint64 // Client.useCount at the last use
	retired bool   // accepts no new calls and is closed after its last one
}

// NewClient returns a client that counts its traffic in counts.
func NewClient(cfg ClientConfig, counts *Counts) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = time.Second
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = 400 * time.Millisecond
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = 256
	}
	return &Client{cfg: cfg, counts: counts, conns: make(map[netip.AddrPort]*clientConn)}
}

// Call makes one call and waits for its reply until ClientConfig.Timeout. After an
// error the caller must not use reply, because a late reply may still be written to
// it. The error is ErrBusy, ErrClosed, an rpc.ServerError from the service, the
// context's error, or a connection error. After one of the last two, the next call
// opens a new connection.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	conn, err := c.acquire(to)
	if err != nil {
		return err
	}
	err = conn.call(ctx, method, args, reply)
	c.release(to, conn, err)
	return errors.Wrapf(err, "control: %s at %s", method, to)
}

// acquire returns the connection to an address and marks it as used by one more call.
// A new connection is opened in the background so that each caller waits with its own
// timeout.
func (c *Client) acquire(to netip.AddrPort) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	conn := c.conns[to]
	if conn == nil {
		if !c.makeRoom() {
			return nil, ErrBusy
		}
		conn = &clientConn{ready: make(chan struct{})}
		c.conns[to] = conn
		go conn.open(to, &c.cfg, c.counts)
	}
	c.useCount++
	conn.lastUse = c.useCount
	conn.calls++
	return conn, nil
}

// makeRoom reports whether another connection may be opened. At the connection limit
// it retires the least recently used idle connection.
func (c *Client) makeRoom() bool {
	if len(c.conns) < c.cfg.MaxConnections {
		return true
	}
	var leastRecent netip.AddrPort
	found := false
	for addr, conn := range c.conns {
		if conn.calls == 0 && (!found || conn.lastUse < c.conns[leastRecent].lastUse) {
			leastRecent, found = addr, true
		}
	}
	if found {
		c.retire(leastRecent, c.conns[leastRecent])
	}
	return found
}

func (c *Client) release(to netip.AddrPort, conn *clientConn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	var fromService rpc.ServerError
	if err != nil && !errors.As(err, &fromService) {
		// A connection that failed or timed out is not used again, because the VM may no
		// longer exist.
		c.retire(to, conn)
	}
	if conn.retired && conn.calls == 0 {
		go conn.close()
	}
}

func (c *Client) retire(to netip.AddrPort, conn *clientConn) {
	if c.conns[to] == conn {
		delete(c.conns, to)
	}
	if !conn.retired && conn.calls == 0 {
		go conn.close()
	}
	conn.retired = true
}

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for to, conn := range c.conns {
		conn.retired = true
		delete(c.conns, to)
		go conn.close()
	}
}

func (c *clientConn) open(to netip.AddrPort, cfg *ClientConfig, counts *Counts) {
	defer close(c.ready)
	ctx, cancel := context.WithTimeout(context.Background(), cfg.DialTimeout)
	defer cancel()
	dialer := net.Dialer{LocalAddr: localAddr(cfg.Source, to.Addr())}
	conn, err := dialParallel(ctx, dialAttemptInterval, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", to.String())
	})
	if err != nil {
		c.err = err
		return
	}
	c.rpc = rpc.NewClient(countingConn{conn, counts})
}

func (c *clientConn) call(ctx context.Context, method string, args, reply any) error {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.err != nil {
		return c.err
	}
	call := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *clientConn) close() {
	<-c.ready
	if c.rpc != nil {
		_ = c.rpc.Close()
	}
}
