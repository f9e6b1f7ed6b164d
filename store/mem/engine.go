// Package mem is an in-memory key-value engine with revisions, leases and a bounded
// history. It has no clock, lock or goroutine of its own: the stand-in server and the
// fake store pass in the time and serialise the calls. Its revisions and leases are those of
// one life of a store: they are not qualified with an era.
package mem

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/store"
)

// ErrDuplicateKey reports that a transaction writes the same key twice.
var ErrDuplicateKey = errors.New("mem: duplicate key in the transaction")

// firstRevision is the revision of an empty store; the first write gets the next one.
const firstRevision = 1

// Engine holds the keys, the leases and the history of changes.
type Engine struct {
	revision   int64
	compacted  int64 // changes up to and including this revision are no longer kept
	keys       map[string]store.KV
	leases     map[store.LeaseID]*lease
	lastLease  int64
	history    []store.WatchBatch
	maxHistory int
}

// New returns an empty engine that keeps the last maxHistory revisions for watches.
func New(maxHistory int) *Engine {
	return &Engine{
		revision:   firstRevision,
		keys:       map[string]store.KV{},
		leases:     map[store.LeaseID]*lease{},
		maxHistory: maxHistory,
	}
}

// Copy returns an independent copy, from which a store can return after an outage. Its next
// revisions and lease numbers are those that the original gives out next.
func (e *Engine) Copy() *Engine {
	c := *e
	c.keys = maps.Clone(e.keys)
	c.history = slices.Clone(e.history)
	c.leases = make(map[store.LeaseID]*lease, len(e.leases))
	for id, l := range e.leases {
		copied := *l
		c.leases[id] = &copied
	}
	return &c
}

// Revision returns the current revision.
func (e *Engine) Revision() int64 { return e.revision }

// Get returns one key's value.
func (e *Engine) Get(key string) (store.KV, bool) {
	kv, ok := e.keys[key]
	return kv, ok
}

// List returns the keys with the prefix in key order.
func (e *Engine) List(prefix string) []store.KV {
	return e.selectKeys(func(key string) bool { return strings.HasPrefix(key, prefix) })
}

// Range returns the keys in [from, end) in key order; the end "\x00" stands for the
// end of the key space.
func (e *Engine) Range(from, end string) []store.KV {
	return e.selectKeys(func(key string) bool { return InRange(key, from, end) })
}

// InRange reports whether the key is in [from, end) or, with an empty end, equals from.
func InRange(key, from, end string) bool {
	if end == "" {
		return key == from
	}
	return key >= from && (end == "\x00" || key < end)
}

func (e *Engine) selectKeys(match func(string) bool) []store.KV {
	var found []store.KV
	for key, kv := range e.keys {
		if match(key) {
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// Holds reports whether all conditions hold.
func (e *Engine) Holds(conditions []store.Compare) bool {
	for _, c := range conditions {
		kv := e.keys[c.Key]
		actual := kv.ModRevision
		if c.Target == store.CompareCreate {
			actual = kv.CreateRevision
		}
		if actual != c.Revision {
			return false
		}
	}
	return true
}

// Txn applies all writes when all conditions hold, else none. It returns
// ErrDuplicateKey when two writes name the same key and store.ErrNotFound when a
// write that would be applied names an unknown lease.
func (e *Engine) Txn(conditions []store.Compare, writes []store.Op) (store.TxnResult, error) {
	if err := CheckKeys(writes); err != nil {
		return store.TxnResult{}, err
	}
	if !e.Holds(conditions) {
		return store.TxnResult{Revision: e.revision}, nil
	}
	if err := e.checkLeases(writes); err != nil {
		return store.TxnResult{}, err
	}
	e.apply(writes)
	return store.TxnResult{Succeeded: true, Revision: e.revision}, nil
}

// CheckKeys returns ErrDuplicateKey when two writes name the same key.
func CheckKeys(writes []store.Op) error {
	seen := map[string]bool{}
	for _, w := range writes {
		if seen[w.Key] {
			return errors.Wrapf(ErrDuplicateKey, "key %q", w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}

func (e *Engine) checkLeases(writes []store.Op) error {
	for _, w := range writes {
		if !w.Delete && !w.Lease.IsZero() && e.leases[w.Lease] == nil {
			return errors.Wrapf(store.ErrNotFound, "lease %d", w.Lease.Number)
		}
	}
	return nil
}

// apply performs the writes as one new revision. Writes that change nothing create no
// revision.
func (e *Engine) apply(writes []store.Op) {
	next := e.revision + 1
	var events []store.Event
	for _, w := range writes {
		if w.Delete {
			events = append(events, e.remove(next, w.Key)...)
			continue
		}
		events = append(events, e.put(next, w))
	}
	if len(events) == 0 {
		return
	}
	e.revision = next
	e.history = append(e.history, store.WatchBatch{Revision: next, Events: events})
	if extra := len(e.history) - e.maxHistory; extra > 0 {
		e.Compact(e.history[extra-1].Revision)
	}
}

func (e *Engine) put(revision int64, w store.Op) store.Event {
	kv := store.KV{
		Key:            w.Key,
		Value:          append([]byte(nil), w.Value...),
		CreateRevision: revision,
		ModRevision:    revision,
		Lease:          w.Lease,
	}
	if old, ok := e.keys[w.Key]; ok {
		kv.CreateRevision = old.CreateRevision
	}
	e.keys[w.Key] = kv
	return store.Event{KV: kv}
}

func (e *Engine) remove(revision int64, key string) []store.Event {
	if _, ok := e.keys[key]; !ok {
		return nil
	}
	delete(e.keys, key)
	return []store.Event{{KV: store.KV{Key: key, ModRevision: revision}, Deleted: true}}
}

// Compact removes the history up to and including the revision.
func (e *Engine) Compact(revision int64) {
	if revision <= e.compacted {
		return
	}
	e.compacted = min(revision, e.revision)
	first := sort.Search(len(e.history), func(i int) bool { return e.history[i].Revision > e.compacted })
	e.history = append([]store.WatchBatch(nil), e.history[first:]...)
}

// Compacted returns the last revision whose changes were compacted.
func (e *Engine) Compacted() int64 { return e.compacted }

// Since returns the changes of the matching keys from the revision on, or
// store.ErrCompacted when some of them are no longer kept.
func (e *Engine) Since(from int64, match func(key string) bool) ([]store.WatchBatch, error) {
	if from <= e.compacted {
		return nil, store.ErrCompacted
	}
	first := sort.Search(len(e.history), func(i int) bool { return e.history[i].Revision >= from })
	var found []store.WatchBatch
	for _, change := range e.history[first:] {
		if events := filterEvents(change.Events, match); len(events) > 0 {
			found = append(found, store.WatchBatch{Revision: change.Revision, Events: events})
		}
	}
	return found, nil
}

func filterEvents(events []store.Event, match func(string) bool) []store.Event {
	var found []store.Event
	for _, event := range events {
		if match(event.KV.Key) {
			found = append(found, event)
		}
	}
	return found
}
