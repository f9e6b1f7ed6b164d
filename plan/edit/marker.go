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
// edits made by others in the meantime. It is not stored.
var marker = regexp.MustCompile(`^// nutmegtrack (?:customers|plans), revision (\d+)\r?\n`)

// AddMarker returns the text of a list with the marker in front.
func AddMarker(list string, revision int64, text []byte) []byte {
	return append(fmt.Appendf(nil, "// nutmegtrack %s, revision %d\n", list, revision), text...)
}

// Marker returns the revision in the marker of a list, and false if there is none.
func Marker(text []byte) (int64, bool) {
	m := marker.FindSubmatch(text)
	if m == nil {
		return 0, false
	}
	revision, err := strconv.ParseInt(string(m[1]), 10, 64)
	return revision, err == nil
}

// StripMarkers removes the markers of both lists.
func StripMarkers(d plan.Documents) plan.Documents {
	strip := func(text []byte) []byte { return bytes.TrimPrefix(text, marker.Find(text)) }
	return plan.Documents{Customers: strip(d.Customers), Plans: strip(d.Plans)}
}
