package request

// Outcome states what is known about the execution of a request.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value because nothing
	// else may be assumed if no outcome was recorded.
	Unknown Outcome = iota
	// NotRun means that no byte of the request was sent to the upstream.
	NotRun
	// Done means that the upstream answered the request.
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

// Reason states why a request ended without an answer from its upstream.
type Reason uint8

const (
	// ReasonNone means that the upstream answered. As a result of Gate.Offer it means
	// that the request is queued.
	ReasonNone Reason = iota
	// ReasonQueueFull means that the queue was full.
	ReasonQueueFull
	// ReasonTooLate means that the request could not finish before its deadline or had
	// waited for GateConfig.MaxWait.
	ReasonTooLate
	// ReasonDeadline means that the deadline had passed.
	ReasonDeadline
	// ReasonDraining means that the agent accepts no new requests.
	ReasonDraining
	// ReasonCanceled means that the caller disconnected.
	ReasonCanceled
	// ReasonNoPermit means that the registrars did not grant the key in time, or
	// that a registrar may lack earlier records.
	ReasonNoPermit
	// ReasonAttemptLost means that another attempt holds the key, and its agent is gone
	// or no longer has its outcome.
	ReasonAttemptLost
	// ReasonBroken means that the connection to the upstream failed before a complete
	// answer.
	ReasonBroken
	// ReasonAnswerTooLarge means that the attempt that holds the key is done and its
	// answer was too large to be stored.
	ReasonAnswerTooLarge
	// ReasonAnswerLost means that the attempt that holds the key is done and its agent,
	// which stored the answer, is gone.
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
