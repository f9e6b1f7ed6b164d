package plan

import (
	"github.com/cockroachdb/errors"
)

// Errors of Installer.Install. Lists that are not valid return their findings.
var (
	// ErrOlder says that the revision is lower than one that was seen.
	ErrOlder = errors.New("plan: revision is lower than one seen before")
	// ErrConflict says that another edit has the same revision, which happens only
	// after the store lost accepted edits.
	ErrConflict = errors.New("plan: another edit has the same revision")
)

// Installed is one revision of the lists in force. It is not modified afterwards.
type Installed struct {
	Head  Head
	Docs  Documents
	Lists *Lists
	Table *Table
}

// Installer holds the active lists. It never goes back to a lower revision and
// never installs lists that fail validation.
type Installer struct {
	active *Installed
	seen   int64 // highest revision that was offered complete, valid or not
}

// Active returns the active lists, or nil before the first.
func (i *Installer) Active() *Installed { return i.active }

// Revision returns the active revision; 0 means none.
func (i *Installer) Revision() int64 {
	if i.active == nil {
		return 0
	}
	return i.active.Head.Revision
}

// Install makes the revision active. The active one stays in force after an error:
// ErrPageMissing, ErrOlder, ErrConflict, or a finding.List. Installing the active
// revision again does nothing.
func (i *Installer) Install(head Head, pages Pages) error {
	docs, err := head.Join(pages)
	if err != nil {
		return err
	}
	if head.Revision == i.Revision() {
		return i.same(head)
	}
	if head.Revision < i.seen {
		return errors.Wrapf(ErrOlder, "revision %d, seen %d", head.Revision, i.seen)
	}
	i.seen = head.Revision
	lists, findings := Parse(docs, DefaultFiles, nil)
	if len(findings) > 0 {
		return findings
	}
	i.active = &Installed{Head: head, Docs: docs, Lists: lists, Table: NewTable(lists)}
	return nil
}

func (i *Installer) same(head Head) error {
	if head.ID != i.active.Head.ID {
		return errors.Wrapf(ErrConflict, "revision %d: edits %s and %s", head.Revision, i.active.Head.ID, head.ID)
	}
	return nil
}
