package request

import (
	"time"
)

// Kind is the type of a Message.
type Kind uint8

const (
	// KindClaim requests that a registrar grant a key to an attempt.
	KindClaim Kind = iota + 1
	// KindClaimReply answers KindClaim.
	KindClaimReply
	// KindRelease requests that a registrar remove its record of one round of an attempt.
	// The sender takes that round as one that never runs.
	KindRelease
	// KindDone notifies a registrar that the attempt that holds the key is done.
	KindDone
	// KindFind queries the agent of another attempt for the outcome of that attempt.
	KindFind
	// KindFindReply answers KindFind.
	KindFindReply
	// KindPull requests an agent's records of the keys of which the sender is a
	// registrar.
	KindPull
	// KindPullReply answers KindPull.
	KindPullReply
)

// Verdict is a registrar's reply to a claim, or an agent's reply to a find.
type Verdict uint8

const (
	// Granted means that the attempt now holds the key at this registrar.
	Granted Verdict = iota + 1
	// Held means that the attempt in Message.Other holds the key at this registrar. It may
	// lack the grant of the other registrar.
	Held
	// Refused means that this registrar currently cannot decide: it has another pair for
	// the key or may lack earlier records.
	Refused
	// Pending means that the queried attempt has no outcome yet.
	Pending
	// Ended means that Message.Outcome is the outcome of the queried attempt.
	Ended
)

// Message is one message between agents. Messages may be lost, duplicated, delayed and
// reordered.
type Message struct {
	Kind     Kind
	From, To Process
	Key      Key
	Attempt  AttemptID // the claiming or querying attempt
	Other    AttemptID // the holder of the key (claim reply) or the queried attempt (find and its reply)
	Pair     Pair      // the key's registrars in the view of the claim's sender (claim and its reply)
	Verdict  Verdict
	Holding  bool    // Attempt has a grant and has not yielded (find) or is running, so that this is a renewal (claim)
	Expired  bool    // in a claim reply: Other cannot start any more by its grant of this registrar
	Outcome  Outcome // in a claim reply: Done if the holder is done
	Reason   Reason
	Answer   *Answer

	// StartWithin is the time from the sending of a claim during which the attempt may start by
	// the grant; zero if it is running or its agent does not send it.
	StartWithin time.Duration

	View      uint64 // hash of the sender's view (pull and its reply)
	Complete  uint64 // hash of the view in which the sender was last complete; zero if none (pull and its reply)
	Records   []Record
	Histories []History
	Losses    []Loss
}

// Record states that a key was granted to an attempt.
type Record struct {
	Key     Key
	Attempt AttemptID
	Left    time.Duration // remaining retention time
	Done    bool
	// StartLeft is the time during which the attempt may start by the grant. It is positive; zero
	// means that it is not known.
	StartLeft time.Duration
}

// History is an earlier membership under which keys may have been granted.
type History struct {
	Members []Member
	Left    time.Duration // until all grants under that membership have expired
}

// Loss states that keys whose registrars in Before are all absent from After may have
// been granted although no registrar has a record of it any more.
type Loss struct {
	Before, After []Member
	Left          time.Duration
}

// Answer is an upstream's answer as stored for retries.
type Answer struct {
	Status  int
	Header  map[string][]string
	Body    []byte
	TooLong bool // the body exceeded a limit, so only the status is stored
}

// Sizes in bytes of the parts of a message, as encoded by gob once the connection has
// carried the type definitions.
const (
	callBytes    = 48 // headers of the call and of its empty reply
	processBytes = 17
	versionBytes = 4

	emptyPairBytes = 18
	keyBytes       = 20 // a zero key is sent too
	attemptBytes   = 28
	recordBytes    = 70
	memberBytes    = 33
	viewBytes      = 20 // two hashes
)

// Size estimates the number of bytes on the wire, including the reply to the call.
func (m *Message) Size() int {
	n := callBytes + 2*processBytes + keyBytes + recordBytes*len(m.Records)
	if m.Attempt != (AttemptID{}) {
		n += attemptBytes
	}
	if m.Pair != (Pair{}) {
		n += 2 * (processBytes + versionBytes)
	} else {
		n += emptyPairBytes
	}
	if m.Other != (AttemptID{}) {
		n += attemptBytes
	}
	if m.View != 0 {
		n += viewBytes
	}
	for _, h := range m.Histories {
		n += memberBytes * len(h.Members)
	}
	for _, l := range m.Losses {
		n += memberBytes * (len(l.Before) + len(l.After))
	}
	if m.Answer != nil {
		n += len(m.Answer.Body)
	}
	return n
}
