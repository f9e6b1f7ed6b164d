package settings

import (
	"bytes"
	"os"
	"reflect"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"github.com/nutmegtrack/nutmegtrack/finding"
)

// checker is implemented by settings structs to check fields that depend on each other.
type checker interface {
	check(at positions, found *finding.List)
}

func load(path string, into checker) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return finding.List{{File: path, Message: err.Error()}}
	}
	return parse(path, src, into)
}

// parse decodes src into a settings struct and returns all findings, or nil.
func parse(file string, src []byte, into checker) error {
	var found finding.List
	root, err := hujson.Parse(src)
	if err != nil {
		found.Add(syntaxFinding(file, err))
		return found
	}
	d := decoder{file: file, src: src, found: &found, offsets: map[string]int{"": root.StartOffset}}
	d.value(&root, reflect.ValueOf(into).Elem(), "", "")
	into.check(positions{d: &d}, &found)
	found.Sort()
	return found.Err()
}

// syntaxPosition matches the position that hujson puts into its error text.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxFinding(file string, err error) finding.Finding {
	m := syntaxPosition.FindStringSubmatch(err.Error())
	if m == nil {
		return finding.Finding{File: file, Message: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return finding.Finding{File: file, Line: line, Column: column, Message: m[3]}
}

// positions locates fields for findings about several fields.
type positions struct {
	d *decoder
}

// present reports whether the file contains the field.
func (p positions) present(field string) bool {
	_, ok := p.d.offsets[field]
	return ok
}

// add reports a finding at the position of the field, or at the start of the file's
// object when the field is absent.
func (p positions) add(found *finding.List, field, message string) {
	found.Add(p.d.finding(p.d.offsets[field], field, message))
}

// position converts a byte offset to a line and a column, both counted from 1.
func position(src []byte, offset int) (line, column int) {
	before := src[:min(offset, len(src))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
