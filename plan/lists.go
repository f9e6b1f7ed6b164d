package plan

import "net/netip"

// Names of the two lists in findings, differences and commands.
const (
	CustomersList = "customers"
	PlansList     = "plans"
)

// Customer is one entry of the list of customers.
type Customer struct {
	Name    string         `json:"name"`
	Plan    string         `json:"plan"`
	Sources []netip.Prefix `json:"sources"`
	// Account identifies the customer to the daemons. It is the name that the entry had
	// first, so that a rename keeps the tokens that its connections hold.
	Account string `json:"account"`
}

// ID returns the hash of the customer's account.
func (c *Customer) ID() uint64 { return CustomerID(c.Account) }

// Limits are what a plan allows at one service.
type Limits struct {
	Connections             int     `json:"connections"` // concurrent
	NewConnectionsPerSecond int     `json:"new_connections_per_second"`
	Requests                int     `json:"requests"`         // concurrent
	GuaranteedShare         float64 `json:"guaranteed_share"` // of the service's capacity, 0 to 1
}

// Plan is one entry of the list of plans. A service that it does not name is not
// allowed.
type Plan struct {
	Name     string            `json:"name"`
	Weight   float64           `json:"weight"` // share of the capacity beyond the guarantees
	Services map[string]Limits `json:"services"`
}

// Lists are both lists of one revision. They are not modified once decoded.
type Lists struct {
	Customers   []Customer
	DefaultPlan string // for sources that belong to no customer; "" refuses them
	Plans       []Plan
}

// Documents are both lists as the text that operators write.
type Documents struct {
	Customers []byte
	Plans     []byte
}

// EmptyDocuments are the lists before the first edit.
func EmptyDocuments() Documents {
	return Documents{
		Customers: []byte("{\"customers\": []}\n"),
		Plans:     []byte("{\"default_plan\": \"\", \"plans\": []}\n"),
	}
}

// defaultWeight is the weight of a plan that states none.
const defaultWeight = 1
