package plan

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/nutmegtrack/nutmegtrack/internal/jwcc"
)

// Text is the text of a list that can be edited entry by entry. The comments and layout of
// all other entries are preserved.
type Text struct {
	list string
	root hujson.Value
}

// ErrNoEntry is returned if the list has no entry with the given name, or the entry does
// not have the given field.
var ErrNoEntry = errors.New("no such entry or field")

// NewText parses a list; list is CustomersList or PlansList.
func NewText(list string, text []byte) (*Text, error) {
	root, err := jwcc.Parse(text)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", list)
	}
	t := &Text{list: list, root: root}
	if t.entries() == nil {
		return nil, errors.Newf("%s: the field %q is missing or not an array", list, list)
	}
	return t, nil
}

// Bytes returns the text.
func (t *Text) Bytes() []byte { return t.root.Pack() }

// SetRoot sets a field of the list itself.
func (t *Text) SetRoot(field string, value any) error { return setField(&t.root, field, value) }

// Set sets the field at the path in the named entry. It adds the entry if it is missing,
// and the objects on a path such as "services", "impact-portal".
func (t *Text) Set(name string, value any, path ...string) error {
	at, _ := t.find(name)
	if at == nil {
		at = t.add(name)
	}
	for _, field := range path[:len(path)-1] {
		at = objectField(at, field)
	}
	return setField(at, path[len(path)-1], value)
}

// Has reports whether the list has an entry with the name.
func (t *Text) Has(name string) bool {
	at, _ := t.find(name)
	return at != nil
}

// HasField reports whether the named entry has the field.
func (t *Text) HasField(name, field string) bool {
	at, _ := t.find(name)
	return at != nil && member(at, field) != nil
}

// Remove removes the named entry and keeps the comments around it. It returns ErrNoEntry if
// there is no such entry.
func (t *Text) Remove(name string) error {
	_, i := t.find(name)
	if i < 0 {
		return errors.Wrapf(ErrNoEntry, "%s %q", t.list, name)
	}
	array := t.entries()
	removed := array.Elements[i]
	kept := withComments(removed.BeforeExtra, removed.AfterExtra)
	if i+1 < len(array.Elements) {
		next := &array.Elements[i+1]
		next.BeforeExtra = append(kept, next.BeforeExtra...)
	} else {
		array.AfterExtra = append(kept, array.AfterExtra...)
	}
	array.Elements = append(array.Elements[:i], array.Elements[i+1:]...)
	return nil
}

// RemoveField removes the field at the path in the named entry, or returns ErrNoEntry.
func (t *Text) RemoveField(name string, path ...string) error {
	at, _ := t.find(name)
	for _, field := range path[:len(path)-1] {
		if at != nil {
			at = member(at, field)
		}
	}
	last := path[len(path)-1]
	if at == nil || member(at, last) == nil {
		return errors.Wrapf(ErrNoEntry, "%s %q, %q", t.list, name, last)
	}
	object := at.Value.(*hujson.Object)
	for i := range object.Members {
		if literalIs(&object.Members[i].Name, last) {
			object.Members = append(object.Members[:i], object.Members[i+1:]...)
			break
		}
	}
	return nil
}

// withComments returns, concatenated, the extras that contain a comment.
func withComments(extras ...hujson.Extra) hujson.Extra {
	var kept hujson.Extra
	for _, extra := range extras {
		if !extra.IsStandard() {
			kept = append(kept, extra...)
		}
	}
	return kept
}

func (t *Text) entries() *hujson.Array {
	at := member(&t.root, t.list)
	if at == nil {
		return nil
	}
	array, _ := at.Value.(*hujson.Array)
	return array
}

func (t *Text) find(name string) (*hujson.Value, int) {
	array := t.entries()
	for i := range array.Elements {
		at := member(&array.Elements[i], "name")
		if at != nil && literalIs(at, name) {
			return &array.Elements[i], i
		}
	}
	return nil, -1
}

// add appends an entry on its own line. Comments after the last entry stay in front of the
// new one.
func (t *Text) add(name string) *hujson.Value {
	array := t.entries()
	entry := hujson.Value{
		BeforeExtra: append(withComments(array.AfterExtra), "\n    "...),
		Value:       &hujson.Object{},
	}
	if n := len(array.Elements); n > 0 && array.Elements[n-1].AfterExtra != nil {
		entry.AfterExtra = hujson.Extra{} // non-nil, so that the trailing comma is kept
	}
	array.AfterExtra = hujson.Extra("\n  ")
	array.Elements = append(array.Elements, entry)
	added := &array.Elements[len(array.Elements)-1]
	_ = setField(added, "name", name) // cannot fail: the entry is an object, and a string can be encoded
	return added
}

// member returns the value of an object's field, or nil.
func member(v *hujson.Value, field string) *hujson.Value {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := range object.Members {
		if literalIs(&object.Members[i].Name, field) {
			return &object.Members[i].Value
		}
	}
	return nil
}

// objectField returns the value of a field. It adds an empty object if the field is missing, and
// returns v itself if v is not an object.
func objectField(v *hujson.Value, field string) *hujson.Value {
	if member(v, field) == nil {
		_ = setField(v, field, struct{}{}) // fails only if v is not an object
	}
	if at := member(v, field); at != nil {
		return at
	}
	return v
}

func setField(v *hujson.Value, field string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	parsed, err := hujson.Parse(encoded)
	if err != nil {
		return err
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return errors.Newf("field %q: its parent is not an object", field)
	}
	if at := member(v, field); at != nil {
		at.Value = parsed.Value
		return nil
	}
	m := hujson.ObjectMember{Name: hujson.Value{Value: hujson.String(field)}}
	m.Value = hujson.Value{BeforeExtra: hujson.Extra(" "), Value: parsed.Value}
	if len(object.Members) > 0 {
		m.Name.BeforeExtra = hujson.Extra(" ")
	}
	object.Members = append(object.Members, m)
	return nil
}
