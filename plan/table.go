package plan

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"
)

// DefaultCustomer is the common ID of all sources to which the default plan applies. No
// customer has this ID, because an account is never empty.
var DefaultCustomer = CustomerID("")

// CustomerID returns the hash of an account, which identifies a customer in packets. It is
// never 0, which means no customer.
func CustomerID(account string) uint64 { return max(1, xxhash.Sum64String(account)) }

// Table maps source addresses to customers and plans. It is built once for each revision
// and is safe for concurrent reads.
type Table struct {
	sources     bart.Table[Match]
	defaultPlan *Plan
}

// Match is the result of a lookup. Customer is nil for a source to which the default plan
// applies.
type Match struct {
	ID       uint64 // ID of Customer, or DefaultCustomer; 0 if the source is refused
	Customer *Customer
	Plan     *Plan
}

// NewTable returns the table for lists that have been validated.
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

// Lookup returns the match of the longest prefix that contains the address, or the default
// plan. It returns false if the source must be refused. IPv4-mapped addresses are looked
// up as IPv4. It does not allocate.
func (t *Table) Lookup(source netip.Addr) (Match, bool) {
	if m, ok := t.sources.Lookup(source.Unmap().WithZone("")); ok {
		return m, true
	}
	if t.defaultPlan == nil {
		return Match{}, false
	}
	return Match{ID: DefaultCustomer, Plan: t.defaultPlan}, true
}
