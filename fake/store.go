package fake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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
// may be changed only between calls. Its own calls are those of one client; NewClient returns
// further ones.
type Store struct {
	Client
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

// Client is a client of a Store, such as that of one process. It learns from its own calls
// that the store has returned from a copy.
type Client struct {
	s    *Store
	seen store.Era // latest era of an answer
}

var _ store.Store = (*Client)(nil)

// NewStore returns an empty store. The function now returns the virtual time.
func NewStore(now func() time.Duration) *Store {
	s := &Store{now: now, engine: mem.New(maxHistory), watchers: map[*watcher]bool{}}
	s.Client.s = s
	return s
}

// NewClient returns a further client.
func (s *Store) NewClient() *Client { return &Client{s: s} }

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

// Restore returns the store to a copy, in a new era: what was written since is lost, and
// revisions and lease numbers are given out again. All watches end with store.ErrUnavailable.
func (s *Store) Restore(copied *mem.Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = copied.Copy()
	s.era++
	s.breakWatches("restored")
}

// run performs one call with the active faults injected. The function do returns the outcome
// of a call that arrives in the store's present era.
func (c *Client) run(call Call, write bool, do func(s *Store) error) error {
	s := c.s
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
	err := do(s)
	s.notify()
	c.seen = s.era
	if err == nil && write && s.LoseResponses > 0 {
		s.LoseResponses--
		return fmt.Errorf("%w: response lost", store.ErrUnknown)
	}
	return err
}

// Get implements store.Store.
func (c *Client) Get(_ context.Context, key string) (kv store.KV, err error) {
	err = c.run(CallGet, false, func(s *Store) error {
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
func (c *Client) List(_ context.Context, prefix string) (kvs []store.KV, revision int64, err error) {
	err = c.run(CallList, false, func(s *Store) error {
		for _, kv := range s.engine.List(prefix) {
			kvs = append(kvs, s.qualify(kv))
		}
		revision = store.QualifyRevision(s.era, s.engine.Revision())
		return nil
	})
	return kvs, revision, err
}

// Txn implements store.Store.
func (c *Client) Txn(_ context.Context, conditions []store.Compare, writes []store.Op) (result store.TxnResult, err error) {
	err = c.run(CallTxn, true, func(s *Store) error {
		era, bound, err := store.TxnEra(c.seen, conditions, writes)
		if errors.Is(err, store.ErrEraOver) {
			return nil
		}
		if err == nil {
			result, err = s.engine.Txn(numbers(conditions, writes))
		}
		if err == nil && result.Succeeded && bound && era != s.era {
			err = fmt.Errorf("%w: written in era %d under conditions or a lease of era %d", store.ErrUnknown, s.era, era)
		}
		result.Revision = store.QualifyRevision(s.era, result.Revision)
		return err
	})
	if err != nil {
		return store.TxnResult{}, err
	}
	return result, nil
}

// numbers returns the conditions and writes without their eras, as the engine has none.
func numbers(conditions []store.Compare, writes []store.Op) ([]store.Compare, []store.Op) {
	conditions, writes = slices.Clone(conditions), slices.Clone(writes)
	for i := range conditions {
		conditions[i].Revision = store.NumberOf(conditions[i].Revision)
	}
	for i := range writes {
		writes[i].Lease.Era = 0
	}
	return conditions, writes
}

func (s *Store) qualify(kv store.KV) store.KV {
	kv.CreateRevision = store.QualifyRevision(s.era, kv.CreateRevision)
	kv.ModRevision = store.QualifyRevision(s.era, kv.ModRevision)
	kv.Lease = store.QualifyLease(s.era, kv.Lease.Number)
	return kv
}

// Grant implements store.Store.
func (c *Client) Grant(_ context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = c.run(CallGrant, true, func(s *Store) error {
		id = store.QualifyLease(s.era, s.engine.Grant(s.now(), ttl).Number)
		return nil
	})
	if err != nil {
		return store.LeaseID{}, err
	}
	return id, nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(_ context.Context, id store.LeaseID) (ttl time.Duration, err error) {
	err = c.run(CallKeepAlive, true, func(s *Store) error {
		return c.withLease(id, func(number store.LeaseID) error {
			ttl, err = s.engine.KeepAlive(s.now(), number)
			return err
		})
	})
	return ttl, err
}

// Revoke implements store.Store.
func (c *Client) Revoke(_ context.Context, id store.LeaseID) error {
	return c.run(CallRevoke, true, func(s *Store) error { return c.withLease(id, s.engine.Revoke) })
}

// withLease calls do unless the client knows that the era of the lease is over. A call that is
// the first to show the return affects the lease with the same number in the new era.
func (c *Client) withLease(id store.LeaseID, do func(store.LeaseID) error) error {
	if id.Era < c.seen {
		return store.LeaseOver(id)
	}
	err := do(store.LeaseID{Number: id.Number})
	if id.Era < c.s.era {
		return store.LeaseOver(id)
	}
	return err
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
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	s := c.s
	w := &watcher{
		match:  func(key string) bool { return strings.HasPrefix(key, prefix) },
		next:   store.NumberOf(from),
		events: make(chan store.WatchBatch, watchBufferSize),
	}
	err := c.run(CallWatch, false, func(s *Store) error {
		if from == 0 {
			w.next = s.engine.Revision() + 1
		}
		s.watchers[w] = true
		if from != 0 && (store.EraOf(from) < s.era || w.next > s.engine.Revision()+1) {
			s.endWatch(w, fmt.Errorf("%w: revision %d of era %d", store.ErrCompacted, w.next, store.EraOf(from)))
		}
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
	s.breakWatches("outage")
}

func (s *Store) breakWatches(reason string) {
	for w := range s.watchers {
		s.endWatch(w, fmt.Errorf("%w: %s", store.ErrUnavailable, reason))
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
			change.Revision = store.QualifyRevision(s.era, change.Revision)
			change.Events = slices.Clone(change.Events)
			for i := range change.Events {
				change.Events[i].KV = s.qualify(change.Events[i].KV)
			}
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
