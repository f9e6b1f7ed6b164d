package fake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/mem"
)

const (
	maxHistory      = 10000 // number of changes kept for watches
	watchBufferSize = 1024  // batches buffered for a watch; the watch ends when the buffer is full
)

// Call is the name of a store call, passed to Store.Before.
type Call string

// Names of the store calls.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallTxn       Call = "txn"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keepalive"
	CallRevoke    Call = "revoke"
	CallWatch     Call = "watch"
)

// Store is an in-memory implementation of store.Store in virtual time. Its fields
// may be changed only between calls.
type Store struct {
	// Outage makes every call fail with store.ErrUnavailable. No lease expires during
	// an outage.
	Outage bool
	// LoseResponses is the number of coming successful calls, other than Get, List and
	// Watch, that return store.ErrUnknown although they have taken effect.
	LoseResponses int
	// Before, if set, is called before each call runs. If it returns an error, the call
	// returns that error without running. To simulate a slow store, let it advance the
	// virtual time.
	Before func(Call) error

	mu       sync.Mutex
	now      func() time.Duration
	engine   *mem.Engine
	era      store.Era // rises with each return from a copy
	watchers map[*watcher]bool
}

var _ store.Store = (*Store)(nil)

// NewStore returns an empty store. The function now returns the virtual time.
func NewStore(now func() time.Duration) *Store {
	return &Store{now: now, engine: mem.New(maxHistory), watchers: map[*watcher]bool{}}
}

// Compact discards the history up to and including the revision.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Compact(store.NumberOf(revision))
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() *mem.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Copy()
}

// Restore returns the store to a copy: what was written since is lost, revisions and lease
// numbers are assigned again, the era rises by one and all watches end.
func (s *Store) Restore(copied *mem.Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = copied.Copy()
	s.era++
	for w := range s.watchers {
		s.endWatch(w, fmt.Errorf("%w: a new era has begun", store.ErrCompacted))
	}
}

// qualify returns the key with its revisions and lease qualified with the era.
func (s *Store) qualify(kv store.KV) store.KV {
	kv.CreateRevision = store.QualifyRevision(s.era, kv.CreateRevision)
	kv.ModRevision = store.QualifyRevision(s.era, kv.ModRevision)
	kv.Lease = store.QualifyLease(s.era, kv.Lease.Number)
	return kv
}

