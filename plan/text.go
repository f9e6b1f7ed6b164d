package plan

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Text is a list as text that is changed entry by entry; comments and layout of
// everything else stay.
type Text struct {
	list string
	root hujson.Value
}

// ErrNoEntry says that the list has no entry of the name.
var ErrNoEntry = errors.New("no such entry")

// NewText parses a list; list is CustomersList or PlansList.
func NewText(list string, text []byte) (*Text, error) {
	root, err := hujson.Parse(text)
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

// Set sets fields of the named entry, which is added when it is missing. A path such
// as "services", "impact-portal" creates the objects on its way.
func (t *Text) Set(name string, value any, path ...string) error {
	at, _ := t.find(name)
	if at == nil {
		at = t.add(name)
	}
	for _, field := range path[:len(path)-1] {
		at = child(at, field)
	}
	return setField(at, path[len(path)-1], value)
}

// Has reports whether the list has the entry.
func (t *Text) Has(name string) bool {
	at, _ := t.find(name)
	return at != nil
}

// HasField reports whether the named entry has the field.
func (t *Text) HasField(name, field string) bool {
	at, _ := t.find(name)
	return at != nil && member(at, field) != nil
}

// Remove removes the named entry, or ErrNoEntry. Comments before it stay.
func (t *Text) Remove(name string) error {
	_, i := t.find(name)
	if i < 0 {
		return errors.Wrapf(ErrNoEntry, "%s %q", t.list, name)
	}
	array := t.entries()
	removed := array.Elements[i]
	kept := comments(removed.BeforeExtra, removed.AfterExtra)
	if i+1 < len(array.Elements) {
		next := &array.Elements[i+1]
		next.BeforeExtra = append(kept, next.BeforeExtra...)
	} else {
		array.AfterExtra = append(kept, array.AfterExtra...)
	}
	array.Elements = append(array.Elements[:i], array.Elements[i+1:]...)
	return nil
}

// RemoveField removes a field of the named entry's object at the path.
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

// comments returns the extras that contain a comment.
func comments(extras ...hujson.Extra) hujson.Extra {
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

// add appends an entry in a line of its own. Comments after the last entry stay
// behind that entry.
func (t *Text) add(name string) *hujson.Value {
	array := t.entries()
	entry := hujson.Value{
		BeforeExtra: append(comments(array.AfterExtra), "\n    "...),
		Value:       &hujson.Object{},
	}
	if n := len(array.Elements); n > 0 && array.Elements[n-1].AfterExtra != nil {
		entry.AfterExtra = hujson.Extra{} // keeps the trailing comma
	}
	array.AfterExtra = hujson.Extra("\n  ")
	array.Elements = append(array.Elements, entry)
	added := &array.Elements[len(array.Elements)-1]
	_ = setField(added, "name", name) // the entry is an object and a string encodes
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

// child returns the object in a field, which is created when it is missing.
func child(v *hujson.Value, field string) *hujson.Value {
	if member(v, field) == nil {
		_ = setField(v, field, struct{}{}) // an empty object encodes
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
