package flow

// Reason says why a packet was dropped.
type Reason uint8

const (
	// ReasonNone is set on packets that are not dropped.
	ReasonNone Reason = iota
	// ReasonNoService: no service has the destination address.
	ReasonNoService
	// ReasonNoUpstream: no upstream of the service can take the packet.
	ReasonNoUpstream
	// ReasonWrongService: the packet was sent to an agent of another service.
	ReasonWrongService
	// ReasonNoOwner: no agent on the packet's path holds its flow.
	ReasonNoOwner
	// ReasonBadPath: the header names this agent as visited, or its list of
	// visited agents and its hop count contradict each other.
	ReasonBadPath
	// ReasonRefused: the customer's plan does not admit the flow.
	ReasonRefused
	// ReasonWaiting: the flow's first packet is kept until its admission is decided.
	ReasonWaiting
	// ReasonNoCustomer: the source belongs to no customer and there is no default
	// plan.
	ReasonNoCustomer
	// ReasonNoLists: the balancer has no lists yet, so it knows no customers.
	ReasonNoLists
	// ReasonFlowLost: the upstream that held the flow has ended or started anew.
	ReasonFlowLost
	// ReasonNoRoutes: the balancer has no routes yet, so it places no new flows.
	ReasonNoRoutes

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "no_service", "no_upstream", "wrong_service", "no_owner", "bad_path",
	"refused", "waiting", "no_customer", "no_lists", "flow_lost", "no_routes",
}

// String returns the reason's name as metrics use it.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}
