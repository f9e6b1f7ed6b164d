package daemon

import (
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// logInterval is the minimum time between two log entries of the same event, so that an
// outage does not flood the log.
const logInterval = time.Minute

// LogLimiter logs an event at most once per minute. It is safe for concurrent use.
type LogLimiter struct {
	log   *event.Logger
	clock Clock
	event event.Definition

	mu         sync.Mutex
	logged     bool
	last       time.Duration
	suppressed int
}

// NewLogLimiter returns a LogLimiter for one event.
func NewLogLimiter(log *event.Logger, clock Clock, d event.Definition) *LogLimiter {
	return &LogLimiter{log: log, clock: clock, event: d}
}

// LogPeer logs the event for a failed call to a peer.
func (l *LogLimiter) LogPeer(to netip.AddrPort, err error) { l.Log("peer", to, "error", err) }

// Log logs the event with the given key-value pairs and with the number of events that
// were suppressed since the last entry. Within logInterval of the last entry it only
// counts the event as suppressed.
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
