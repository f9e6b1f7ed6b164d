package httpfront

import (
	"io"
	"net"
	"sync"
)

// upstreamConn is a connection to the upstream. Close ends only the sending side and
// waits in the background until the upstream has closed its side: an upstream may
// still work on a request that was cancelled.
type upstreamConn struct {
	net.Conn
	once     sync.Once
	released chan struct{} // closed when the upstream has let go
	forget   func()
}

// Close cancels the request on the connection.
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
	c.forget()
	close(c.released)
}
