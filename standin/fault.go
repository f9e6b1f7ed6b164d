package standin

import "github.com/cockroachdb/errors"

// UpstreamFault is a fault to inject in an upstream. Injected faults prove that the checks
// of the clients and of the demo can fail.
type UpstreamFault string

// The faults of an upstream.
const (
	FaultNone UpstreamFault = ""
	// FaultForget discards the state of a flow after faultThreshold requests.
	FaultForget UpstreamFault = "forget-flows"
	// FaultAdopt creates a new state for a data segment of an unknown flow instead of
	// sending a reset, and discards states like FaultForget.
	FaultAdopt UpstreamFault = "adopt-flows"
	// FaultAnyAddress answers packets that are addressed to other services instead of
	// dropping them.
	FaultAnyAddress UpstreamFault = "any-address"
	// FaultRunTwice runs the requests of a flow twice, from request faultThreshold on.
	FaultRunTwice UpstreamFault = "run-twice"
	// FaultCross answers the requests of a flow, from request faultThreshold on, with the
	// upstream's previous response, which is usually one to another flow.
	FaultCross UpstreamFault = "cross-responses"
	// FaultSilent neither runs nor answers requests of a flow after faultThreshold
	// requests.
	FaultSilent UpstreamFault = "silent"
	// FaultForeign counts every packet as addressed to another service and drops it.
	FaultForeign UpstreamFault = "foreign-address"
)

var upstreamFaults = []UpstreamFault{
	FaultNone, FaultForget, FaultAdopt, FaultAnyAddress, FaultRunTwice, FaultCross, FaultSilent, FaultForeign,
}

// faultThreshold is the number of requests of a flow from which on faults are injected.
// FaultSilent affects the requests after that number, the other faults also the request
// with that number.
const faultThreshold = 5

// ParseFault returns the fault with the given name, or an error if the name is
// unknown.
func ParseFault(name string) (UpstreamFault, error) {
	for _, f := range upstreamFaults {
		if string(f) == name {
			return f, nil
		}
	}
	return FaultNone, errors.Newf("unknown fault %q", name)
}
