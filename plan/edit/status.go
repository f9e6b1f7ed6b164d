package edit

import (
	"context"

	"github.com/nutmegtrack/nutmegtrack/plan"
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
	return statusOf(current.Head, base, id), nil
}

// statusOf returns the outcome of the edit with the ID. An edit that is not in the history
// was refused if a later revision than its base exists; while the base is the current
// revision, the edit's write may still arrive.
func statusOf(head plan.Head, base int64, id string) Outcome {
	outcome := Outcome{ID: id, Base: base, Revision: head.Revision, Status: Unknown}
	if found, ok := head.FindEdit(id); ok {
		return acceptedOutcome(outcome, found.Revision)
	}
	switch {
	case head.Revision <= base:
		outcome.Cause = errBaseIsCurrent
	case head.HistoryCovers(base):
		outcome.Status, outcome.Others = Stale, editsSince(head, base)
	default:
		outcome.Cause = errHistoryTooShort
	}
	return outcome
}
