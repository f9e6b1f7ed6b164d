package edit

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// Change returns the documents after the edit. It must not modify its argument.
type Change func(plan.Documents) (plan.Documents, error)

// ErrInvalid marks lists with findings; the findings are in the error's chain.
var ErrInvalid = errors.New("the lists are not valid; nothing was changed")

const (
	// batchBytes bounds the pages of one transaction, since the store limits a
	// request, in base64, to 1.5 MiB; batchOps keeps below its limit of 128 writes.
	batchBytes = 512 << 10
	batchOps   = 64

	// expireLimit bounds the pages that one edit deletes together with the head's
	// write, for the same limit.
	expireLimit = 64
)

// Apply makes an edit from the snapshot. An error says that nothing was changed;
// otherwise the outcome says what happened.
func (e *Editor) Apply(ctx context.Context, base *Snapshot, change Change) (Outcome, error) {
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

// check validates the new lists and returns them as they are stored, and what they change.
// Findings name the places in the text that the operator wrote.
func (e *Editor) check(base *Snapshot, docs plan.Documents) (plan.Documents, []plan.Change, error) {
	lists, findings := plan.Parse(docs, e.cfg.Files, e.cfg.Capacities)
	if len(findings) > 0 {
		return docs, nil, errors.Join(ErrInvalid, findings)
	}
	docs = StripMarkers(docs)
	before, err := base.Lists()
	if err != nil {
		// The store's lists can be invalid only when something else wrote them; the
		// edit may be what corrects them, so it is not compared.
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
	edit := plan.Edit{ID: outcome.ID, Author: e.cfg.Author, Time: e.cfg.Now().UTC().Round(0)}
	head, pages := base.Head.Next(edit, docs)
	for _, hash := range base.Head.Hashes() {
		delete(pages, hash) // the store has it, as long as the head stays the same
	}
	if err := e.writePages(ctx, pages); err != nil {
		return outcome, errors.Wrap(err, "writing the pages; nothing was changed")
	}
	swap := headSwap(base.modRevision, head)
	return e.replaceHead(ctx, base, swap, outcome)
}

// writePages writes in batches. A batch whose outcome is unknown is written again,
// which is safe because a page's key is its content.
func (e *Editor) writePages(ctx context.Context, pages plan.Pages) error {
	var batch []store.Op
	size := 0
	for hash, page := range pages {
		if len(batch) == batchOps || (size > 0 && size+len(page) > batchBytes) {
			if err := e.putPages(ctx, batch); err != nil {
				return err
			}
			batch, size = nil, 0
		}
		batch = append(batch, store.Op{Key: plan.PageKey(hash), Value: page})
		size += len(page)
	}
	if len(batch) == 0 {
		return nil
	}
	return e.putPages(ctx, batch)
}

func (e *Editor) putPages(ctx context.Context, batch []store.Op) error {
	var err error
	for attempt := range e.cfg.Attempts {
		if attempt > 0 {
			e.cfg.Wait(ctx)
		}
		if _, err = e.cfg.Store.Txn(ctx, nil, batch); !errors.Is(err, store.ErrUnknown) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// swap is the transaction that replaces the head. Because it holds only for the
// head's revision that was read, it takes effect at most once however often it is
// sent.
type swap struct {
	conditions []store.Compare
	writes     []store.Op
}

// headSwap also deletes the pages that no reader needs any more. Only this
// transaction deletes pages: a page that an edit in progress has just written again
// can then be deleted only by an edit that makes the other one stale.
func headSwap(modRevision int64, head plan.Head) swap {
	expired := head.Expired(expireLimit)
	s := swap{
		conditions: []store.Compare{{Key: plan.HeadKey, Target: store.CompareMod, Revision: modRevision}},
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

// replaceHead sends the swap until its outcome is certain or the attempts are used
// up. Only an attempt that surely did not happen before any unknown one is reported
// as an error.
func (e *Editor) replaceHead(ctx context.Context, base *Snapshot, s swap, outcome Outcome) (Outcome, error) {
	uncertain := false
	for attempt := range e.cfg.Attempts {
		if attempt > 0 {
			e.cfg.Wait(ctx)
		}
		result, err := e.cfg.Store.Txn(ctx, s.conditions, s.writes)
		switch {
		case err == nil && result.Succeeded:
			return accepted(outcome, base.Head.Revision+1), nil
		case err == nil:
			return e.lost(ctx, base, outcome, uncertain)
		case !uncertain && !errors.Is(err, store.ErrUnknown):
			return outcome, errors.Wrap(err, "replacing the head; nothing was changed")
		}
		uncertain, outcome.Cause = true, err
		if ctx.Err() != nil {
			break
		}
	}
	outcome.Status = Unknown
	return outcome, nil
}

func accepted(o Outcome, revision int64) Outcome {
	o.Status, o.Revision, o.Cause = Accepted, revision, nil
	return o
}

// lost is called when the head is not the base any more: either an earlier attempt
// of this edit replaced it, which the history tells, or another edit won.
func (e *Editor) lost(ctx context.Context, base *Snapshot, outcome Outcome, uncertain bool) (Outcome, error) {
	current, err := e.readAgain(ctx)
	if err != nil {
		outcome.Cause = err
		outcome.Status = Unknown
		if !uncertain {
			outcome.Status = Stale
		}
		return outcome, nil
	}
	if edit, found := current.Head.Find(outcome.ID); found {
		return accepted(outcome, edit.Revision), nil
	}
	if uncertain && !current.Head.Covers(base.Head.Revision) {
		outcome.Status = Unknown
		return outcome, nil
	}
	return stale(base, current, outcome), nil
}

func (e *Editor) readAgain(ctx context.Context) (*Snapshot, error) {
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

func stale(base, current *Snapshot, outcome Outcome) Outcome {
	outcome.Status, outcome.Revision, outcome.Cause = Stale, current.Head.Revision, nil
	outcome.Changes = nil
	outcome.Others = since(current.Head, base.Head.Revision)
	outcome.OtherChanges, _ = Difference(base, current) // stays nil when one is invalid
	return outcome
}

// Difference returns what changed between two revisions.
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

// Refuse returns the outcome of an edit that was made from an earlier revision than
// the current one. Nothing is written.
func (e *Editor) Refuse(ctx context.Context, revision int64, current *Snapshot) Outcome {
	outcome := Outcome{Base: revision}
	base, err := e.ReadRevision(ctx, revision)
	if err != nil {
		outcome.Status, outcome.Revision = Stale, current.Head.Revision
		outcome.Others = since(current.Head, revision)
		return outcome
	}
	return stale(base, current, outcome)
}

// since returns the edits after the revision, as far as the history goes.
func since(head plan.Head, revision int64) []plan.Edit {
	var edits []plan.Edit
	for _, edit := range head.History {
		if edit.Revision > revision {
			edits = append(edits, edit)
		}
	}
	return edits
}
