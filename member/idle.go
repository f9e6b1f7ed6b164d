package member

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// idleLimits is what a balancer knows of the time for which flows may be idle. After a process has lost
// its table, a flow can only be known to be gone once it has been idle for longer than was allowed.
type idleLimits struct {
	current time.Duration // by the active routes; 0 if unknown
	// former is a longer limit that was in force until a short time ago. Flows that were opened by then
	// may have been idle for that long until formerUntil.
	former, formerUntil time.Duration
}

// set records the limit of newly active routes.
func (l *idleLimits) set(now, limit time.Duration) {
	if limit < l.current {
		l.noteFormer(now, l.current, now+flow.MaxFlowAge)
	}
	l.current = limit
}

func (l *idleLimits) noteFormer(now, limit, until time.Duration) {
	if now >= l.formerUntil || limit > l.former {
		l.former, l.formerUntil = limit, until
	}
}

// longest returns the longest limit of the flows that may be open; 0 if unknown.
func (l *idleLimits) longest(now time.Duration) time.Duration {
	if l.current == 0 || now >= l.formerUntil {
		return l.current
	}
	return max(l.current, l.former)
}

// SetIdleLimit sets the time for which flows may be idle by the active routes; 0 if the routes do not say.
func (n *Node) SetIdleLimit(limit time.Duration) { n.idle.set(n.now, limit) }

// addIdleLimits adds a former limit to a message to a balancer.
func (n *Node) addIdleLimits(m *Message) {
	// Rounded down, so that balancers cannot prolong the time by passing it to each other.
	if left := (n.idle.formerUntil - n.now) / time.Second; left > 0 && m.Kind != KindNone {
		m.FormerIdle, m.FormerIdleLeft = secondsUp(n.idle.former), uint32(left)
	}
}

func (n *Node) noteIdleLimits(m *Message) {
	if m.FormerIdleLeft > 0 {
		left := min(time.Duration(m.FormerIdleLeft)*time.Second, flow.MaxFlowAge)
		n.idle.noteFormer(n.now, time.Duration(m.FormerIdle)*time.Second, n.now+left)
	}
}

// secondsUp returns a duration in seconds, rounded up.
func secondsUp(d time.Duration) uint32 {
	return uint32(min((d+time.Second-1)/time.Second, 1<<31))
}

// IdleLimit returns the longest time for which an open flow may have been idle, as a balancer last knew it; 0
// if none has.
func (a *Announcer) IdleLimit() time.Duration { return a.idleLimit }
