package edit

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// Func is an edit: it returns the edited documents. It must not modify its argument.
type Func func(plan.Documents) (plan.Documents, error)

// ErrInvalid is returned for invalid lists; the findings are in the error's chain.
var ErrInvalid = errors.New("the lists are not valid; nothing was changed")

const (
	// batchBytes is the maximum size of the pages in one transaction, since the store
	// limits a request, encoded in base64, to 1.5 MiB. batchOps is the maximum number of
	// pages; the store's limit is 128 writes.
	batchBytes = 512 << 10
	batchOps   = 64

	// expireLimit is the maximum number of pages that the transaction which replaces the
	// head deletes, because of the same limit of 128 writes.
	expireLimit = 64
)

// Apply applies an edit to the snapshot and writes the result. If it returns an error,
// nothing was changed; otherwise the outcome contains the result.
func (e *Editor) Apply(ctx context.Context, base *Snapshot, change Func) (Outcome, error) {
	outcome := Outcome{Base: base.Head.Revision, Revision: base.Head.Revision}
	docs, err := change(base.Docs)
	if err != nil {
		return outcome, err
	}
	docs, changes, err := e.check(base, docs)
	if err != nil {
		return outcome, err
	}
	if string(docs.Customers) == string(base.Docs.Customers) && string(docs.Plans) == string(base.Docs.Plans) {
		outcome.Status = Unchanged
		return outcome, nil
	}
	outcome.ID = editID(base.Head.Revision, e.cfg.NewID())
	outcome.Changes = changes
	return e.write(ctx, base, docs, outcome)
}

// check validates the new lists. It returns them as they will be stored, and their diff to
// the base. Findings have the positions in the text that the operator wrote.
func (e *Editor) check(base *Snapshot, docs plan.Documents) (plan.Documents, []plan.Change, error) {
	lists, findings := plan.Parse(docs, e.cfg.Files, e.cfg.Capacities)
	if len(findings) > 0 {
		return docs, nil, errors.Join(ErrInvalid, findings)
	}
	docs = StripMarkers(docs)
	before, err := base.Lists()
	if err != nil {
		// The lists in the store are invalid only if something other than an Editor
		// wrote them. The edit may correct them, so it is accepted without a diff.
		return docs, nil, nil
	}
	if docs.Customers, err = keepAccounts(before, lists, docs.Customers); err != nil {
		return docs, nil, err
	}
	if lists, findings = plan.Parse(docs, e.cfg.Files, e.cfg.Capacities); len(findings) > 0 {
		return docs, nil, errors.Join(ErrInvalid, findings)
	}
	return docs, plan.Diff(before, lists), nil
}

func (e *Editor) write(ctx context.Context, base *Snapshot, docs plan.Documents, outcome Outcome) (Outcome, error) {
	edit := plan.Edit{Era: base.era, ID: outcome.ID, Author: e.cfg.Author, Time: e.cfg.Now().UTC().Round(0)}
	head, pages := base.Head.Next(edit, docs)
	for _, hash := range base.Head.Hashes() {
		delete(pages, hash) // the store has it while the head is unchanged
	}
	var uncertain bool
	for range e.cfg.Attempts {
		written, err := e.writePages(ctx, pages)
		if err != nil && !uncertain {
			return outcome, errors.Wrap(err, "writing the pages; nothing was changed")
		}
		if err != nil {
			outcome.Status, outcome.Cause = Unknown, err
			return outcome, nil
		}
		conditions := append(written, store.Compare{Key: plan.HeadKey, Target: store.CompareMod, Revision: base.modRevision})
		var again bool
		if outcome, again, err = e.replaceHead(ctx, base, newSwap(conditions, head), outcome, &uncertain); !again {
			return outcome, err
		}
	}
	outcome.Status, outcome.Cause = Unknown, errPagesChange
	return outcome, nil
}

// writePages writes the pages in batches. A batch whose outcome is unknown is written
// again, which is safe because a page's key is the hash of its content. The condition that it
// returns holds as long as the store has the last batch, and therefore all of them: a store that
// has returned from an older copy may have lost them. There is none if there are no pages.
func (e *Editor) writePages(ctx context.Context, pages plan.Pages) ([]store.Compare, error) {
	var batch []store.Op
	size := 0
	for hash, page := range pages {
		if len(batch) == batchOps || (size > 0 && size+len(page) > batchBytes) {
			if _, err := e.putPages(ctx, batch); err != nil {
				return nil, err
			}
			batch, size = nil, 0
		}
		batch = append(batch, store.Op{Key: plan.PageKey(hash), Value: page})
		size += len(page)
	}
	if len(batch) == 0 {
		return nil, nil
	}
	revision, err := e.putPages(ctx, batch)
	return []store.Compare{{Key: batch[0].Key, Target: store.CompareMod, Revision: revision}}, err
}

// putPages writes one batch and returns its store revision.
func (e *Editor) putPages(ctx context.Context, batch []store.Op) (int64, error) {
	var result store.TxnResult
	var err error
	for attempt := range e.cfg.Attempts {
		if attempt > 0 {
			e.cfg.Wait(ctx)
		}
		if result, err = e.cfg.Store.Txn(ctx, nil, batch); !errors.Is(err, store.ErrUnknown) || ctx.Err() != nil {
			break
		}
	}
	return result.Revision, err
}

// swap is the transaction that replaces the head. It is conditional on the head's store
// revision that was read, so it takes effect at most once, even if it is sent repeatedly, and on
// that of a page written last.
type swap struct {
	conditions []store.Compare
	writes     []store.Op
}

