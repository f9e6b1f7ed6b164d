package httpfront

import (
	"io"
	"net"
	"sync"
)

// upstreamConn is a connection to the upstream that remains open after Close until the
// upstream has closed it too.
type upstreamConn struct {
	net.Conn
	once     sync.Once
	closed   chan struct{} // closed when the upstream has closed the connection
	onClosed func()
}

// Close shuts down the sending direction, which cancels a request in progress, and returns.
// The rest of the connection remains open until the upstream has closed it, because the
// upstream may still be processing a cancelled request. There is no time limit; only
// Front.Close closes it earlier.
func (c *upstreamConn) Close() error {
	c.once.Do(func() {
		if half, ok := c.Conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		go c.drain()
	})
	return nil
}

func (c *upstreamConn) drain() {
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
	c.onClosed()
	close(c.closed)
}
