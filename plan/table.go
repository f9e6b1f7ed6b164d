package plan

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// Table finds the customer and the plan of a source address. It is built once for
// each revision and safe for concurrent reads.
type Table struct {
	sources     bart.Table[Match]
	defaultPlan *Plan
}

// Match is what a source address belongs to. Customer is nil for a source that
// only the default plan covers.
type Match struct {
	Customer *Customer
	Plan     *Plan
}

// NewTable returns the table of validated lists.
func NewTable(l *Lists) *Table {
	t := &Table{}
	plans := map[string]*Plan{}
	for i := range l.Plans {
		plans[l.Plans[i].Name] = &l.Plans[i]
	}
	t.defaultPlan = plans[l.DefaultPlan]
	for i := range l.Customers {
		c := &l.Customers[i]
		for _, p := range c.Sources {
			t.sources.Insert(p, Match{Customer: c, Plan: plans[c.Plan]})
		}
	}
	return t
}

// Lookup returns what the address belongs to by the longest matching prefix, and
// false when it must be refused. IPv4-mapped addresses are looked up as IPv4. It
// does not allocate.
func (t *Table) Lookup(source netip.Addr) (Match, bool) {
	if m, ok := t.sources.Lookup(source.Unmap().WithZone("")); ok {
		return m, true
	}
	return Match{Plan: t.defaultPlan}, t.defaultPlan != nil
}
