package plan

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"
)

// DefaultCustomer identifies all sources together that only the default plan
// covers. No customer has it, because the name of a customer is not empty.
var DefaultCustomer = CustomerID("")

// CustomerID returns the hash of an account, which identifies a customer in packets. It is
// never 0, which stands for no customer.
func CustomerID(account string) uint64 { return max(1, xxhash.Sum64String(account)) }

// Table finds the customer and the plan of a source address. It is built once for
// each revision and safe for concurrent reads.
type Table struct {
	sources     bart.Table[Match]
	defaultPlan *Plan
}

// Match is what a source address belongs to. Customer is nil for a source that
// only the default plan covers.
type Match struct {
	ID       uint64 // of Customer, or DefaultCustomer; 0 when refused
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
			t.sources.Insert(p, Match{ID: c.ID(), Customer: c, Plan: plans[c.Plan]})
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
	if t.defaultPlan == nil {
		return Match{}, false
	}
	return Match{ID: DefaultCustomer, Plan: t.defaultPlan}, true
}
