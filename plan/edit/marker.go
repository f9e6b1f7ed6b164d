package edit

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

// marker matches the first line of a list that was written to a file for an operator. It
// contains the revision of the list, so that applying the file later cannot silently undo
// edits made by others in the meantime, and its edit, since a store that has returned from an older
// copy may have given the revision to another edit. It is not stored.
var marker = regexp.MustCompile(`^// nutmegtrack (?:customers|plans), revision (\d+)(?:, edit (\S+))?\r?\n`)

// AddMarker returns the text of a list with the marker of its revision in front.
func AddMarker(list string, head plan.Head, text []byte) []byte {
	line := fmt.Sprintf("// nutmegtrack %s, revision %d", list, head.Revision)
	if head.ID != "" {
		line += ", edit " + head.ID
	}
	return append([]byte(line+"\n"), text...)
}

// Base is what a marker says about the revision that a list was made from.
type Base struct {
	Revision int64
	EditID   string // "" if it is not known
}

// Is reports whether the head is that of the base.
func (b Base) Is(head plan.Head) bool {
	return b.Revision == head.Revision && (b.EditID == "" || b.EditID == head.ID)
}

// Marker returns the base in the marker of a list, and false if there is none.
func Marker(text []byte) (Base, bool) {
	m := marker.FindSubmatch(text)
	if m == nil {
		return Base{}, false
	}
	revision, err := strconv.ParseInt(string(m[1]), 10, 64)
	return Base{Revision: revision, EditID: string(m[2])}, err == nil
}

// StripMarkers removes the markers of both lists.
func StripMarkers(d plan.Documents) plan.Documents {
	strip := func(text []byte) []byte { return bytes.TrimPrefix(text, marker.Find(text)) }
	return plan.Documents{Customers: strip(d.Customers), Plans: strip(d.Plans)}
}
