package daemon

import (
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// logInterval is the least time between two log events of the same kind, so that an
// outage doesn't fill the log.
const logInterval = time.Minute

// LogLimiter logs an event at most once each minute. It is safe for concurrent use.
type LogLimiter struct {
	log   *event.Logger
	clock Clock
	event event.Definition

	mu         sync.Mutex
	logged     bool
	last       time.Duration
	suppressed int
}

// NewLogLimiter returns a limiter for one event.
func NewLogLimiter(log *event.Logger, clock Clock, d event.Definition) *LogLimiter {
	return &LogLimiter{log: log, clock: clock, event: d}
}

// Peer logs a failed call to a peer.
func (l *LogLimiter) Peer(to netip.AddrPort, err error) { l.Log("peer", to, "error", err) }

// Log logs the event with the pairs, and with the number of events that were left
// out since the last one, or leaves it out.
func (l *LogLimiter) Log(pairs ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if l.logged && now-l.last < logInterval {
		l.suppressed++
		return
	}
	l.log.Log(l.event, append(pairs, "suppressed", l.suppressed)...)
	l.logged, l.last, l.suppressed = true, now, 0
}
