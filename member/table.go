package member

import (
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Table holds the records known to a process. It is not safe for concurrent use.
type Table struct {
	now       time.Duration
	byName    map[string]*entry
	byHash    map[uint64]*entry
	order     []*entry // ordered by name hash and name if sorted is set
	sorted    bool
	root      Digest // digest of the whole table, updated on each change
	removed   map[string]tombstone
	groups    map[string]*group // upstreams by service
	services  []string          // keys of groups, ordered
	balancers *balancerIndex    // nil after a change of a balancer's record or reachability
	// unreachable holds the balancers, by control address, whose last check by this process failed,
	// and since when. It is this process's own evidence and is not sent to others.
	unreachable  map[netip.AddrPort]time.Duration
	reachability []Reachability // not yet taken by Node.TakeReachability
	view         *flow.View
}

type entry struct {
	record   Record
	nameHash uint64
	sum      uint64        // hash of the record
	since    time.Duration // when the current state was received
	source   flow.StateSource
	earlier  *Record // last record of the incarnation before record's; nil if none is known
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byName:  make(map[string]*entry),
		byHash:  make(map[uint64]*entry),
		removed: make(map[string]tombstone),
		groups:  make(map[string]*group),

		unreachable: make(map[netip.AddrPort]time.Duration),
	}
}

// Merge stores r if it is newer than the known record of the same name, and reports
// whether it did. Malformed records and records suppressed by a tombstone are ignored.
func (t *Table) Merge(r Record) bool {
	if !r.valid() || t.isRemoved(&r) {
		return false
	}
	e := t.byName[r.Name]
	if e == nil {
		t.add(r)
		return true
	}
	old := e.record
	if Compare(&r, &old) <= 0 {
		return false
	}
	invariant(r.Epoch > old.Epoch || r.Epoch == old.Epoch && r.Version >= old.Version,
		"%q went from epoch %d, version %d back to epoch %d, version %d", r.Name, old.Epoch, old.Version, r.Epoch, r.Version)
	t.replace(e, r)
	return true
}

func (t *Table) add(r Record) {
	e := &entry{nameHash: nameHash(r.Name)}
	t.byName[r.Name] = e
	t.byHash[e.nameHash] = e
	t.order = append(t.order, e)
	t.sorted = false
	delete(t.removed, r.Name)
	t.set(e, r)
}

func (t *Table) replace(e *entry, r Record) {
	if e.record.Service != r.Service || e.record.Role != r.Role {
		t.removeFromGroup(e)
	}
	t.set(e, r)
}

func (t *Table) set(e *entry, r Record) {
	if e.record.State != r.State || e.record.Incarnation != r.Incarnation || e.since == 0 {
		e.since = t.now
	}
	if r.Role == RoleBalancer || e.record.Role == RoleBalancer {
		t.balancers = nil
	}
	r.Endpoints = slices.Clone(r.Endpoints)
	t.toggleInDigest(e)
	if e.record.Name != "" && e.record.Incarnation != r.Incarnation {
		earlier := e.record
		e.earlier = &earlier
	}
	e.record, e.sum, e.source = r, r.sum(), flow.StateFromBalancer
	t.toggleInDigest(e)
	t.addToGroup(e)
}

// toggleInDigest adds an entry to the digest of the whole table or removes it from it.
func (t *Table) toggleInDigest(e *entry) {
	t.root.Sums[e.nameHash>>(64-digestBits)] ^= uint32(e.sum)
}

func (t *Table) sortEntries() {
	if t.sorted {
		return
	}
	sort.Slice(t.order, func(i, j int) bool {
		a, b := t.order[i], t.order[j]
		if a.nameHash != b.nameHash {
			return a.nameHash < b.nameHash
		}
		return a.record.Name < b.record.Name
	})
	t.sorted = true
}

// Get returns the record of the named process.
func (t *Table) Get(name string) (Record, bool) {
	if e := t.byName[name]; e != nil {
		return e.record, true
	}
	return Record{}, false
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.byName) }

// Records returns all records, ordered by name.
func (t *Table) Records() []Record {
	out := appendRecords(make([]Record, 0, len(t.order)), t.order)
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return out
}
