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

// peerReportInterval is the minimum time between two rounds of calls of
// plan.Reader.SetPeerRevision. A peer may announce a revision before it has the lists of
// that revision; without the interval it would be queried again in every step.
const peerReportInterval = 500 * time.Millisecond

// ListsConfig configures how one process reads the lists.
type ListsConfig struct {
	Log       *event.Logger
	Clock     Clock
	Rand      *rand.Rand
	Transport Transport
	Store     store.Store          // nil if the process never reads the store
	Spawn     func(func())         // runs a fetch or a watch in the background
	Activated func(revision int64) // called after a qualified revision has become active; may be nil
}

// Lists drives a plan.Reader: it executes the fetches that the reader requests and
// publishes the active lists to the packet path and to peers. Its methods are safe for
// concurrent use.
type Lists struct {
	cfg         ListsConfig
	storeFailed *LogLimiter
	unreadable  *UnreadableLog
	active      atomic.Pointer[plan.Installed]

	mu                     sync.Mutex
	reader                 *plan.Reader
	nextPeerReport         time.Duration                 // earliest time of the next calls of SetPeerRevision
	loggedRejectedRevision int64                         // highest revision logged as rejected
	loggedLostEdit         string                        // ID of the last edit logged as lost
	watches                map[uint64]context.CancelFunc // open watches of the store
}

// NewLists returns a Lists without active lists.
func NewLists(cfg ListsConfig) *Lists {
	if cfg.Activated == nil {
		cfg.Activated = func(int64) {}
	}
	return &Lists{
		cfg:         cfg,
		storeFailed: NewLogLimiter(cfg.Log, cfg.Clock, event.StoreFailed),
		unreadable:  NewUnreadableLog(cfg.Log),
		reader:      plan.NewReader(plan.ReaderConfig{}, cfg.Rand),
		watches:     make(map[uint64]context.CancelFunc),
	}
}

// Step advances the reader. readsStore says whether this process may read the store, known
// is the highest qualified revision that is known to exist, and peers are the processes that may
// have it, in any order. Invalid addresses are ignored.
func (l *Lists) Step(ctx context.Context, readsStore bool, known int64, peers ...netip.AddrPort) {
	l.update(ctx, func(now time.Duration, r *plan.Reader) {
		r.SetReadsStore(readsStore && l.cfg.Store != nil)
		if known <= r.Status().Revision || now < l.nextPeerReport {
			return
		}
		l.nextPeerReport = now + peerReportInterval
		for _, p := range peers {
			if p.IsValid() {
				r.SetPeerRevision(now, p, known)
			}
		}
	})
}

// update calls apply with the reader and the time, publishes newly active lists and
// executes the fetches that the reader requests.
func (l *Lists) update(ctx context.Context, apply func(now time.Duration, r *plan.Reader)) {
	l.mu.Lock()
	now := l.cfg.Clock()
	apply(now, l.reader)
	fetches := l.reader.Step(now)
	activated := l.publish()
	l.logRejection()
	l.logLost()
	l.mu.Unlock()
	if activated != nil {
		l.cfg.Log.Log(event.ListsActive, "revision", activated.Revision, "era", activated.Era, "edit", activated.ID, "author", activated.Author)
		l.cfg.Activated(activated.Qualified())
	}
	for _, f := range fetches {
		l.execute(ctx, f)
	}
}

// publish makes newly installed lists active and returns their edit, or nil if the active
// lists have not changed.
func (l *Lists) publish() *plan.Edit {
	a := l.reader.Active()
	if a == l.active.Load() {
		return nil
	}
	l.active.Store(a)
	return &a.Head.Edit
}

// logRejection logs the findings of a rejected revision once.
func (l *Lists) logRejection() {
	s := l.reader.Status()
	if s.Rejected <= l.loggedRejectedRevision {
		return
	}
	l.loggedRejectedRevision = s.Rejected
	for _, line := range strings.Split(s.Rejection, "\n") {
		l.cfg.Log.Log(event.ListsRejected, "revision", plan.RevisionText(s.Rejected), "finding", line)
	}
}

// logLost logs once that the store has lost an edit.
func (l *Lists) logLost() {
	lost := l.reader.Status().Lost
	if lost == nil || lost.ID == l.loggedLostEdit {
		return
	}
	l.loggedLostEdit = lost.ID
	l.cfg.Log.Log(event.ListsLost, "revision", lost.Revision, "era", lost.Era, "edit", lost.ID, "author", lost.Author, "stored", plan.RevisionText(lost.Stored))
}

// Revision returns the active qualified revision, or 0 if there is none.
func (l *Lists) Revision() int64 {
	if a := l.active.Load(); a != nil {
		return a.Head.Qualified()
	}
	return 0
}

// Customer returns the identifier of the customer that owns a source address, which is
// in IPv4-mapped form, or 0 and the reason for which its new flows are refused. It does
// not allocate.
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

// Active returns the active lists, or nil if there are none.
func (l *Lists) Active() *plan.Installed { return l.active.Load() }

// ListsState is the dump source "lists".
type ListsState struct {
	plan.ReaderStatus
	Customers int `json:"customers"`
	Plans     int `json:"plans"`
	Pages     int `json:"pages"`
}

// State returns the state of the reader and of the active lists for a dump.
func (l *Lists) State() ListsState {
	l.mu.Lock()
	s := ListsState{ReaderStatus: l.reader.Status()}
	l.mu.Unlock()
	if a := l.active.Load(); a != nil {
		s.Customers, s.Plans, s.Pages = len(a.Lists.Customers), len(a.Lists.Plans), len(a.Head.Hashes())
	}
	return s
}
