package standin

import (
	"net/netip"
	"time"
)

// Connection is the record of one flow that an upstream accepted.
type Connection struct {
	Source netip.Addr    `json:"source"`
	Opened time.Duration `json:"opened"` // since the start of the process; in a report, since the Unix epoch
	Closed time.Duration `json:"closed"` // as Opened; 0 while the connection is open
}

// connectionLog records the connections of an upstream. Its limit bounds the memory
// that it uses.
type connectionLog struct {
	limit   int
	list    []Connection
	dropped uint64
}

// open records a connection and returns its index in the list, or -1 if the list is
// full.
func (l *connectionLog) open(now time.Duration, source netip.Addr) int {
	if len(l.list) >= l.limit {
		l.dropped++
		return -1
	}
	l.list = append(l.list, Connection{Source: source, Opened: now})
	return len(l.list) - 1
}

// close records the end of a connection. Only the first call for a connection has
// an effect.
func (l *connectionLog) close(now time.Duration, index int) {
	if index >= 0 && l.list[index].Closed == 0 {
		l.list[index].Closed = now
	}
}

// Connections returns the recorded connections and the number of those beyond the
// limit. A UDP flow counts as closed udpOpenPeriod after its last packet.
func (r *Responder) Connections(now time.Duration) ([]Connection, uint64) {
	list := append([]Connection(nil), r.connections.list...)
	for k, f := range r.flows {
		if f.logIndex >= 0 && !f.closed && !f.isOpen(now, k.Proto) {
			list[f.logIndex].Closed = f.lastSeen + udpOpenPeriod
		}
	}
	return list, r.connections.dropped
}

// sinceEpoch converts the times of the connections, in place, from time since the
// start of the process to time since the Unix epoch.
func sinceEpoch(list []Connection, started time.Time) []Connection {
	for i := range list {
		list[i].Opened += time.Duration(started.UnixNano())
		if list[i].Closed != 0 {
			list[i].Closed += time.Duration(started.UnixNano())
		}
	}
	return list
}
