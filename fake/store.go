package fake

import (
	"context"
	"fmt"
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
	s.engine.Compact(revision)
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
		kv = found
		return nil
	})
	return kv, err
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix string) (kvs []store.KV, revision int64, err error) {
	err = s.run(CallList, false, func() error {
		kvs, revision = s.engine.List(prefix), s.engine.Revision()
		return nil
	})
	return kvs, revision, err
}

// Txn implements store.Store.
func (s *Store) Txn(_ context.Context, conditions []store.Compare, writes []store.Op) (result store.TxnResult, err error) {
	err = s.run(CallTxn, true, func() error {
		result, err = s.engine.Txn(conditions, writes)
		return err
	})
	if err != nil {
		return store.TxnResult{}, err
	}
	return result, nil
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = s.run(CallGrant, true, func() error {
		id = s.engine.Grant(s.now(), ttl)
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
		ttl, err = s.engine.KeepAlive(s.now(), id)
		return err
	})
	return ttl, err
}

// Revoke implements store.Store.
func (s *Store) Revoke(_ context.Context, id store.LeaseID) error {
	return s.run(CallRevoke, true, func() error { return s.engine.Revoke(id) })
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
		next:   from,
		events: make(chan store.WatchBatch, watchBufferSize),
	}
	err := s.run(CallWatch, false, func() error {
		if from == 0 {
			w.next = s.engine.Revision() + 1
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
			w.events <- change
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
