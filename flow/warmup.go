package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// A cold upstream is given a limited rate of requests (load.Warmup). A flow counts with its first packet, and its
// first request does not count again unless it comes much later. Requests on open flows use up room too, but are
// not held back.

// loadAt returns the load of the upstream with the limit of a cold one, if it applies.
func (t *Table) loadAt(now time.Duration) load.Load {
	l := t.Load()
	t.work.noRoom = false
	if t.cfg.Warmup.Applies(now) {
		l.Room = t.cfg.Warmup
		t.work.noRoom = l.Room.Limit(now) <= 0
	}
	return l
}

// hasRoom reports whether the limit of a cold upstream allows a further request now.
func (t *Table) hasRoom(now time.Duration) bool {
	return !t.cfg.Warmup.Applies(now) || t.cfg.Warmup.Limit(now) > 0
}

// noteGiven records that the upstream was given a request, or the first packet of a flow.
func (t *Table) noteGiven(now time.Duration) {
	if t.cfg.Warmup != nil {
		t.cfg.Warmup.Note(now)
	}
}

// refuse refuses a new flow that can neither be passed on nor wait.
func (t *Table) refuse(in *packet.Info, why Reason) Action {
	t.counters.Refused++
	if why == ReasonCold {
		t.counters.ColdRefused++
	}
	// A later copy may belong to a flow that an earlier one has opened at another upstream. An
	// unnumbered packet counts as copy 0, also if it is a retransmission.
	if in.Repeat == 0 {
		return Action{Kind: Reset, Reason: why}
	}
	return t.drop(why)
}
