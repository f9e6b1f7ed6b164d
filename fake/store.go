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
	storeHistory = 10000 // changes kept for watches
	watchBuffer  = 1024  // events that a watch holds before it is ended
)

// Call names a call of the store for Store.Before.
type Call string

// Calls of the store.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallTxn       Call = "txn"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keepalive"
	CallRevoke    Call = "revoke"
	CallWatch     Call = "watch"
)

// Store is the platform's store in virtual time. Set the fields between calls.
type Store struct {
	// Outage makes every call fail with ErrUnavailable, and no lease ends.
	Outage bool
	// LoseResponses is how many next writes take effect but return ErrUnknown.
	LoseResponses int
	// Before, when set, is called before each call runs; its error ends the call. A
	// slow store is a Before that moves the virtual time on.
	Before func(Call) error

	mu       sync.Mutex
	now      func() time.Duration
	engine   *mem.Engine
	watchers map[*watcher]bool
}

var _ store.Store = (*Store)(nil)

// NewStore returns an empty store; now is the virtual time.
func NewStore(now func() time.Duration) *Store {
	return &Store{now: now, engine: mem.New(storeHistory), watchers: map[*watcher]bool{}}
}

// Compact drops the history up to and including the revision.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Compact(revision)
}

// run performs one call with the faults that are switched on.
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
		return 0, err
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

// watcher is one watch. Its channel is buffered, so that virtual time needs no
// goroutine.
type watcher struct {
	match  func(string) bool
	next   int64
	events chan store.WatchBatch
}

// Watch implements store.Store. Changes are delivered by the calls that make them,
// or that first notice a lapsed lease.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	w := &watcher{
		match:  func(key string) bool { return strings.HasPrefix(key, prefix) },
		next:   from,
		events: make(chan store.WatchBatch, watchBuffer),
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
		s.end(w, nil)
	})
	return w.events, nil
}

// BreakWatches ends all watches as an outage does.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		s.end(w, fmt.Errorf("%w: outage", store.ErrUnavailable))
	}
}

// notify delivers what the watches have not seen; the caller holds the lock.
func (s *Store) notify() {
	for w := range s.watchers {
		changes, err := s.engine.Since(w.next, w.match)
		if err == nil && len(w.events)+len(changes) >= watchBuffer {
			err = fmt.Errorf("%w: the watch is not read", store.ErrUnavailable)
		}
		if err != nil {
			s.end(w, err)
			continue
		}
		for _, change := range changes {
			w.events <- change
		}
		w.next = max(w.next, s.engine.Revision()+1)
	}
}

// end closes a watch after delivering the error; one place of the buffer is always
// free for it. The caller holds the lock.
func (s *Store) end(w *watcher, err error) {
	if !s.watchers[w] {
		return
	}
	delete(s.watchers, w)
	if err != nil {
		w.events <- store.WatchBatch{Err: err}
	}
	close(w.events)
}
