package edit

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

// A marker is the first line of a list that an operator was given. It says which
// revision the list was, so that applying the file later cannot silently undo what
// others changed in the meantime. It is not stored.
var marker = regexp.MustCompile(`^// nutmegtrack (?:customers|plans), revision (\d+)\r?\n`)

// AddMarker puts the marker before a list.
func AddMarker(list string, revision int64, text []byte) []byte {
	return append(fmt.Appendf(nil, "// nutmegtrack %s, revision %d\n", list, revision), text...)
}

// Marker returns the revision of a list with a marker.
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
