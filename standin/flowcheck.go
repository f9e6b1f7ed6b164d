package standin

// Verdict says whether a response is the one that a flow waits for.
type Verdict uint8

const (
	// Expected responses answer the flow's latest request.
	Expected Verdict = iota
	// Late responses answer an earlier request of the flow and are ignored.
	Late
	// WrongService responses come from another service.
	WrongService
	// WrongFlow responses answer a request of another flow.
	WrongFlow
	// WrongNumber responses answer a request that the flow has not sent.
	WrongNumber
	// OtherState responses come from another state than the flow's earlier
	// responses: another upstream, or one that lost the flow.
	OtherState
)

// identity is what a flow knows of the state behind it.
type identity struct {
	request  Request // latest request
	upstream string  // empty before the first response
	state    uint64
}

// check compares a response with the flow's latest request and with the state
// that answered earlier.
func (id *identity) check(r Response) Verdict {
	switch {
	case r.Service != id.request.Service:
		return WrongService
	case r.Flow != id.request.Flow:
		return WrongFlow
	case r.Number > id.request.Number || r.Number == 0:
		return WrongNumber
	case id.upstream != "" && (r.Upstream != id.upstream || r.State != id.state):
		return OtherState
	case r.Number < id.request.Number:
		return Late
	}
	return Expected
}

// Reason says why a flow is broken.
type Reason string

// The reasons for which a flow is broken.
const (
	ReasonReset       Reason = "reset"
	ReasonOtherState  Reason = "other_state"
	ReasonSilent      Reason = "silent"
	ReasonSilentOpen  Reason = "silent_open"
	ReasonService     Reason = "wrong_service"
	ReasonMismatch    Reason = "mismatch"
	ReasonUnreadable  Reason = "unreadable"
	ReasonOutOfStream Reason = "out_of_stream"
)

var verdictReasons = map[Verdict]Reason{
	WrongService: ReasonService,
	WrongFlow:    ReasonMismatch,
	WrongNumber:  ReasonMismatch,
	OtherState:   ReasonOtherState,
}
