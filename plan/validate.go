package plan

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"github.com/gaissmai/bart"

	"github.com/nutmegtrack/nutmegtrack/finding"
)

// maxName is the maximum length in bytes of the names of customers, plans and services.
const maxName = 128

// maxWeight is the maximum weight of a plan. It preserves the precision of shares that are
// computed from weights.
const maxWeight = 1_000_000

// shareTolerance allows for rounding in sums of shares such as 0.1 + 0.2 + 0.7.
const shareTolerance = 1e-9

// Capacity is the total capacity of a service's upstreams. A zero field is not checked.
type Capacity struct {
	Connections int `json:"connections"`
	Requests    int `json:"requests"`
}

// Capacities maps the names of all services to their capacities. Nil skips the checks
// against capacities: a process that installs lists must not reject accepted lists only
// because the fleet has become smaller since.
type Capacities map[string]Capacity

// Files holds the file names of the documents for findings.
type Files struct{ Customers, Plans string }

// DefaultFiles holds the names for lists that were read from the store or a peer.
var DefaultFiles = Files{Customers: CustomersList, Plans: PlansList}

// Parse decodes and validates both lists. It returns all findings sorted by position; the
// lists are nil if there are any findings.
func Parse(docs Documents, files Files, capacities Capacities) (*Lists, finding.List) {
	var findings finding.List
	customersText, okCustomers := parseListText(files.Customers, docs.Customers, &findings)
	plansText, okPlans := parseListText(files.Plans, docs.Plans, &findings)
	var v validator
	if okCustomers {
		v.customers = decodeCustomers(customersText)
	}
	if okPlans {
		v.plans = decodePlans(plansText)
	}
	v.capacities = capacities
	v.checkPlans()
	v.checkCustomers(okPlans)
	if len(findings) > 0 {
		findings.Sort()
		return nil, findings
	}
	return &Lists{Customers: v.customers.list, DefaultPlan: v.plans.defaultPlan, Plans: v.plans.list}, nil
}

// validator checks both lists together.
type validator struct {
	customers  decodedCustomers
	plans      decodedPlans
	capacities Capacities
}

func (v *validator) checkPlans() {
	names := map[string]node{}
	for i, p := range v.plans.list {
		n := v.plans.nodes[i]
		checkName(n, p.Name, names)
		if !(p.Weight > 0 && p.Weight <= maxWeight) {
			n.reportField("weight", "must be above 0 and at most %d", maxWeight)
		}
		for _, service := range slices.Sorted(maps.Keys(p.Services)) {
			v.checkLimits(n.child("services").child(service), service, p.Services[service])
		}
	}
	if _, exists := names[v.plans.defaultPlan]; v.plans.defaultPlan != "" && !exists {
		v.plans.root.reportField("default_plan", "there is no plan %q", v.plans.defaultPlan)
	}
	v.checkShares()
}

// checkName checks that a name is well-formed and that no earlier entry has it.
func checkName(n node, name string, seen map[string]node) {
	if problem := nameProblem(name); problem != "" {
		n.reportField("name", "%s", problem)
		return
	}
	if first, ok := seen[name]; ok {
		n.reportField("name", "%q is also the name of the entry in line %d", name, first.child("name").line())
		return
	}
	seen[name] = n
}

// checkAccount checks that the account is well-formed and that no earlier entry has it. An
// entry without one has its name as the account. checkName checks such an account, and
// reports it if an earlier entry has the same name.
func checkAccount(n node, c *Customer, seen map[string]node) {
	if c.Name == "" {
		return
	}
	first, taken := seen[c.Account]
	seen[c.Account] = n
	switch {
	case c.Account == c.Name && !taken:
	case taken && c.Account == c.Name && first.child("name").string() == c.Name:
	case taken:
		n.reportField("account", "%q is also the account of the entry in line %d; give one of them another", c.Account, first.child("name").line())
	case nameProblem(c.Account) != "":
		n.reportField("account", "%s", nameProblem(c.Account))
	}
}

func nameProblem(name string) string {
	switch {
	case name == "":
		return "must not be empty"
	case len(name) > maxName:
		return "is longer than 128 bytes"
	case strings.TrimSpace(name) != name:
		return "must not start or end with a space"
	case strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) }):
		return "contains a character that cannot be printed"
	}
	return ""
}

func (v *validator) checkLimits(n node, service string, l Limits) {
	if problem := nameProblem(service); problem != "" {
		n.report("the name of the service %s", problem)
	}
	if !(l.GuaranteedShare >= 0 && l.GuaranteedShare <= 1) {
		n.reportField("guaranteed_share", "must be from 0 to 1")
	}
	if v.capacities == nil {
		return
	}
	capacity, known := v.capacities[service]
	if !known {
		n.report("there is no service %q", service)
		return
	}
	if capacity.Connections > 0 && l.Connections > capacity.Connections {
		n.reportField("connections", "%d is above the service's capacity of %d", l.Connections, capacity.Connections)
	}
	if capacity.Requests > 0 && l.Requests > capacity.Requests {
		n.reportField("requests", "%d is above the service's capacity of %d", l.Requests, capacity.Requests)
	}
}

// checkShares reports the plan whose guaranteed share raises the sum of a service above 1.
func (v *validator) checkShares() {
	sums := map[string]float64{}
	for i, p := range v.plans.list {
		for service, l := range p.Services {
			before := sums[service]
			sums[service] += l.GuaranteedShare
			if before <= 1+shareTolerance && sums[service] > 1+shareTolerance {
				n := v.plans.nodes[i].child("services").child(service)
				n.reportField("guaranteed_share", "the guaranteed shares of %q add up to more than 1", service)
			}
		}
	}
}

func (v *validator) checkCustomers(plansKnown bool) {
	plans := map[string]bool{}
	for _, p := range v.plans.list {
		plans[p.Name] = true
	}
	names := make(map[string]node, len(v.customers.list))
	accounts := make(map[string]node, len(v.customers.list))
	for i, c := range v.customers.list {
		n := v.customers.nodes[i]
		checkName(n, c.Name, names)
		checkAccount(n, &c, accounts)
		if plansKnown && !plans[c.Plan] {
			n.reportField("plan", "there is no plan %q", c.Plan)
		}
		if len(c.Sources) == 0 {
			n.reportField("sources", "must name at least one prefix")
		}
	}
	v.checkOverlaps()
}

// checkOverlaps reports source prefixes that overlap or are equal. The finding is at the
// longer prefix, or at the later one of equal prefixes.
func (v *validator) checkOverlaps() {
	var table bart.Table[node]
	v.eachSource(func(p netip.Prefix, at node) {
		if first, ok := table.Get(p); ok {
			at.report("%s is also in line %d", p, first.line())
			return
		}
		table.Insert(p, at)
	})
	v.eachSource(func(p netip.Prefix, at node) {
		for wider, first := range table.Supernets(p) {
			if wider != p {
				at.report("%s overlaps %s in line %d", p, wider, first.line())
				return
			}
		}
	})
}

// eachSource calls visit for each source prefix that was decoded successfully.
func (v *validator) eachSource(visit func(netip.Prefix, node)) {
	for i, c := range v.customers.list {
		elements := v.customers.nodes[i].child("sources").elements()
		for j, p := range c.Sources {
			if p.IsValid() {
				visit(p, node{v.customers.nodes[i].d, &elements[j]})
			}
		}
	}
}
