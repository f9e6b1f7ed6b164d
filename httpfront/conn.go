package httpfront

import (
	"io"
	"net"
	"sync"
)

// upstreamConn is a connection to the upstream. Close shuts down only the sending
// direction and waits in the background until the upstream has closed the connection:
// an upstream may still be processing a request that was cancelled.
type upstreamConn struct {
	net.Conn
	once     sync.Once
	closed   chan struct{} // closed when the upstream has closed the connection
	onClosed func()
}

// Close cancels the request that uses the connection.
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
