package standin

// Verdict is the result of checking a response against the flow's latest request.
type Verdict uint8

const (
	// VerdictExpected means that the response answers the flow's latest request.
	VerdictExpected Verdict = iota
	// VerdictLate means that the response answers an earlier request of the flow. Such
	// responses are ignored.
	VerdictLate
	// VerdictWrongService means that the response comes from another service.
	VerdictWrongService
	// VerdictWrongFlow means that the response answers a request of another flow.
	VerdictWrongFlow
	// VerdictWrongNumber means that the flow has not sent the request that the response names.
	VerdictWrongNumber
	// VerdictOtherState means that the response comes from a different server state than the
	// flow's earlier ones: from another upstream, or from the same one after it lost its
	// state of the flow.
	VerdictOtherState
)

// exchange is what a flow's responses are checked against: its latest request, and the
// server state that answered its earlier requests.
type exchange struct {
	request  Request // latest request
	upstream string  // empty before the first response
	state    uint64
}

// check compares a response with the flow's latest request and with the server state
// that answered its earlier requests.
func (e *exchange) check(r Response) Verdict {
	switch {
	case r.Service != e.request.Service:
		return VerdictWrongService
	case r.Flow != e.request.Flow:
		return VerdictWrongFlow
	case r.Number > e.request.Number || r.Number == 0:
		return VerdictWrongNumber
	case e.upstream != "" && (r.Upstream != e.upstream || r.State != e.state):
		return VerdictOtherState
	case r.Number < e.request.Number:
		return VerdictLate
	}
	return VerdictExpected
}

// Reason is the reason why a flow is broken.
type Reason string

// Reasons why a flow is broken.
const (
	ReasonReset       Reason = "reset"         // the client received a reset
	ReasonOtherState  Reason = "other_state"   // a second server state answered the flow
	ReasonSilent      Reason = "silent"        // a request or FIN was not answered
	ReasonSilentOpen  Reason = "silent_open"   // the SYN was not answered
	ReasonService     Reason = "wrong_service" // VerdictWrongService
	ReasonMismatch    Reason = "mismatch"      // VerdictWrongFlow or VerdictWrongNumber
	ReasonUnreadable  Reason = "unreadable"    // the payload is not a response
	ReasonOutOfStream Reason = "out_of_stream" // a TCP segment does not continue the stream
)

var verdictReasons = map[Verdict]Reason{
	VerdictWrongService: ReasonService,
	VerdictWrongFlow:    ReasonMismatch,
	VerdictWrongNumber:  ReasonMismatch,
	VerdictOtherState:   ReasonOtherState,
}
