package control

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Counts counts the control traffic of one process in bytes of TCP payload.
type Counts struct {
	Sent     metrics.Counter
	Received metrics.Counter
}

// NewCounts returns counters that are registered as control.bytes_sent and
// control.bytes_received. A nil registry leaves them unregistered.
func NewCounts(r metrics.Registry) *Counts {
	c := &Counts{Sent: metrics.NewCounter(), Received: metrics.NewCounter()}
	if r != nil {
		_ = r.Register("control.bytes_sent", c.Sent)
		_ = r.Register("control.bytes_received", c.Received)
	}
	return c
}

// countingConn is a connection that counts the bytes it reads and writes.
type countingConn struct {
	net.Conn
	counts *Counts
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.Received.Inc(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.Sent.Inc(int64(n))
	return n, err
}
