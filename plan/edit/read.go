package edit

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// Snapshot is one revision of both lists, read from the store.
type Snapshot struct {
	Head        plan.Head // Revision 0 before the first edit
	Docs        plan.Documents
	modRevision int64     // store revision of the head's key; 0 if there is none
	era         store.Era // of the store, when it was read
}

// Lists decodes the lists of the snapshot.
func (s *Snapshot) Lists() (*plan.Lists, error) {
	lists, findings := plan.Parse(s.Docs, plan.DefaultFiles, nil)
	return lists, findings.Err()
}

// readAttempts is the maximum number of attempts of a read if edits delete a page in the
// meantime. That takes 20 edits during one attempt.
const readAttempts = 3

// Read returns the current revision.
func (e *Editor) Read(ctx context.Context) (*Snapshot, error) {
	var err error
	for range readAttempts {
		var s *Snapshot
		if s, err = e.readOnce(ctx); !errors.Is(err, plan.ErrPageMissing) {
			return s, err
		}
	}
	return nil, err
}

func (e *Editor) readOnce(ctx context.Context) (*Snapshot, error) {
	s, err := e.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return e.readDocuments(ctx, s)
}

func (e *Editor) readDocuments(ctx context.Context, s *Snapshot) (*Snapshot, error) {
	if s.Head.Revision == 0 {
		s.Docs = plan.EmptyDocuments()
		return s, nil
	}
	pages, err := e.readPages(ctx, s.Head.Hashes())
	if err != nil {
		return nil, err
	}
	s.Docs, err = s.Head.Join(pages)
	return s, err
}

// ErrRevisionGone is returned for a revision that does not exist or is no longer kept.
var ErrRevisionGone = errors.New("the revision does not exist or is no longer kept")

// ReadRevision returns the current revision or one of the plan.KeptRevisions before it, for
// comparison. An edit of the snapshot would be refused.
func (e *Editor) ReadRevision(ctx context.Context, revision int64) (*Snapshot, error) {
	if revision == 0 {
		return e.readDocuments(ctx, &Snapshot{})
	}
	kv, err := e.cfg.Store.Get(ctx, plan.RevisionKey(revision))
	if errors.Is(err, store.ErrNotFound) {
		return nil, errors.Wrapf(ErrRevisionGone, "revision %d", revision)
	}
	if err != nil {
		return nil, err
	}
	head, err := plan.DecodeHead(kv.Value)
	if err != nil {
		return nil, err
	}
	return e.readDocuments(ctx, &Snapshot{Head: head})
}

// readHead returns the snapshot of the current head without its documents. The head is zero if
// there is none. List, unlike Get, then returns the store's era nevertheless.
func (e *Editor) readHead(ctx context.Context) (*Snapshot, error) {
	kvs, revision, err := e.cfg.Store.List(ctx, plan.HeadKey)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{era: store.EraOf(revision)}
	for _, kv := range kvs {
		if kv.Key == plan.HeadKey {
			s.modRevision = kv.ModRevision
			s.Head, err = plan.DecodeHead(kv.Value)
		}
	}
	return s, err
}

func (e *Editor) readPages(ctx context.Context, hashes []plan.Hash) (plan.Pages, error) {
	pages := plan.Pages{}
	for _, hash := range hashes {
		kv, err := e.cfg.Store.Get(ctx, plan.PageKey(hash))
		if errors.Is(err, store.ErrNotFound) {
			return nil, errors.Wrapf(plan.ErrPageMissing, "page %s", hash)
		}
		if err != nil {
			return nil, err
		}
		pages[hash] = kv.Value
	}
	return pages, nil
}
