package request

import (
	"math"
	"slices"
	"time"
)

// RegistrarConfig holds the parameters of a Registrar. Zero fields take the default.
type RegistrarConfig struct {
	// Retention is how long the record of a grant is kept; default 15 min.
	Retention time.Duration
	// PullInterval is the interval at which records are requested from agents that have
	// not sent them; default 200 ms.
	PullInterval time.Duration
	// NewService states that no request of the service has run before. If it is false and
	// no running agent is complete, all keys are refused for the retention time.
	NewService bool
}

func (c RegistrarConfig) withDefaults() RegistrarConfig {
	if c.Retention == 0 {
		c.Retention = 15 * time.Minute
	}
	if c.PullInterval == 0 {
		c.PullInterval = 200 * time.Millisecond
	}
	return c
}

// Registrar records to which attempt a key is granted.
//
// A grant is valid only for the pair of registrars that the claim names, and both
// registrars must have the same pair in their views. If an agent's pair for a key has
// changed, the agent grants the key only after every running agent has adopted the same
// membership and has sent its records. From then on no agent grants the key under the
// earlier pair.
type Registrar struct {
	cfg     RegistrarConfig
	self    Process
	records map[Key]keyRecord
	expiry  []expiryEntry

	current *view
	// complete is the view, not necessarily the current one, in which the registrar last
	// became complete: all other members have answered its pull. It is nil if there is none.
	complete *view
	// sinceComplete holds the views adopted after complete; it is empty while the registrar
	// is complete in the current view. Keys that have the same pair in complete and in all
	// of them can be granted.
	sinceComplete []*view
	// recentViews holds the last maxRecentViews adopted views, ending with the current one.
	// It determines which records a peer that sends a pull already has.
	recentViews  []*view
	adoptedCount int // number of views adopted so far
	// pastViews holds the views that were replaced since the registrar was last complete,
	// unless expired. It is sent with the records, and finishPull derives losses from it.
	pastViews []pastView
	losses    []loss
	pull      pull

	Counts RegistrarCounts
}

// RegistrarCounts holds totals since the process started.
type RegistrarCounts struct {
	Granted, Held, Refused, HandedOver, Completed uint64
}

// keyRecord holds the attempts to which a key is granted: one, or several after a hand-over
// from registrars that had granted the key to different attempts.
type keyRecord struct {
	attempts []AttemptID
	expires  time.Duration
	// startUntil is when the last of the attempts that have not started must have started by this
	// registrar's grant; anyTime if that is not known or one of them runs.
	startUntil time.Duration
	done       AttemptID // the attempt that is done; zero if none is known to be
	// firstRegistrar, if set, is the first registrar of the pair under which the key was
	// first granted; this registrar is the second. While firstRegistrar is a member, it
	// hands over the record, and this registrar does not. The field is set only for a claim
	// of an attempt that has not started, which needs the grant of the first registrar too.
	// A running attempt does not wait for the grants of a renewal, so the first registrar
	// may have refused the renewal and have no record.
	firstRegistrar Process
	// handedOverAt is the value of Registrar.adoptedCount when the record was handed
	// over to this registrar; zero for a record that it granted itself.
	handedOverAt int
}

// anyTime is the value of keyRecord.startUntil of an attempt that may start or have started.
const anyTime = time.Duration(math.MaxInt64)

// grantExpired reports whether no attempt can start any more by the grants of the record.
func (r keyRecord) grantExpired(now time.Duration) bool {
	return r.startUntil != anyTime && now >= r.startUntil+grantEndMargin
}

// startUntil returns the end of a grant of which the given time is left, zero if that is not known.
func startUntil(now, left time.Duration) time.Duration {
	if left == 0 {
		return anyTime
	}
	return now + left
}

// startLeft returns the time left until startUntil as a Record states it.
func (r keyRecord) startLeft(now time.Duration) time.Duration {
	if r.startUntil == anyTime {
		return 0
	}
	return max(r.startUntil-now, 1)
}

// otherHolder returns a holder other than the given attempt, or nil.
func (r keyRecord) otherHolder(except AttemptID) *AttemptID {
	for i := range r.attempts {
		if r.attempts[i] != except {
			return &r.attempts[i]
		}
	}
	return nil
}

type expiryEntry struct {
	key Key
	at  time.Duration
}

// NewRegistrar returns a Registrar that grants nothing until SetMembers is called.
func NewRegistrar(cfg RegistrarConfig, self Process) *Registrar {
	return &Registrar{cfg: cfg.withDefaults(), self: self, records: make(map[Key]keyRecord), current: newView(nil)}
}