// run performs one call with the active faults injected.
func (s *Store) run(call Call, write bool, do func() error) error {
	if s.Before != nil {
		if err := s.Before(call); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Outage {
		return fmt.Errorf("%w: outage", store.ErrUnavailable)
	}
	s.engine.Expire(s.now())
	err := do()
	s.notify()
	if err == nil && write && s.LoseResponses > 0 {
		s.LoseResponses--
		return fmt.Errorf("%w: response lost", store.ErrUnknown)
	}
	return err
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (kv store.KV, err error) {
	err = s.run(CallGet, false, func() error {
		found, ok := s.engine.Get(key)
		if !ok {
			return fmt.Errorf("%w: key %q", store.ErrNotFound, key)
		}
		kv = s.qualify(found)
		return nil
	})
	return kv, err
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix string) (kvs []store.KV, revision int64, err error) {
	err = s.run(CallList, false, func() error {
		for _, kv := range s.engine.List(prefix) {
			kvs = append(kvs, s.qualify(kv))
		}
		revision = store.QualifyRevision(s.era, s.engine.Revision())
		return nil
	})
	return kvs, revision, err
}

// Txn implements store.Store.
func (s *Store) Txn(_ context.Context, conditions []store.Compare, writes []store.Op) (result store.TxnResult, err error) {
	err = s.run(CallTxn, true, func() error {
		result, err = s.txn(conditions, writes)
		return err
	})
	if err != nil {
		return store.TxnResult{}, err
	}
	return result, nil
}

// txn runs a transaction of the current era. One of an older era has no effect.
func (s *Store) txn(conditions []store.Compare, writes []store.Op) (store.TxnResult, error) {
	conditions, writes = slices.Clone(conditions), slices.Clone(writes)
	for i := range conditions {
		c := &conditions[i]
		if c.Revision != 0 && store.EraOf(c.Revision) != s.era {
			return store.TxnResult{}, nil
		}
		c.Revision = store.NumberOf(c.Revision)
	}
	for i := range writes {
		w := &writes[i]
		if !w.Lease.IsZero() && w.Lease.Era != s.era {
			return store.TxnResult{}, fmt.Errorf("%w: the era of lease %d is over", store.ErrNotFound, w.Lease.Number)
		}
		w.Lease = store.LeaseID{Number: w.Lease.Number}
	}
	result, err := s.engine.Txn(conditions, writes)
	result.Revision = store.QualifyRevision(s.era, result.Revision)
	return result, err
}

// leaseNumber returns the lease as the engine numbers it, or ErrNotFound if its era is over.
func (s *Store) leaseNumber(id store.LeaseID) (store.LeaseID, error) {
	if id.Era != s.era {
		return store.LeaseID{}, fmt.Errorf("%w: the era of lease %d is over", store.ErrNotFound, id.Number)
	}
	return store.LeaseID{Number: id.Number}, nil
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = s.run(CallGrant, true, func() error {
		id = store.QualifyLease(s.era, s.engine.Grant(s.now(), ttl).Number)
		return nil
	})
	if err != nil {
		return store.LeaseID{}, err
	}
	return id, nil
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(_ context.Context, id store.LeaseID) (ttl time.Duration, err error) {
	err = s.run(CallKeepAlive, true, func() error {
		number, err := s.leaseNumber(id)
		if err == nil {
			ttl, err = s.engine.KeepAlive(s.now(), number)
		}
		return err
	})
	return ttl, err
}

// Revoke implements store.Store.
func (s *Store) Revoke(_ context.Context, id store.LeaseID) error {
	return s.run(CallRevoke, true, func() error {
		number, err := s.leaseNumber(id)
		if err != nil {
			return err
		}
		return s.engine.Revoke(number)
	})
}

// watcher is the state of one watch. Its channel is buffered, so that no goroutine is
// needed to deliver events.
type watcher struct {
	match  func(string) bool
	next   int64
	events chan store.WatchBatch
}

// Watch implements store.Store. A change is delivered during the call that makes it;
// the expiry of a lease is delivered during the first call after it.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	w := &watcher{
		match:  func(key string) bool { return strings.HasPrefix(key, prefix) },
		next:   store.NumberOf(from),
		events: make(chan store.WatchBatch, watchBufferSize),
	}
	err := s.run(CallWatch, false, func() error {
		if from == 0 {
			w.next = s.engine.Revision() + 1
		} else if store.EraOf(from) != s.era {
			w.events <- store.WatchBatch{Err: fmt.Errorf("%w: the era of revision %d is over", store.ErrCompacted, from)}
			close(w.events)
			return nil
		}
		s.watchers[w] = true
		return nil
	})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endWatch(w, nil)
	})
	return w.events, nil
}

func (s *Store) qualifyBatch(b store.WatchBatch) store.WatchBatch {
	b.Revision = store.QualifyRevision(s.era, b.Revision)
	b.Events = slices.Clone(b.Events)
	for i := range b.Events {
		b.Events[i].KV = s.qualify(b.Events[i].KV)
	}
	return b
}

// BreakWatches ends all watches with store.ErrUnavailable, as an outage of the real store
// does. Setting Outage does not end watches.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		s.endWatch(w, fmt.Errorf("%w: outage", store.ErrUnavailable))
	}
}

// notify delivers new changes to the watches. The caller holds the lock.
func (s *Store) notify() {
	for w := range s.watchers {
		changes, err := s.engine.Since(w.next, w.match)
		if err == nil && len(w.events)+len(changes) >= watchBufferSize {
			err = fmt.Errorf("%w: watch buffer full", store.ErrUnavailable)
		}
		if err != nil {
			s.endWatch(w, err)
			continue
		}
		for _, change := range changes {
			w.events <- s.qualifyBatch(change)
		}
		w.next = max(w.next, s.engine.Revision()+1)
	}
}

// endWatch delivers the error, if any, and closes the watch. The send cannot block, because
// notify keeps one place of the buffer free. The caller holds the lock.
func (s *Store) endWatch(w *watcher, err error) {
	if !s.watchers[w] {
		return
	}
	delete(s.watchers, w)
	if err != nil {
		w.events <- store.WatchBatch{Err: err}
	}
	close(w.events)
}
