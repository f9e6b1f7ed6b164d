package flow

// Reason is the reason why a packet was dropped or answered with a reset.
type Reason uint8

const (
	// ReasonNone: the packet was neither dropped nor answered with a reset.
	ReasonNone Reason = iota
	// ReasonNoService: the destination address belongs to no service.
	ReasonNoService
	// ReasonNoUpstream: no upstream of the service can accept the packet.
	ReasonNoUpstream
	// ReasonWrongService: the packet was sent to an agent of another service.
	ReasonWrongService
	// ReasonNoOwner: no agent on the packet's path owns the flow.
	ReasonNoOwner
	// ReasonBadPath: the header lists this agent as visited, or its list of visited agents
	// contradicts its hop count.
	ReasonBadPath
	// ReasonRefused: the flow was not admitted, or it waited too long or could not wait.
	ReasonRefused
	// ReasonWaiting: an earlier packet of the flow waits for a decision, or the upstream may
	// still return it.
	ReasonWaiting
	// ReasonNoCustomer: the source belongs to no customer, and there is no default plan.
	ReasonNoCustomer
	// ReasonNoLists: the balancer has not yet received the lists of customers.
	ReasonNoLists
	// ReasonFlowLost: the upstream that held the flow has ended or restarted.
	ReasonFlowLost
	// ReasonNoRoutes: the balancer has received no routes yet, so it places no new flows.
	ReasonNoRoutes
	// ReasonEvacuated: each upstream of the service that could accept the flow is in a failure domain that
	// operators have ordered to be evacuated. In a Forward action: this agent's own upstream is in one.
	ReasonEvacuated
	// ReasonCold: the upstream is cold, and the limit of its requests left no room for the flow.
	ReasonCold
	// ReasonLateCopy: the packet is a copy of the SYN of a flow that has been open for seconds or has ended.
	ReasonLateCopy

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "no_service", "no_upstream", "wrong_service", "no_owner", "bad_path",
	"refused", "waiting", "no_customer", "no_lists", "flow_lost", "no_routes",
	"evacuated", "cold", "late_copy",
}

// String returns the reason's name in metrics.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}
