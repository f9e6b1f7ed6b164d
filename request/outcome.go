package request

// Outcome states what is known about the execution of a request.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value because nothing
	// else may be assumed if no outcome was recorded.
	Unknown Outcome = iota
	// NotRun means that this attempt sent no byte of the request to the upstream. An
	// earlier attempt of the same request may have run.
	NotRun
	// Done means that the upstream answered the request completely, or that an upgraded
	// connection ended. (The outcome header is sent with the response head, so there it
	// means that the answer began.)
	Done
)

var outcomeNames = [...]string{"unknown", "not-run", "done"}

// String returns the value of the header Nutmegtrack-Outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[Unknown]
}

// Reason states why a request ended without a complete answer from its upstream. If the
// request ended with the outcome of the holder of its key, the reason is the holder's.
type Reason uint8

const (
	// ReasonNone means that the outcome is Done (see there). As a result of Gate.Offer it means
	// that the request is queued.
	ReasonNone Reason = iota
	// ReasonQueueFull means that the queue was full.
	ReasonQueueFull
	// ReasonTooLate means that the queued request would probably not have finished before
	// its deadline or had waited for GateConfig.MaxWait. If it had claimed its key
	// and still lacked a grant, the reason is ReasonNoPermit instead.
	ReasonTooLate
	// ReasonDeadline means that the deadline had passed when the request was submitted,
	// or passed between its start and the start of the response.
	ReasonDeadline
	// ReasonDraining means that the agent accepts no new requests.
	ReasonDraining
	// ReasonCanceled means that the caller disconnected, or that the deadline passed while
	// the response was being forwarded.
	ReasonCanceled
	// ReasonNoPermit means that the request still lacked a grant for its key when its wait
	// ended: when it would probably not have finished before its deadline, after
	// GateConfig.MaxWait in the queue, after NodeConfig.MaxStall with a stalled claim, or
	// because NodeConfig.MaxParked requests were parked. Registrars refuse the grant while
	// they may lack earlier records; another attempt that holds the key prevents it.
	ReasonNoPermit
	// ReasonAttemptLost means that another attempt holds the key, and its agent either is
	// not in the view or has no record of that attempt.
	ReasonAttemptLost
	// ReasonBroken means that the exchange with the upstream failed before a complete
	// answer for a reason other than ReasonDeadline and ReasonCanceled: the connection could
	// not be opened or failed, the request body could not be read from the caller, or the
	// caller's connection could not be taken over for an upgrade.
	ReasonBroken
	// ReasonAnswerTooLarge means that the attempt that holds the key is done and its
	// answer is not stored: it exceeded a limit or was a protocol upgrade.
	ReasonAnswerTooLarge
	// ReasonAnswerLost means that the attempt that holds the key is done and its agent,
	// which stores the answer, is not in the view.
	ReasonAnswerLost
)

var reasonNames = [...]string{"", "queue-full", "too-late", "deadline", "draining", "canceled",
	"no-permit", "attempt-lost", "broken", "answer-too-large", "answer-lost"}

// String returns the reason's lower-case name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}
