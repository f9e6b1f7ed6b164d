package standin

import "github.com/cockroachdb/errors"

// Fault is a fault to inject in an upstream. Injected faults prove that the checks of
// the clients and of the demo can fail.
type Fault string

// The faults of an upstream.
const (
	FaultNone Fault = ""
	// FaultForget discards the state of a flow after faultThreshold requests.
	FaultForget Fault = "forget-flows"
	// FaultAdopt creates a new state for a data segment of an unknown flow instead of
	// sending a reset, and discards states like FaultForget.
	FaultAdopt Fault = "adopt-flows"
	// FaultAnyAddress answers packets that are addressed to other services instead of
	// dropping them.
	FaultAnyAddress Fault = "any-address"
	// FaultRunTwice runs the requests of a flow twice, from request faultThreshold on.
	FaultRunTwice Fault = "run-twice"
	// FaultCross answers the requests of a flow, from request faultThreshold on, with the
	// upstream's previous response, which is usually one to another flow.
	FaultCross Fault = "cross-responses"
	// FaultSilent neither runs nor answers requests of a flow after faultThreshold
	// requests.
	FaultSilent Fault = "silent"
	// FaultForeign counts every packet as addressed to another service and drops it.
	FaultForeign Fault = "foreign-address"
)

var faults = []Fault{
	FaultNone, FaultForget, FaultAdopt, FaultAnyAddress, FaultRunTwice, FaultCross, FaultSilent, FaultForeign,
}

// faultThreshold is the number of requests of a flow from which on faults are injected.
// FaultSilent affects the requests after that number, the other faults also the request
// with that number.
const faultThreshold = 5

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
