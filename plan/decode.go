package plan

import (
	"math"
	"net/netip"
	"strconv"

	"github.com/tailscale/hujson"
)

// node is a value in a parsedText. Its path and position are computed only for findings,
// because most lists have none.
type node struct {
	d     *parsedText
	value *hujson.Value
}

func (n node) report(format string, args ...any) {
	if !n.d.full() {
		n.d.report(n.value, n.d.path(n.value.StartOffset), format, args...)
	}
}

// members calls visit for the members of an object in order. It reports repeated members,
// and those for which visit returns false as unknown.
func (n node) members(visit func(name string, member node) bool) {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.report("must be an object")
		return
	}
	var seen map[string]bool
	if len(object.Members) > maxScanned {
		seen = make(map[string]bool, len(object.Members))
	}
	for i := range object.Members {
		m := &object.Members[i]
		name := literalString(&m.Name)
		key := node{n.d, &m.Name}
		switch {
		case seen[name] || seen == nil && repeated(object.Members[:i], name):
			n.d.report(&m.Name, n.d.path(m.Name.StartOffset)+" (repeated)", "the field is given twice")
		case !visit(name, node{n.d, &m.Value}):
			key.report("unknown field")
		}
		if seen != nil {
			seen[name] = true
		}
	}
}

// maxScanned is the number of members up to which an object is scanned for repeated ones. A map
// for each of 10,000 customers would cost more.
const maxScanned = 16

func repeated(before []hujson.ObjectMember, name string) bool {
	for i := range before {
		if literalIs(&before[i].Name, name) {
			return true
		}
	}
	return false
}

func (n node) array(element func(e node)) {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.report("must be an array")
		return
	}
	for i := range array.Elements {
		element(node{n.d, &array.Elements[i]})
	}
}

func (n node) string() string {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		n.report("must be a string")
		return ""
	}
	return literalString(n.value)
}

// count decodes an integer from 0 to math.MaxInt32, a limit that keeps sums over all plans
// from overflowing.
func (n node) count() int {
	literal, _ := n.value.Value.(hujson.Literal)
	v, err := strconv.ParseUint(string(literal), 10, 31)
	if err != nil {
		n.report("must be a whole number from 0 to %d", math.MaxInt32)
	}
	return int(v)
}

func (n node) number() float64 {
	literal, _ := n.value.Value.(hujson.Literal)
	v, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || literal.Kind() != '0' {
		n.report("must be a number")
		return 0
	}
	return v
}

func (n node) prefix() netip.Prefix {
	text := n.string()
	p, err := netip.ParsePrefix(text)
	switch {
	case err != nil:
		n.report("%q is not a prefix such as 10.0.0.0/16 or 2001:db8::/32", text)
	case p.Addr().Is4In6():
		n.report("%s is an IPv4-mapped prefix; write it as IPv4", text)
	case p != p.Masked():
		n.report("%s has bits set after the prefix; write %s", text, p.Masked())
	default:
		return p
	}
	return netip.Prefix{}
}

// require reports the members that are missing.
func (n node) require(names ...string) {
	for _, name := range names {
		if member(n.value, name) == nil {
			n.reportField(name, "the field is missing")
		}
	}
}

// reportField reports a finding about a field of the object, at the position of the field,
// or of the object if the field is missing.
func (n node) reportField(name, format string, args ...any) {
	if n.d.full() {
		return
	}
	at := n.value
	if value := member(n.value, name); value != nil {
		at = value
	}
	n.d.report(at, join(n.d.path(n.value.StartOffset), name), format, args...)
}

// child returns a field of the object. If the field is missing it returns the object itself,
// so that a finding always has a position.
func (n node) child(name string) node {
	if value := member(n.value, name); value != nil {
		return node{n.d, value}
	}
	return n
}

// elements returns the elements of an array, or nil for another type.
func (n node) elements() []hujson.Value {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		return nil
	}
	return array.Elements
}
