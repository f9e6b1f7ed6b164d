package request

import (
	"time"
)

// Kind tells the messages between agents apart.
type Kind uint8

const (
	// KindClaim asks a registrar to grant a key to an attempt.
	KindClaim Kind = iota + 1
	// KindClaimReply answers it.
	KindClaimReply
	// KindRelease takes back the claim of an attempt that ended without running.
	KindRelease
	// KindDone tells a registrar that the attempt that holds a key is done.
	KindDone
	// KindFind asks the agent of an attempt what became of it.
	KindFind
	// KindFindReply answers it.
	KindFindReply
	// KindPull asks an agent for the records of the keys that the sender keeps.
	KindPull
	// KindPullReply answers it.
	KindPullReply
)

// Verdict is a registrar's answer to a claim, or an agent's to a find.
type Verdict uint8

const (
	// Granted means that the attempt holds the key at this registrar.
	Granted Verdict = iota + 1
	// Held means that Other holds the key.
	Held
	// Refused means that this registrar cannot decide at present.
	Refused
	// Pending means that the attempt that was asked for has no outcome yet.
	Pending
	// Ended means that Outcome holds the outcome of the attempt asked for.
	Ended
)

// Message is one message between agents. Messages may be lost, doubled, delayed and
// reordered.
type Message struct {
	Kind     Kind
	From, To Process
	Key      Key
	Attempt  AttemptID // the attempt in whose name the message is sent
	Other    AttemptID // the holder of the key, or the attempt asked for
	Pair     Pair      // registrars in the sender's view (claim)
	Verdict  Verdict
	Holding  bool    // the asking attempt holds a grant (find) or runs (claim)
	Outcome  Outcome // Done in a registrar's answer when the holder is done
	Reason   Reason
	Answer   *Answer

	View      uint64 // hash of the sender's view (pull and its reply)
	Complete  uint64 // hash of the view that the sender was last complete in (pull)
	Records   []Record
	Histories []History
	Losses    []Loss
}

// Record says that an attempt has claimed a key.
type Record struct {
	Key     Key
	Attempt AttemptID
	Left    time.Duration // of the retention time
	Done    bool
}

// History is a membership under which keys may have been granted.
type History struct {
	Members []Member
	Left    time.Duration // until all grants of that time have expired
}

// Loss says that keys whose registrars in Before are all absent in After may have
// been granted without a record.
type Loss struct {
	Before, After []Member
	Left          time.Duration
}

// Answer is an upstream's answer as kept for retries.
type Answer struct {
	Status  int
	Header  map[string][]string
	Body    []byte
	TooLong bool // the body was larger than the limit and is not kept
}

// Sizes of parts of a message in bytes, as gob encodes them on an open connection.
const (
	callBytes    = 48 // headers of the call and of its empty answer
	processBytes = 17
	versionBytes = 4

	emptyPairBytes = 18
	keyBytes       = 20 // sent also when it is zero
	attemptBytes   = 28
	recordBytes    = 65
	memberBytes    = 33
	viewBytes      = 20 // two hashes
)

// Size estimates the bytes on the wire, the answer of the call included.
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