// newSwap returns the transaction that replaces the head and deletes the expired pages.
// No other transaction deletes pages. If it deletes a page that another edit in progress
// has just written, that edit is stale, because the head has changed: no accepted edit
// loses a page.
func newSwap(conditions []store.Compare, head plan.Head) swap {
	expired := head.RemoveExpired(expireLimit)
	s := swap{
		conditions: conditions,
		writes: []store.Op{
			{Key: plan.HeadKey, Value: head.Encode()},
			{Key: plan.RevisionKey(head.Revision), Value: head.Short().Encode()},
			{Key: plan.RevisionKey(head.Revision - plan.KeptRevisions - 1), Delete: true},
		},
	}
	for _, hash := range expired {
		s.writes = append(s.writes, store.Op{Key: plan.PageKey(hash), Delete: true})
	}
	return s
}

// replaceHead sends the swap until its outcome is known or the attempts are exhausted. It
// returns an error only if the swap certainly had no effect: an attempt failed, and no
// earlier attempt had an unknown outcome, which it records in uncertain. It returns true if the
// head is still the base, and the pages must be written again.
func (e *Editor) replaceHead(ctx context.Context, base *Snapshot, s swap, outcome Outcome, uncertain *bool) (Outcome, bool, error) {
	for attempt := range e.cfg.Attempts {
		if attempt > 0 {
			e.cfg.Wait(ctx)
		}
		result, err := e.cfg.Store.Txn(ctx, s.conditions, s.writes)
		switch {
		case err == nil && result.Succeeded:
			return acceptedOutcome(outcome, base.Head.Revision+1), false, nil
		case err == nil:
			return e.conditionFailed(ctx, base, outcome, *uncertain)
		case !*uncertain && !errors.Is(err, store.ErrUnknown):
			return outcome, false, errors.Wrap(err, "replacing the head; nothing was changed")
		}
		*uncertain, outcome.Cause = true, err
		if ctx.Err() != nil {
			break
		}
	}
	outcome.Status = Unknown
	return outcome, false, nil
}

func acceptedOutcome(o Outcome, revision int64) Outcome {
	o.Status, o.Revision, o.Cause = Accepted, revision, nil
	return o
}

// conditionFailed returns the outcome after a condition of the swap did not hold, or true if the
// head is still the base, because another editor has written the same pages.
func (e *Editor) conditionFailed(ctx context.Context, base *Snapshot, outcome Outcome, uncertain bool) (Outcome, bool, error) {
	current, err := e.readWithRetries(ctx)
	if err != nil {
		outcome.Cause = err
		outcome.Status = Unknown
		if !uncertain {
			outcome.Status = Stale
		}
		return outcome, false, nil
	}
	if current.modRevision == base.modRevision && current.era == base.era {
		return outcome, true, nil
	}
	return headChanged(base, current, outcome, uncertain), false, nil
}

// headChanged returns the outcome if the head is no longer the base: either an earlier
// attempt of this edit has replaced it, and the edit is in the history, or another edit was
// accepted.
func headChanged(base, current *Snapshot, outcome Outcome, uncertain bool) Outcome {
	if edit, found := current.Head.FindEdit(outcome.ID); found {
		return acceptedOutcome(outcome, edit.Revision)
	}
	if uncertain && current.era > base.era {
		outcome.Status, outcome.Cause = Unknown, errStoreReturned
		return outcome
	}
	if uncertain && !current.Head.HistoryCovers(base.Head.Revision) {
		outcome.Status = Unknown
		return outcome
	}
	return staleOutcome(base, current, outcome)
}

func (e *Editor) readWithRetries(ctx context.Context) (*Snapshot, error) {
	var err error
	for attempt := range e.cfg.Attempts {
		if attempt > 0 {
			e.cfg.Wait(ctx)
		}
		var s *Snapshot
		if s, err = e.Read(ctx); err == nil || ctx.Err() != nil {
			return s, err
		}
	}
	return nil, err
}

func staleOutcome(base, current *Snapshot, outcome Outcome) Outcome {
	outcome.Status, outcome.Revision, outcome.Cause = Stale, current.Head.Revision, nil
	outcome.Changes = nil
	outcome.Others = editsSince(current.Head, base.Head.Revision)
	outcome.OtherChanges, _ = Difference(base, current) // nil if one of the revisions is invalid
	return outcome
}

// Difference returns the diff of two revisions.
func Difference(from, to *Snapshot) ([]plan.Change, error) {
	before, err := from.Lists()
	if err != nil {
		return nil, err
	}
	after, err := to.Lists()
	if err != nil {
		return nil, err
	}
	return plan.Diff(before, after), nil
}

// StaleOutcome returns the outcome of an edit with the given base revision, which is lower
// than the current one. It writes nothing.
func (e *Editor) StaleOutcome(ctx context.Context, revision int64, current *Snapshot) Outcome {
	outcome := Outcome{Base: revision}
	base, err := e.ReadRevision(ctx, revision)
	if err != nil {
		outcome.Status, outcome.Revision = Stale, current.Head.Revision
		outcome.Others = editsSince(current.Head, revision)
		return outcome
	}
	return staleOutcome(base, current, outcome)
}

// editsSince returns the edits after the revision that are in the head's history.
func editsSince(head plan.Head, revision int64) []plan.Edit {
	var edits []plan.Edit
	for _, edit := range head.History {
		if edit.Revision > revision {
			edits = append(edits, edit)
		}
	}
	return edits
}
