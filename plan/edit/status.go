package edit

import (
	"context"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// Status determines the outcome of an edit from the head and its history.
func (e *Editor) Status(ctx context.Context, id string) (Outcome, error) {
	base, err := BaseOf(id)
	if err != nil {
		return Outcome{}, err
	}
	current, err := e.readHead(ctx)
	if err != nil {
		return Outcome{}, err
	}
	return statusOf(current, base, id), nil
}

// statusOf returns the outcome of the edit with the ID. An edit that is not in the history
// was refused if a later revision than its base exists, unless the store has returned from an
// older copy in between and may have lost it; while the base is the current revision, the edit's
// write may still arrive.
func statusOf(current *Snapshot, base int64, id string) Outcome {
	head := current.Head
	outcome := Outcome{ID: id, Base: base, Revision: head.Revision, Status: Unknown}
	if found, ok := head.FindEdit(id); ok {
		return acceptedOutcome(outcome, found.Revision)
	}
	switch {
	case head.Revision <= base && current.era > head.Era:
		outcome.Cause = errStoreReturned
	case head.Revision <= base:
		outcome.Cause = errBaseIsCurrent
	case head.HistoryCovers(base) && returnedAfter(head, base):
		outcome.Cause = errStoreReturned
	case head.HistoryCovers(base):
		outcome.Status, outcome.Others = Stale, editsSince(head, base)
	default:
		outcome.Cause = errHistoryTooShort
	}
	return outcome
}

// returnedAfter reports whether the store may have returned from an older copy between the
// acceptance of the base and that of the edit that follows it in the history. The base's era
// counts as 0 if the base is not in the history.
func returnedAfter(head plan.Head, base int64) bool {
	var baseEra store.Era
	for _, e := range head.History {
		switch {
		case e.Revision == base:
			baseEra = e.Era
		case e.Revision > base:
			return e.Era > baseEra
		}
	}
	return false
}
