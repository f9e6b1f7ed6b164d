package daemon

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/plan"
)

// ListSource is where lists are read from: the store or a peer.
type ListSource interface {
	// Head returns the newest head that the source has; its revision is 0 when the
	// source has none.
	Head(ctx context.Context) (plan.Head, error)
	// Pages returns some of the pages, at least one.
	Pages(ctx context.Context, hashes []plan.Hash) (plan.Pages, error)
}

// Lists holds the active lists of one process and installs newer ones. Its methods
// are safe for concurrent use.
type Lists struct {
	log       *event.Logger
	activated func(revision int64)
	active    atomic.Pointer[plan.Installed]

	mu        sync.Mutex // held during an update
	installer plan.Installer
	rejected  int64 // highest revision reported as rejected

	cache sync.RWMutex
	pages plan.Pages // of the active revision
}

// NewLists returns a holder without lists. activated is told of each revision that
// becomes active.
func NewLists(log *event.Logger, activated func(revision int64)) *Lists {
	return &Lists{log: log, activated: activated, pages: plan.Pages{}}
}

// Revision returns the active revision; 0 means none.
func (l *Lists) Revision() int64 {
	if a := l.active.Load(); a != nil {
		return a.Head.Revision
	}
	return 0
}

// ListsState is the dump source "lists".
type ListsState struct {
	Edit      *plan.Edit `json:"edit"` // that made the active revision; null without lists
	Customers int        `json:"customers"`
	Plans     int        `json:"plans"`
	Pages     int        `json:"pages"`
}

// State describes the active lists for a dump.
func (l *Lists) State() ListsState {
	a := l.active.Load()
	if a == nil {
		return ListsState{}
	}
	edit := a.Head.Edit
	return ListsState{
		Edit:      &edit,
		Customers: len(a.Lists.Customers),
		Plans:     len(a.Lists.Plans),
		Pages:     len(a.Head.Hashes()),
	}
}

// Customer returns the identifier of the customer that a source address in
// IPv4-mapped form belongs to, or 0 when there is none. It does not allocate.
func (l *Lists) Customer(source *[16]byte) uint64 {
	a := l.active.Load()
	if a == nil {
		return 0
	}
	m, ok := a.Table.Lookup(netip.AddrFrom16(*source))
	if !ok || m.Customer == nil {
		return 0
	}
	return xxhash.Sum64String(m.Customer.Name)
}

// Update installs the source's lists when they are newer than the active ones.
// Only pages that are not known yet are read. It returns at once when another
// update is in progress.
func (l *Lists) Update(ctx context.Context, from ListSource) error {
	if !l.mu.TryLock() {
		return nil
	}
	defer l.mu.Unlock()
	head, err := from.Head(ctx)
	if err != nil || head.Revision <= l.installer.Revision() {
		return err
	}
	pages, err := l.collect(ctx, from, head)
	if err != nil {
		return err
	}
	if err := l.installer.Install(head, pages); err != nil {
		l.reject(head.Revision, err)
		return err
	}
	l.cache.Lock()
	l.pages = pages
	l.cache.Unlock()
	l.active.Store(l.installer.Active())
	l.log.Log(event.ListsActive, "revision", head.Revision, "edit", head.ID, "author", head.Author)
	l.activated(head.Revision)
	return nil
}

// collect returns all pages of the head.
func (l *Lists) collect(ctx context.Context, from ListSource, head plan.Head) (plan.Pages, error) {
	pages := plan.Pages{}
	var missing []plan.Hash
	for _, hash := range head.Hashes() {
		if page, known := l.page(hash); known {
			pages[hash] = page
		} else {
			missing = append(missing, hash)
		}
	}
	for len(missing) > 0 {
		got, err := from.Pages(ctx, missing)
		if err != nil {
			return nil, err
		}
		maps.Copy(pages, got)
		rest := without(missing, got)
		if len(rest) == len(missing) {
			return nil, errors.Wrapf(plan.ErrPageMissing, "page %s", missing[0])
		}
		missing = rest
	}
	return pages, nil
}

func without(hashes []plan.Hash, got plan.Pages) []plan.Hash {
	var rest []plan.Hash
	for _, h := range hashes {
		if _, found := got[h]; !found {
			rest = append(rest, h)
		}
	}
	return rest
}

func (l *Lists) page(hash plan.Hash) ([]byte, bool) {
	l.cache.RLock()
	defer l.cache.RUnlock()
	page, known := l.pages[hash]
	return page, known
}

// reject logs why a revision was not activated, once for each revision.
func (l *Lists) reject(revision int64, err error) {
	if revision <= l.rejected {
		return
	}
	l.rejected = revision
	var found finding.List
	if !errors.As(err, &found) {
		l.log.Log(event.ListsRejected, "revision", revision, "error", err)
		return
	}
	for _, f := range found {
		l.log.Log(event.ListsRejected, "revision", revision, "finding", f)
	}
}
