package standin

import "github.com/cockroachdb/errors"

// Fault is a fault to inject in an upstream. Injected faults prove that the checks of
// the clients and of the demo can fail.
type Fault string

// The faults of an upstream.
const (
	FaultNone Fault = ""
	// FaultForget discards the state of a flow after faultInterval requests.
	FaultForget Fault = "forget-flows"
	// FaultAdopt creates a new state for a data segment of an unknown flow instead of
	// sending a reset, and discards states like FaultForget.
	FaultAdopt Fault = "adopt-flows"
	// FaultAnyAddress answers packets that are addressed to other services.
	FaultAnyAddress Fault = "any-address"
	// FaultRunTwice runs requests a second time once the flow has had faultInterval
	// requests.
	FaultRunTwice Fault = "run-twice"
	// FaultCross answers requests with the previous response of the upstream, usually
	// to another flow, once the flow has had faultInterval requests.
	FaultCross Fault = "cross-responses"
	// FaultSilent neither runs nor answers requests of a flow after faultInterval
	// requests.
	FaultSilent Fault = "silent"
	// FaultForeign treats every packet as addressed to another service.
	FaultForeign Fault = "foreign-address"
)

var faults = []Fault{
	FaultNone, FaultForget, FaultAdopt, FaultAnyAddress, FaultRunTwice, FaultCross, FaultSilent, FaultForeign,
}

// faultInterval is the number of requests of a flow after which faults are injected.
const faultInterval = 5

// ParseFault returns the fault with the given name, or an error if the name is
// unknown.
func ParseFault(name string) (Fault, error) {
	for _, f := range faults {
		if string(f) == name {
			return f, nil
		}
	}
	return FaultNone, errors.Newf("unknown fault %q", name)
}
