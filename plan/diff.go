package plan

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// ChangeKind is the kind of a change to an entry.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// FieldChange is one field that differs. Old or New is empty where the field is missing.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Change is one entry that differs between two revisions.
type Change struct {
	List   string        `json:"list"` // CustomersList or PlansList
	Name   string        `json:"name"` // name of the entry; "" for fields of the list itself
	Kind   ChangeKind    `json:"kind"`
	Fields []FieldChange `json:"fields"`
}

// String formats the change in one line for operators.
func (c Change) String() string {
	signs := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = fieldText(c.Kind, f)
	}
	name := ""
	if c.Name != "" {
		name = fmt.Sprintf(" %q", c.Name)
	}
	return fmt.Sprintf("%s %s%s: %s", signs[c.Kind], c.List, name, strings.Join(fields, ", "))
}

func fieldText(kind ChangeKind, f FieldChange) string {
	switch kind {
	case Added:
		return f.Field + " " + f.New
	case Removed:
		return f.Field + " " + f.Old
	}
	return fmt.Sprintf("%s %s -> %s", f.Field, valueOrNone(f.Old), valueOrNone(f.New))
}

func valueOrNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Diff returns the entries that differ: customers before plans, each list sorted by
// name. It ignores comments, order and layout.
func Diff(before, after *Lists) []Change {
	changes := diffEntries(CustomersList, customerFields(before), customerFields(after))
	defaults := func(l *Lists) fieldsByName { return fieldsByName{"": {"default_plan": l.DefaultPlan}} }
	changes = append(changes, diffEntries(PlansList, defaults(before), defaults(after))...)
	return append(changes, diffEntries(PlansList, planFields(before), planFields(after))...)
}

// fieldsByName maps the name of an entry to its fields, formatted as text.
type fieldsByName map[string]map[string]string

func customerFields(l *Lists) fieldsByName {
	out := fieldsByName{}
	for _, c := range l.Customers {
		out[c.Name] = map[string]string{"plan": c.Plan, "sources": SourcesText(c.Sources)}
		if c.Account != c.Name {
			out[c.Name]["account"] = c.Account
		}
	}
	return out
}

// SourcesText formats the prefixes as one text that is independent of their order.
func SourcesText(sources []netip.Prefix) string {
	texts := make([]string, len(sources))
	for i, p := range sources {
		texts[i] = p.String()
	}
	slices.Sort(texts)
	return strings.Join(texts, " ")
}

func planFields(l *Lists) fieldsByName {
	out := fieldsByName{}
	for _, p := range l.Plans {
		fields := map[string]string{"weight": fmt.Sprint(p.Weight)}
		for service, limits := range p.Services {
			prefix := "services." + service + "."
			fields[prefix+"connections"] = fmt.Sprint(limits.Connections)
			fields[prefix+"new_connections_per_second"] = fmt.Sprint(limits.NewConnectionsPerSecond)
			fields[prefix+"requests"] = fmt.Sprint(limits.Requests)
			fields[prefix+"guaranteed_share"] = fmt.Sprint(limits.GuaranteedShare)
		}
		out[p.Name] = fields
	}
	return out
}

func diffEntries(list string, before, after fieldsByName) []Change {
	var changes []Change
	for _, name := range unionKeys(before, after) {
		oldFields, existed := before[name]
		newFields, exists := after[name]
		change := Change{List: list, Name: name, Kind: Changed, Fields: diffFields(oldFields, newFields)}
		switch {
		case !existed:
			change.Kind = Added
		case !exists:
			change.Kind = Removed
		case len(change.Fields) == 0:
			continue
		}
		changes = append(changes, change)
	}
	return changes
}

func diffFields(before, after map[string]string) []FieldChange {
	var fields []FieldChange
	for _, field := range unionKeys(before, after) {
		if before[field] != after[field] {
			fields = append(fields, FieldChange{Field: field, Old: before[field], New: after[field]})
		}
	}
	return fields
}

func unionKeys[V any](a, b map[string]V) []string {
	union := maps.Clone(a)
	if union == nil {
		union = map[string]V{}
	}
	maps.Copy(union, b)
	return slices.Sorted(maps.Keys(union))
}
