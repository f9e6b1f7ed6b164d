package edit

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

// Status is the status of an edit.
type Status string

// Statuses of an edit.
const (
	Accepted  Status = "accepted"
	Unchanged Status = "unchanged" // the edit changes nothing; nothing was written
	Stale     Status = "stale"     // refused: another edit was accepted first, and this one can no longer take effect
	Unknown   Status = "unknown"   // it may have been accepted or may still be accepted
)

// Outcome is the result of an edit, as shown to the operator.
type Outcome struct {
	Status   Status        `json:"status"`
	ID       string        `json:"edit_id"`
	Revision int64         `json:"revision"`          // accepted: the edit's revision; otherwise the highest one known
	Base     int64         `json:"base"`              // base revision of the edit
	Changes  []plan.Change `json:"changes,omitempty"` // accepted: the changes of the edit
	Others   []plan.Edit   `json:"others,omitempty"`  // stale: the edits after the base that are in the history
	// OtherChanges is set for a stale edit: the changes by other edits since the base. It
	// is nil if the base can no longer be read.
	OtherChanges []plan.Change `json:"other_changes,omitempty"`
	Cause        error         `json:"-"` // unknown: the reason; stale: the error if the other edit could not be read
}

// String formats the outcome for an operator.
func (o Outcome) String() string {
	switch o.Status {
	case Accepted:
		return lines(fmt.Sprintf("accepted: revision %d, edit %s", o.Revision, o.ID), o.Changes)
	case Unchanged:
		return fmt.Sprintf("unchanged: revision %d already has this content", o.Revision)
	case Stale:
		return o.staleText()
	}
	return fmt.Sprintf("unknown: edit %s may have been accepted or may still be accepted (%v)\n"+
		"check with: nutmegtrack edit-status %s", o.ID, o.Cause, o.ID)
}

func (o Outcome) staleText() string {
	if o.Cause != nil {
		return fmt.Sprintf("refused: made from revision %d, but another edit was accepted first; nothing was changed\n"+
			"the other edit cannot be read: %v", o.Base, o.Cause)
	}
	text := fmt.Sprintf("refused: made from revision %d, but the current one is %d; nothing was changed", o.Base, o.Revision)
	if o.Revision <= o.Base {
		text += "\nthe store has returned from an older copy and may have lost edits; read the list again"
	}
	for _, other := range o.Others {
		text += fmt.Sprintf("\nrevision %d by %s at %s, edit %s", other.Revision, other.Author, other.Time.UTC().Format("2006-01-02 15:04:05Z"), other.ID)
	}
	if o.OtherChanges == nil {
		return text
	}
	return lines(text+"\nchanged in the meantime:", o.OtherChanges)
}

func lines(first string, changes []plan.Change) string {
	out := []string{first}
	for _, c := range changes {
		out = append(out, c.String())
	}
	return strings.Join(out, "\n")
}

// Reasons why the status of an edit is unknown.
var (
	errBaseIsCurrent   = errors.New("the edit is not in the history, but there is no later edit, so its write may still arrive; repeat the edit or check again later")
	errPagesChange     = errors.New("other editors keep writing the same pages")
	errStoreReturned   = errors.New("the store has returned from an older copy, so the edit may have been accepted and lost; compare the lists and repeat the edit if it is missing")
	errHistoryTooShort = errors.New("the history no longer contains every edit after the base revision of this one; compare the lists")
)
