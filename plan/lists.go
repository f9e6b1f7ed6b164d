package plan

import "net/netip"

// Names of the two lists in findings, diffs and commands.
const (
	CustomersList = "customers"
	PlansList     = "plans"
)

// Customer is one entry of the list of customers.
type Customer struct {
	Name    string         `json:"name"`
	Plan    string         `json:"plan"`
	Sources []netip.Prefix `json:"sources"`
	// Account identifies the customer in the daemons. If the list omits it, it is Name.
	// Package edit writes it into the list when the customer is renamed, so that the
	// customer keeps the tokens that its connections hold.
	Account string `json:"account"`
}

// ID returns the hash of the customer's account.
func (c *Customer) ID() uint64 { return CustomerID(c.Account) }

// Limits are the limits of a plan at one service.
type Limits struct {
	Connections             int     `json:"connections"` // maximum concurrent connections
	NewConnectionsPerSecond int     `json:"new_connections_per_second"`
	Requests                int     `json:"requests"`         // maximum concurrent requests
	GuaranteedShare         float64 `json:"guaranteed_share"` // share of the service's capacity, 0 to 1
}

// Plan is one entry of the list of plans. Its customers may use only the services that
// it names.
type Plan struct {
	Name     string            `json:"name"`
	Weight   float64           `json:"weight"` // weight in sharing the capacity that is not guaranteed
	Services map[string]Limits `json:"services"`
}

// Lists holds both lists of one revision. It is not modified after decoding.
type Lists struct {
	Customers   []Customer
	DefaultPlan string // plan for sources that belong to no customer; "" refuses them
	Plans       []Plan
}

// Documents holds the texts of both lists, as operators write them.
type Documents struct {
	Customers []byte
	Plans     []byte
}

// EmptyDocuments returns the lists before the first edit.
func EmptyDocuments() Documents {
	return Documents{
		Customers: []byte("{\"customers\": []}\n"),
		Plans:     []byte("{\"default_plan\": \"\", \"plans\": []}\n"),
	}
}

// defaultWeight is the weight of a plan whose entry has no weight field.
const defaultWeight = 1
