package daemon

import (
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// quietTime is the least time between two log events of the same kind, so that an
// outage doesn't fill the log.
const quietTime = time.Minute

// Quiet logs an event at most once each minute. It is safe for concurrent use.
type Quiet struct {
	log   *event.Logger
	clock Clock
	event event.Definition

	mu         sync.Mutex
	logged     bool
	last       time.Duration
	suppressed int
}

// NewQuiet returns a limiter for one event.
func NewQuiet(log *event.Logger, clock Clock, d event.Definition) *Quiet {
	return &Quiet{log: log, clock: clock, event: d}
}

// Peer logs a failed call to a peer.
func (q *Quiet) Peer(to netip.AddrPort, err error) { q.Log("peer", to, "error", err) }

// Log logs the event with the pairs, and with the number of events that were left
// out since the last one, or leaves it out.
func (q *Quiet) Log(pairs ...any) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	if q.logged && now-q.last < quietTime {
		q.suppressed++
		return
	}
	q.log.Log(q.event, append(pairs, "suppressed", q.suppressed)...)
	q.logged, q.last, q.suppressed = true, now, 0
}
