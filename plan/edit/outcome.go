package edit

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

// Status is the outcome of an edit.
type Status string

// Outcomes of an edit.
const (
	Accepted  Status = "accepted"
	Unchanged Status = "unchanged" // the edit would change nothing; nothing was written
	Stale     Status = "stale"     // another edit was accepted first; this one will never take effect
	Unknown   Status = "unknown"   // it may have been accepted, or may still be
)

// Outcome is what an operator is told.
type Outcome struct {
	Status   Status        `json:"status"`
	ID       string        `json:"edit_id"`
	Revision int64         `json:"revision"`          // accepted: its revision; stale: the current one
	Base     int64         `json:"base"`              // the revision that the edit was made from
	Changes  []plan.Change `json:"changes,omitempty"` // accepted: what it changed
	Others   []plan.Edit   `json:"others,omitempty"`  // stale: the edits since the base, as far as remembered
	// OtherChanges are, when stale, what the other edits changed since the base; nil
	// when the base's pages are not known any more.
	OtherChanges []plan.Change `json:"other_changes,omitempty"`
	Cause        error         `json:"-"` // unknown: the last error
}

// String formats the outcome for an operator.
func (o Outcome) String() string {
	switch o.Status {
	case Accepted:
		return lines(fmt.Sprintf("accepted: revision %d, edit %s", o.Revision, o.ID), o.Changes)
	case Unchanged:
		return fmt.Sprintf("unchanged: revision %d already says this", o.Revision)
	case Stale:
		return o.staleText()
	}
	return fmt.Sprintf("unknown: edit %s may have been accepted or may still be (%v)\n"+
		"ask with: nutmegtrack edit-status %s", o.ID, o.Cause, o.ID)
}

func (o Outcome) staleText() string {
	if o.Cause != nil {
		return fmt.Sprintf("refused: made from revision %d, but another edit was accepted first; nothing was changed\n"+
			"the other edit cannot be read: %v", o.Base, o.Cause)
	}
	text := fmt.Sprintf("refused: made from revision %d, but the current one is %d; nothing was changed", o.Base, o.Revision)
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
	errBaseCurrent = errors.New("it is not in the history, but no later edit excludes it; repeat the edit or ask again later")
	errForgotten   = errors.New("the history does not reach back to it; compare the lists")
)
