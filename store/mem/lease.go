package mem

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/store"
)

// lease holds the time to live of a lease and the time at which it expires, on the
// caller's clock.
type lease struct {
	ttl      time.Duration
	deadline time.Duration
}

// Grant creates a lease that expires ttl after now unless it is renewed.
func (e *Engine) Grant(now, ttl time.Duration) store.LeaseID {
	e.lastLease++
	id := store.LeaseID{Number: e.lastLease}
	e.leases[id] = &lease{ttl: ttl, deadline: now + ttl}
	return id
}

// KeepAlive renews a lease and returns its time to live, or store.ErrNotFound.
func (e *Engine) KeepAlive(now time.Duration, id store.LeaseID) (time.Duration, error) {
	l := e.leases[id]
	if l == nil {
		return 0, store.ErrNotFound
	}
	l.deadline = now + l.ttl
	return l.ttl, nil
}

// Revoke ends a lease and deletes its keys in one revision.
func (e *Engine) Revoke(id store.LeaseID) error {
	if e.leases[id] == nil {
		return store.ErrNotFound
	}
	delete(e.leases, id)
	e.apply(e.keyDeletions(id))
	return nil
}

func (e *Engine) keyDeletions(id store.LeaseID) []store.Op {
	var writes []store.Op
	for _, kv := range e.List("") {
		if kv.Lease == id {
			writes = append(writes, store.Op{Key: kv.Key, Delete: true})
		}
	}
	return writes
}

// Expire revokes the leases whose time to live has passed, in order of their IDs.
func (e *Engine) Expire(now time.Duration) {
	byNumber := func(a, b store.LeaseID) int { return cmp.Compare(a.Number, b.Number) }
	for _, id := range slices.SortedFunc(maps.Keys(e.leases), byNumber) {
		if e.leases[id].deadline <= now {
			_ = e.Revoke(id) // the lease exists
		}
	}
}

// NextExpiry returns the time at which the next lease expires, or false if there is no
// lease.
func (e *Engine) NextExpiry() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, l := range e.leases {
		if !found || l.deadline < next {
			next, found = l.deadline, true
		}
	}
	return next, found
}

// RestartLeases renews every lease for its full time to live, as a newly elected
// leader of the platform's store does.
func (e *Engine) RestartLeases(now time.Duration) {
	for _, l := range e.leases {
		l.deadline = now + l.ttl
	}
}
