package standin

import "github.com/cockroachdb/errors"

// Fault is a deliberate error of an upstream. Faults prove that the checks of
// clients and of the demo can fail.
type Fault string

// The faults of an upstream.
const (
	FaultNone Fault = ""
	// FaultForget discards the state of a flow after some requests.
	FaultForget Fault = "forget-flows"
	// FaultAdopt creates a new state for a segment of an unknown flow, in place of
	// a reset, and discards states like FaultForget.
	FaultAdopt Fault = "adopt-flows"
	// FaultAnyAddress answers packets for other services' addresses.
	FaultAnyAddress Fault = "any-address"
	// FaultRunTwice runs some requests a second time.
	FaultRunTwice Fault = "run-twice"
	// FaultCross answers some requests with the response to another flow's request.
	FaultCross Fault = "cross-responses"
	// FaultSilent neither runs nor answers anything after some requests of a flow.
	FaultSilent Fault = "silent"
	// FaultForeign takes every packet for one of another service.
	FaultForeign Fault = "foreign-address"
)

var faults = []Fault{
	FaultNone, FaultForget, FaultAdopt, FaultAnyAddress, FaultRunTwice, FaultCross, FaultSilent, FaultForeign,
}

// faultInterval is the number of requests of a flow from which faults occur.
const faultInterval = 5

// ParseFault returns the fault of that name, or an error for an unknown one.
func ParseFault(name string) (Fault, error) {
	for _, f := range faults {
		if string(f) == name {
			return f, nil
		}
	}
	return FaultNone, errors.Newf("unknown fault %q", name)
}
