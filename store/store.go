// Package store defines the operations of the platform's key-value service that
// nutmegtrack uses: compare-and-swap, leases and watches.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotFound reports that the key or lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable reports that the store could not be reached, did not accept the call
	// or, for a read, did not answer. A write that fails with it has not taken effect and
	// will not.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown reports that a write was sent but not confirmed: it may have taken
	// effect or may still do so. The caller must read the keys back.
	ErrUnknown = errors.New("store: outcome of the write is unknown")
	// ErrCompacted reports that the store no longer keeps the start revision of a
	// watch, or that the era of this revision is over; the caller must list the keys again.
	ErrCompacted = errors.New("store: watch revision is not available")
)

// LeaseID identifies a lease. Numbers are given out again after the store has returned from
// an older copy, so a lease exists only in the era in which it was granted. The zero LeaseID
// means no lease.
type LeaseID struct {
	Era    Era
	Number int64
}

// IsZero reports whether the ID means no lease.
func (id LeaseID) IsZero() bool { return id == LeaseID{} }

// QualifyLease returns the ID of the lease with a number in an era, or the zero LeaseID for
// the number 0.
func QualifyLease(era Era, number int64) LeaseID {
	if number == 0 {
		return LeaseID{}
	}
	return LeaseID{Era: era, Number: number}
}

// KV is one key with its value and era-qualified revisions.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// CompareTarget selects the revision of a key that a condition compares.
type CompareTarget uint8

const (
	// CompareMod compares the revision of the key's last change; revision 0 means
	// that the key does not exist.
	CompareMod CompareTarget = iota
	// CompareCreate compares the revision of the key's creation; revision 0 means
	// that the key does not exist.
	CompareCreate
)

// Compare is one condition of a transaction: it holds if the selected revision of the
// key equals Revision. A condition on a revision of an older era never holds; revision 0 has
// no era.
type Compare struct {
	Key      string
	Target   CompareTarget
	Revision int64
}

// Op is one write of a transaction: a put, or a delete when Delete is set.
type Op struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	Succeeded bool  // all conditions held and the writes took effect
	Revision  int64 // the store's revision after the transaction; 0 if the store was not asked
}

// Event is the change of one key that a watch reports.
type Event struct {
	KV      KV
	Deleted bool
}

// WatchBatch carries one or more changes in the order of their revisions, or the error
// that ended the watch. After an error the channel is closed.
type WatchBatch struct {
	Revision int64 // a new watch from the next revision continues without a gap
	Events   []Event
	Err      error
}

// staleKey is the context key that AllowStale sets.
type staleKey struct{}

// AllowStale returns a context under which Get and List may return data that is some
// seconds old, which is billed at a tenth of the price. A caller that bases a write on
// such a read must pass the revisions that it read as conditions.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether a read under the context may be stale.
func StaleAllowed(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }

// Store is the platform's key-value service. Every call returns ErrUnavailable,
// ErrUnknown or the context's error when the store does not answer. Calls are billed;
// reads that may be stale and lease renewals cost a tenth of the price.
//
// The store may return from an older copy of itself (see Era). Every revision that a call
// takes or returns is qualified with its era, and so is every lease. An answer of an older
// era than one that was already seen is refused: a read fails with ErrUnavailable and a write
// with ErrUnknown. The exception is a read that may be stale, whose revisions then carry the
// older era.
type Store interface {
	// Get returns the key's value, or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys with the prefix, in key order, and a revision such that a
	// watch from the next revision misses no change.
	List(ctx context.Context, prefix string) ([]KV, int64, error)
	// Txn applies all writes when all conditions hold, else none. It returns ErrNotFound if
	// a write names a lease that does not exist, such as one of an older era. If the store
	// answers in another era than that of the conditions and leases, they may have held by
	// chance, and Txn returns ErrUnknown.
	Txn(ctx context.Context, conditions []Compare, writes []Op) (TxnResult, error)
	// Grant creates a lease with the given time to live, in whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its new time to live, or ErrNotFound
	// when it has expired or its era is over.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys. It returns ErrNotFound when the lease has
	// expired or its era is over.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers the changes of all keys with the prefix, starting at revision
	// from, until the context ends or an error is delivered. It may stop delivering
	// changes without an error, so its user also reads the keys from time to time. It ends
	// with ErrCompacted when the era of from is over.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error)
}
