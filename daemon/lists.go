package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// heardInterval is the least time between two reports of peers' revisions to the
// reader. A process that has announced a revision may not have it yet, and would
// otherwise be asked again in every step.
const heardInterval = 500 * time.Millisecond

// ListsConfig says how the lists of one process are read.
type ListsConfig struct {
	Log       *event.Logger
	Clock     Clock
	Rand      *rand.Rand
	Transport Transport
	Store     store.Store  // nil in processes that never read the store
	Spawn     func(func()) // runs a fetch or a watch in the background
	Activated func(revision int64)
}

// Lists drives plan.Reader: it executes the reader's fetches and makes the active
// lists available to the packet path and to peers. Its methods are safe for
// concurrent use.
type Lists struct {
	cfg         ListsConfig
	storeFailed *LogLimiter
	active      atomic.Pointer[plan.Installed]

	mu       sync.Mutex
	reader   *plan.Reader
	heard    time.Duration                 // time of the next report of peers' revisions
	rejected int64                         // highest revision logged as rejected
	watches  map[uint64]context.CancelFunc // open watches of the store
}

// NewLists returns a driver without lists.
func NewLists(cfg ListsConfig) *Lists {
	if cfg.Activated == nil {
		cfg.Activated = func(int64) {}
	}
	return &Lists{
		cfg:         cfg,
		storeFailed: NewLogLimiter(cfg.Log, cfg.Clock, event.StoreFailed),
		reader:      plan.NewReader(plan.ReaderConfig{}, cfg.Rand),
		watches:     make(map[uint64]context.CancelFunc),
	}
}

// Step advances the reading. known is the highest revision that is known to exist;
// peers are processes that may have it, in any order; invalid addresses are ignored.
func (l *Lists) Step(ctx context.Context, readsStore bool, known int64, peers ...netip.AddrPort) {
	l.input(ctx, func(now time.Duration, r *plan.Reader) {
		r.SetReadsStore(readsStore && l.cfg.Store != nil)
		if known <= r.Status().Revision || now < l.heard {
			return
		}
		l.heard = now + heardInterval
		for _, p := range peers {
			if p.IsValid() {
				r.SetPeerRevision(now, p, known)
			}
		}
	})
}

// input gives the reader an input and executes what it asks for.
func (l *Lists) input(ctx context.Context, give func(now time.Duration, r *plan.Reader)) {
	l.mu.Lock()
	now := l.cfg.Clock()
	give(now, l.reader)
	fetches := l.reader.Step(now)
	activated := l.publish()
	l.logRejection()
	l.mu.Unlock()
	if activated != nil {
		l.cfg.Log.Log(event.ListsActive, "revision", activated.Revision, "edit", activated.ID, "author", activated.Author)
		l.cfg.Activated(activated.Revision)
	}
	for _, f := range fetches {
		l.execute(ctx, f)
	}
}

// publish makes newly installed lists available and returns their edit, or nil.
func (l *Lists) publish() *plan.Edit {
	a := l.reader.Active()
	if a == l.active.Load() {
		return nil
	}
	l.active.Store(a)
	return &a.Head.Edit
}

// logRejection logs the findings of a rejected revision, once for each revision.
func (l *Lists) logRejection() {
	s := l.reader.Status()
	if s.Rejected <= l.rejected {
		return
	}
	l.rejected = s.Rejected
	for _, line := range strings.Split(s.Rejection, "\n") {
		l.cfg.Log.Log(event.ListsRejected, "revision", s.Rejected, "finding", line)
	}
}

// Revision returns the active revision; 0 means none.
func (l *Lists) Revision() int64 {
	if a := l.active.Load(); a != nil {
		return a.Head.Revision
	}
	return 0
}

// Customer returns the identifier of the customer that a source address in
// IPv4-mapped form belongs to, or 0 with the reason to refuse its new flows. It
// does not allocate.
func (l *Lists) Customer(source *[16]byte) (uint64, flow.Reason) {
	a := l.active.Load()
	if a == nil {
		return 0, flow.ReasonNoLists
	}
	m, ok := a.Table.Lookup(netip.AddrFrom16(*source))
	if !ok {
		return 0, flow.ReasonNoCustomer
	}
	return m.ID, flow.ReasonNone
}

// Active returns the lists in force, or nil.
func (l *Lists) Active() *plan.Installed { return l.active.Load() }

// ListsState is the dump source "lists".
type ListsState struct {
	plan.ReaderStatus
	Customers int `json:"customers"`
	Plans     int `json:"plans"`
	Pages     int `json:"pages"`
}

// State describes the reading and the active lists for a dump.
func (l *Lists) State() ListsState {
	l.mu.Lock()
	s := ListsState{ReaderStatus: l.reader.Status()}
	l.mu.Unlock()
	if a := l.active.Load(); a != nil {
		s.Customers, s.Plans, s.Pages = len(a.Lists.Customers), len(a.Lists.Plans), len(a.Head.Hashes())
	}
	return s
}
