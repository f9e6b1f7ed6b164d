package settings

import (
	"bytes"
	"os"
	"reflect"
	"regexp"
	"strconv"

	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/internal/jwcc"
)

// checker is implemented by settings structs to check fields that depend on each other.
type checker interface {
	check(in fileFields, found *finding.List)
}

func load(path string, into checker) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return finding.List{{File: path, Message: err.Error()}}
	}
	return parse(path, withOverrides(src), into)
}

// parse decodes src into a settings struct and returns all findings, or nil.
func parse(file string, src []byte, into checker) error {
	var found finding.List
	root, err := jwcc.Parse(src)
	if err != nil {
		found.Add(syntaxFinding(file, err))
		return found
	}
	d := decoder{file: file, src: src, found: &found, offsets: map[string]int{"": root.StartOffset}}
	d.value(&root, reflect.ValueOf(into).Elem(), "", "")
	into.check(fileFields{d: &d}, &found)
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

// fileFields gives the checks that involve several fields access to the presence and the
// positions of the fields in the settings file.
type fileFields struct {
	d *decoder
}

// present reports whether the file contains the field.
func (f fileFields) present(field string) bool {
	_, ok := f.d.offsets[field]
	return ok
}

// addFinding reports a finding at the position of the field, or at the start of the file's
// object when the field is absent.
func (f fileFields) addFinding(found *finding.List, field, message string) {
	found.Add(f.d.finding(f.d.offsets[field], field, message))
}

// position converts a byte offset to a line and a column, both counted from 1.
func position(src []byte, offset int) (line, column int) {
	before := src[:min(offset, len(src))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