// Claim handles a claim and returns the reply.
func (r *Registrar) Claim(now time.Duration, m Message) Message {
	reply := Message{Kind: KindClaimReply, From: r.self, To: m.From, Key: m.Key, Attempt: m.Attempt, Pair: m.Pair}
	held, found := r.records[m.Key]
	switch {
	case found && held.expires > now && held.otherHolder(m.Attempt) != nil:
		// A record applies in every view, so the claim's pair is not checked first: refusing
		// the key never makes a request run twice.
		reply.Verdict, reply.Other, reply.Expired = Held, *held.otherHolder(m.Attempt), held.grantExpired(now)
		if held.done == reply.Other {
			reply.Outcome = Done
		}
		r.Counts.Held++
	case m.Pair != r.current.pair(m.Key) || !m.Pair.Has(r.self) || !r.pairUnchanged(m.Key, m.Pair) || r.recordMayBeLost(now, m.Key):
		reply.Verdict = Refused
		r.Counts.Refused++
	default:
		r.grant(now, m)
		reply.Verdict = Granted
		r.Counts.Granted++
	}
	return reply
}

func (r *Registrar) grant(now time.Duration, m Message) {
	k, a := m.Key, m.Attempt
	held, found := r.records[k]
	check(!found || held.expires <= now || held.otherHolder(a) == nil, "key %x granted to two attempts", k)
	granted := keyRecord{attempts: []AttemptID{a}, expires: now + r.cfg.Retention, startUntil: startUntil(now, m.StartWithin)}
	switch {
	case found && held.expires > now:
		granted.startUntil = max(granted.startUntil, held.startUntil)
		granted.firstRegistrar, granted.done = held.firstRegistrar, held.done
	case m.Pair[1].Process == r.self && !m.Holding:
		granted.firstRegistrar = m.Pair[0].Process
	}
	r.store(k, granted)
}

func (r *Registrar) store(k Key, rec keyRecord) {
	r.records[k] = rec
	r.expiry = append(r.expiry, expiryEntry{key: k, at: rec.expires})
}

// merge adds a record of another registrar. If the registrars granted the key to
// different attempts, all of them are kept until they are released: any of them may have
// run.
func (r *Registrar) merge(now time.Duration, rec Record) {
	k, a, expires := rec.Key, rec.Attempt, now+rec.Left
	held, found := r.records[k]
	if !found || held.expires <= now {
		held = keyRecord{attempts: []AttemptID{a}, expires: expires}
	}
	if rec.Done {
		held.done = a
	}
	if !slices.Contains(held.attempts, a) {
		held.attempts = append(slices.Clone(held.attempts), a)
	}
	held.expires = max(held.expires, expires)
	held.startUntil = max(held.startUntil, startUntil(now, rec.StartLeft))
	held.firstRegistrar, held.handedOverAt = Process{}, r.adoptedCount
	r.store(k, held)
}

// Done records that the attempt that holds a key is done.
func (r *Registrar) Done(k Key, a AttemptID) {
	if held, found := r.records[k]; found && slices.Contains(held.attempts, a) {
		held.done = a
		r.records[k] = held
	}
}

// Release removes the record of one round of an attempt.
func (r *Registrar) Release(k Key, a AttemptID) {
	held := r.records[k]
	if !slices.Contains(held.attempts, a) {
		return
	}
	held.attempts = slices.DeleteFunc(slices.Clone(held.attempts), func(b AttemptID) bool { return b == a })
	if len(held.attempts) == 0 {
		delete(r.records, k)
		return
	}
	r.records[k] = held
}

// pairUnchanged reports whether the key's pair has been p in all views since the one in
// which the registrar was last complete.
func (r *Registrar) pairUnchanged(k Key, p Pair) bool {
	if r.complete == nil {
		return false
	}
	for _, v := range r.sinceComplete {
		if v.pair(k) != p {
			return false
		}
	}
	return r.complete == r.current || r.complete.pair(k) == p
}

// expire removes records, past views and losses whose retention time has passed.
func (r *Registrar) expire(now time.Duration) {
	i := 0
	// Entries of handed-over records are not in order of expiry; such records are
	// removed at the latest together with the records added before them.
	for ; i < len(r.expiry) && r.expiry[i].at <= now; i++ {
		if held, found := r.records[r.expiry[i].key]; found && held.expires <= now {
			delete(r.records, r.expiry[i].key)
		}
	}
	r.expiry = r.expiry[i:]
	r.pastViews = slices.DeleteFunc(r.pastViews, func(h pastView) bool { return h.expires <= now })
	r.losses = slices.DeleteFunc(r.losses, func(l loss) bool { return l.expires <= now })
}

// Len returns the number of records.
func (r *Registrar) Len() int { return len(r.records) }
