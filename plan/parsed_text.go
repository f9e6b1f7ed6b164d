package plan

import (
	"bytes"
	"fmt"
	"regexp"
	"sort"
	"strconv"

	"github.com/tailscale/hujson"

	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/internal/jwcc"
)

// parsedText is the parsed text of one list. Only the first finding of a field is reported,
// so that a value of the wrong type is not reported again as empty or invalid.
type parsedText struct {
	file     string
	text     []byte
	root     hujson.Value
	findings *finding.List
	reported map[string]bool
	added    int // findings of this text
}

// maxFindings limits the findings of one text. A finding costs a pass over the text, and no
// operator reads more.
const maxFindings = 100

// full reports whether the text has maxFindings findings, so that no other is reported.
func (d *parsedText) full() bool { return d.added >= maxFindings }

// syntaxError matches hujson's error messages, to extract the position.
var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// parseListText parses JSON with comments. After a syntax error, and for a text that readers
// would reject for its size, it adds one finding and returns false.
func parseListText(file string, text []byte, findings *finding.List) (*parsedText, bool) {
	d := &parsedText{file: file, text: text, findings: findings, reported: map[string]bool{}}
	if len(text) > maxListSize {
		findings.Add(finding.Finding{File: file, Message: fmt.Sprintf("the list has %d bytes, more than %d", len(text), maxListSize)})
		return d, false
	}
	root, err := jwcc.Parse(text)
	if err != nil {
		findings.Add(syntaxFinding(file, err))
		return d, false
	}
	d.root = root
	return d, true
}

func syntaxFinding(file string, err error) finding.Finding {
	f := finding.Finding{File: file, Message: err.Error()}
	if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1]) // digits by the pattern
		f.Column, _ = strconv.Atoi(m[2])
		f.Message = m[3]
	}
	return f
}

// report adds a finding at the position of the value; field is its path.
func (d *parsedText) report(at *hujson.Value, field, format string, args ...any) {
	if d.reported[field] || d.full() {
		return
	}
	d.reported[field] = true
	line, column := position(d.text, at.StartOffset)
	if d.added++; d.full() {
		defer d.findings.Add(finding.Finding{File: d.file, Line: line, Column: column, Message: "further findings are left out"})
	}
	d.findings.Add(finding.Finding{
		File: d.file, Line: line, Column: column, Field: field,
		Message: fmt.Sprintf(format, args...),
	})
}

// path returns the path of the value at the offset, such as "plans[2].name".
func (d *parsedText) path(offset int) string {
	path := ""
	at := &d.root
	for at != nil && at.StartOffset != offset {
		switch v := at.Value.(type) {
		case *hujson.Object:
			path, at = memberAt(v, path, offset)
		case *hujson.Array:
			path, at = elementAt(v, path, offset)
		default:
			return path
		}
	}
	return path
}

// memberAt returns the path and the value of the member that contains the offset. The
// value is nil if the offset is in the member's name or outside all members.
func memberAt(object *hujson.Object, path string, offset int) (string, *hujson.Value) {
	i := sort.Search(len(object.Members), func(i int) bool { return object.Members[i].Value.EndOffset > offset })
	if i == len(object.Members) {
		return path, nil
	}
	m := &object.Members[i]
	path = join(path, literalString(&m.Name))
	if offset < m.Name.EndOffset {
		return path, nil
	}
	return path, &m.Value
}

func elementAt(array *hujson.Array, path string, offset int) (string, *hujson.Value) {
	i := sort.Search(len(array.Elements), func(i int) bool { return array.Elements[i].EndOffset > offset })
	if i == len(array.Elements) {
		return path, nil
	}
	return fmt.Sprintf("%s[%d]", path, i), &array.Elements[i]
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// position returns the line and column of a byte offset, both counted from 1.
func position(text []byte, offset int) (line, column int) {
	before := text[:min(offset, len(text))]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// line returns the line number of the value, for messages that refer to another entry.
func (n node) line() int {
	line, _ := position(n.d.text, n.value.StartOffset)
	return line
}
