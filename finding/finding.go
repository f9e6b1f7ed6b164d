// Package finding collects the problems of an input with their positions, so that all
// of them are reported together.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem of an input.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // from 1; 0 when unknown
	Column  int    `json:"column"` // from 1, in bytes; 0 when unknown
	Field   string `json:"field"`  // path such as "plans[2].name"; "" for the whole file
	Message string `json:"message"`
}

// String formats the finding as "file:line:column: field: message"; unknown parts
// are omitted.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
		if f.Column > 0 {
			fmt.Fprintf(&b, ":%d", f.Column)
		}
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List is a report of findings. The zero value is an empty report.
type List []Finding

// Add appends a finding.
func (l *List) Add(f Finding) { *l = append(*l, f) }

// Sort orders the findings by file, line and column.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// Err returns the report as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns one line per finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
