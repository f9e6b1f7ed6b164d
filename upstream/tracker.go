package upstream

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

var (
	// ErrStale is returned for an announcement that was sent before the last accepted
	// one, or by an earlier process of the upstream.
	ErrStale = errors.New("upstream: announcement is older than the last accepted one")
	// ErrWrongUpstream is returned for an announcement of an upstream other than this agent's.
	ErrWrongUpstream = errors.New("upstream: announcement is for another service or address")
)

// maxMissedAnnouncements is the number of announcement intervals without a sign of life after
// which the upstream is considered failed. It allows for one lost and one delayed
// announcement.
const maxMissedAnnouncements = 3

// Announcement is a status report of an upstream about itself.
type Announcement struct {
	ID       string // identifies the upstream; usually changes with each start
	Born     int64  // start time of the upstream, in Unix milliseconds
	Sequence int64  // increases with each announcement since the start
	Service  string
	Address  netip.AddrPort
	Version  string // version of the upstream's software
	Slots    int    // maximum number of concurrent requests
	Draining bool
	Warmup   time.Duration // remaining time of reduced speed after the start
}

// StartID returns an identifier of this start of the upstream's process. It is never 0.
func (a *Announcement) StartID() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(a.ID)
	for shift := 0; shift < 64; shift += 8 {
		_, _ = h.Write([]byte{byte(a.Born >> shift)})
	}
	return h.Sum64() | 1
}

// Config describes the upstream that an agent expects.
type Config struct {
	Service              string
	Address              netip.AddrPort // any address is accepted if this is invalid
	AnnouncementInterval time.Duration  // interval between announcements
}

// Tracker tracks the state of an agent's upstream. It is not safe for concurrent use.
type Tracker struct {
	cfg       Config
	known     bool
	last      Announcement
	startID   uint64
	lastAlive time.Duration // time of the last sign of life
	announced time.Duration // time of the last accepted announcement
	leaving   bool          // the upstream has announced its exit
	doubtful  bool          // an exit was announced that may be that of an earlier run
	stopped   bool          // the upstream was found not to be running
	coldSince time.Duration // time of the first announcement of this run
	coldUntil time.Duration // end of the warm-up by the announcements of this run
}

// NewTracker returns a tracker that has not received any announcement.
func NewTracker(cfg Config) *Tracker { return &Tracker{cfg: cfg} }

// HandleAnnouncement processes an announcement. The error is ErrWrongUpstream or ErrStale.
func (t *Tracker) HandleAnnouncement(now time.Duration, a Announcement) error {
	if a.Service != t.cfg.Service || t.cfg.Address.IsValid() && a.Address != t.cfg.Address {
		return errors.Wrapf(ErrWrongUpstream, "%s of service %s at %s", a.ID, a.Service, a.Address)
	}
	startID := a.StartID()
	switch {
	case !t.known:
	case startID != t.startID && a.Born <= t.last.Born:
		return errors.Wrapf(ErrStale, "%s, start time %d ms", a.ID, a.Born)
	case startID == t.startID && a.Sequence <= t.last.Sequence:
		return errors.Wrapf(ErrStale, "%s, sequence number %d", a.ID, a.Sequence)
	}
	if startID != t.startID {
		t.leaving = false
	} else {
		// A draining upstream does not become ready again without a restart.
		a.Draining = a.Draining || t.last.Draining
	}
	t.noteWarmup(now, startID, a.Warmup)
	t.known, t.last, t.startID, t.lastAlive, t.announced = true, a, startID, now, now
	t.stopped, t.doubtful = false, false
	return nil
}

const (
	// maxUnknownWarmup limits the warm-up of an upstream whose service states no warm-up time: a wrong
	// announcement must not limit its upstream for long.
	maxUnknownWarmup = time.Minute
	// maxWarmup is the longest warm-up time that an operator can state, and keeps a sum with a time within its range.
	maxWarmup = 1_000_000 * time.Second
)

// noteWarmup records the remaining warm-up of an announcement. A later announcement of the same run can only
// shorten the warm-up.
func (t *Tracker) noteWarmup(now time.Duration, startID uint64, left time.Duration) {
	until := now + min(left, maxWarmup)
	if t.known && startID == t.startID {
		t.coldUntil = min(t.coldUntil, until)
		return
	}
	t.coldSince, t.coldUntil = now, until
}

// ColdUntil returns the time until which the upstream is cold: by its announcements, but not for longer than
// the given warm-up time of its service, or maxUnknownWarmup if that is 0.
func (t *Tracker) ColdUntil(warmup time.Duration) time.Duration {
	if !t.known {
		return 0
	}
	if warmup <= 0 {
		warmup = maxUnknownWarmup
	}
	return min(t.coldUntil, t.coldSince+min(warmup, maxWarmup))
}

// Leave records that the upstream with the given ID is about to exit. It reports whether
// the ID is that of the last announcement. The notice does not say which run it is of, and an
// upstream may start again under its ID before a late notice arrives. It is certain only of
// a run that has announced that it is draining. Otherwise the upstream gets no new flows, and
// keeps its open ones, until it announces itself again or is found stopped.
func (t *Tracker) Leave(id string) bool {
	if !t.known || t.last.ID != id {
		return false
	}
	t.leaving = t.leaving || t.last.Draining
	t.doubtful = !t.leaving
	return true
}

// ExitAnnounced reports whether the upstream has announced its exit, or may have (see Leave), and was not found stopped.
func (t *Tracker) ExitAnnounced() bool { return (t.leaving || t.doubtful) && !t.stopped }

// ExitDoubtful reports whether the upstream may have exited: see Leave.
func (t *Tracker) ExitDoubtful() bool { return t.doubtful && !t.stopped }

// MarkAlive records that a packet from the upstream has been received.
func (t *Tracker) MarkAlive(now time.Duration) { t.lastAlive = now }

// MarkRunning records that the upstream was found running.
func (t *Tracker) MarkRunning(now time.Duration) { t.lastAlive, t.stopped = now, false }

// MarkStopped records that no process was running at the upstream's address at the time checked.
// The flows that it held are lost. It reports false, and changes nothing, if an announcement has
// been accepted since: the upstream has started meanwhile.
func (t *Tracker) MarkStopped(checked time.Duration) bool {
	if t.known && t.announced >= checked {
		return false
	}
	t.stopped = true
	return true
}

// IsStopped reports whether the upstream was found not to be running, and since then has
// neither sent an announcement nor been found running. A packet from the upstream does
// not count, because it may have been in flight when the upstream stopped.
func (t *Tracker) IsStopped() bool { return t.stopped }

// Known reports whether an announcement has been accepted.
func (t *Tracker) Known() bool { return t.known }

// Last returns the last accepted announcement and the start ID of the process that sent
// it.
func (t *Tracker) Last() (Announcement, uint64) { return t.last, t.startID }

// LastAlive returns the time of the last sign of life.
func (t *Tracker) LastAlive() time.Duration { return t.lastAlive }

// State returns the state that the agent announces for the upstream: Leaving after the
// upstream has announced its exit, or Draining if that notice is doubtful; Failed if it was found not to be running or no sign of
// life was received for too long, counted from the agent's start if there was none at
// all; Starting before the first announcement.
func (t *Tracker) State(now time.Duration) flow.State {
	switch {
	case t.leaving:
		return flow.Leaving
	case t.stopped, now-t.lastAlive > maxMissedAnnouncements*t.cfg.AnnouncementInterval:
		return flow.Failed
	case !t.known:
		return flow.Starting
	case t.last.Draining, t.doubtful:
		return flow.Draining
	}
	return flow.Ready
}
