package standin

import (
	"net/netip"
	"time"
)

// Connection is one flow that an upstream accepted.
type Connection struct {
	Source netip.Addr    `json:"source"`
	Opened time.Duration `json:"opened"` // since the process start, or in a report the Unix epoch
	Closed time.Duration `json:"closed"` // likewise; 0 while it is open
}

// connectionLog records the connections of an upstream, up to a limit that bounds
// its memory.
type connectionLog struct {
	limit   int
	list    []Connection
	dropped uint64
}

// open records a connection and returns its position, or -1 beyond the limit.
func (l *connectionLog) open(now time.Duration, source netip.Addr) int {
	if len(l.list) >= l.limit {
		l.dropped++
		return -1
	}
	l.list = append(l.list, Connection{Source: source, Opened: now})
	return len(l.list) - 1
}

// close notes the first end of a connection.
func (l *connectionLog) close(now time.Duration, position int) {
	if position >= 0 && l.list[position].Closed == 0 {
		l.list[position].Closed = now
	}
}

// Connections returns the recorded connections and the number of those not
// recorded. A UDP flow counts as closed some time after its last packet.
func (r *Responder) Connections(now time.Duration) ([]Connection, uint64) {
	list := append([]Connection(nil), r.connections.list...)
	for k, f := range r.flows {
		if f.connection >= 0 && !f.closed && !f.isOpen(now, k.Proto) {
			list[f.connection].Closed = f.lastSeen + udpActive
		}
	}
	return list, r.connections.dropped
}

// sinceEpoch moves the times of connections from the process start to the epoch.
func sinceEpoch(list []Connection, started time.Time) []Connection {
	for i := range list {
		list[i].Opened += time.Duration(started.UnixNano())
		if list[i].Closed != 0 {
			list[i].Closed += time.Duration(started.UnixNano())
		}
	}
	return list
}
