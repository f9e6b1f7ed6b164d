package plan

import (
	"github.com/cockroachdb/errors"
)

// Errors of Installer.Install. For invalid lists it returns their findings.
var (
	// ErrOlder is returned for a revision that is lower than one that was passed to
	// Install before, with all its pages.
	ErrOlder = errors.New("plan: revision is lower than one received before")
	// ErrConflict is returned if another edit has the same revision in the same era, which
	// happens only if the store has lost accepted edits without starting a new era.
	ErrConflict = errors.New("plan: another edit has the same revision")
)

// Installed is one installed revision of the lists. It is immutable.
type Installed struct {
	Head  Head
	Docs  Documents
	Lists *Lists
	Table *Table
}

// Installer holds the active lists. It never returns to a lower qualified revision and never
// installs lists that fail validation.
type Installer struct {
	active  *Installed
	highest int64 // highest qualified revision passed to Install with all its pages, valid or not
}

// Active returns the active lists, or nil if none are installed.
func (i *Installer) Active() *Installed { return i.active }

// Revision returns the active qualified revision; 0 means none.
func (i *Installer) Revision() int64 {
	if i.active == nil {
		return 0
	}
	return i.active.Head.Qualified()
}

// Install makes the revision active. After an error the previous revision stays active;
// the error is ErrPageMissing, ErrOlder, ErrConflict, a finding.List, or that of a page
// that does not match its hash. Installing the active revision again has no effect.
func (i *Installer) Install(head Head, pages Pages) error {
	docs, err := head.Join(pages)
	if err != nil {
		return err
	}
	revision := head.Qualified()
	if revision == i.Revision() {
		return i.checkSameEdit(head)
	}
	if revision < i.highest {
		return errors.Wrapf(ErrOlder, "revision %s, highest received %s", RevisionText(revision), RevisionText(i.highest))
	}
	i.highest = revision
	lists, findings := Parse(docs, DefaultFiles, nil)
	if len(findings) > 0 {
		return findings
	}
	i.active = &Installed{Head: head, Docs: docs, Lists: lists, Table: NewTable(lists)}
	return nil
}

func (i *Installer) checkSameEdit(head Head) error {
	if head.ID != i.active.Head.ID {
		return errors.Wrapf(ErrConflict, "revision %s: edits %s and %s", RevisionText(head.Qualified()), i.active.Head.ID, head.ID)
	}
	return nil
}
