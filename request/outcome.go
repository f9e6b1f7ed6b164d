package request

// Outcome is what is known of a request's execution.
type Outcome uint8

const (
	// Unknown requests may have run. It is the zero value: nothing else may be
	// assumed when nothing was recorded.
	Unknown Outcome = iota
	// NotRun requests sent no byte to the upstream.
	NotRun
	// Done requests were answered by the upstream.
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

// Reason says why a request got its outcome without an answer of its upstream.
type Reason uint8

const (
	// ReasonNone accompanies an upstream's answer.
	ReasonNone Reason = iota
	// ReasonQueueFull means that the queue had no place.
	ReasonQueueFull
	// ReasonTooLate means that the request could not finish before its deadline.
	ReasonTooLate
	// ReasonDeadline means that the deadline had passed.
	ReasonDeadline
	// ReasonDraining means that the agent accepts no new requests.
	ReasonDraining
	// ReasonCanceled means that the caller went away.
	ReasonCanceled
	// ReasonNoPermit means that the registrars did not grant the key in time, or
	// that a registrar may lack earlier records.
	ReasonNoPermit
	// ReasonAttemptLost means that another attempt holds the key and its agent is
	// gone.
	ReasonAttemptLost
	// ReasonBroken means that the upstream broke off.
	ReasonBroken
	// ReasonAnswerTooLarge means that the first attempt is done and its answer was
	// too large to be kept.
	ReasonAnswerTooLarge
	// ReasonAnswerLost means that the first attempt is done and its agent, which kept
	// the answer, is gone.
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
