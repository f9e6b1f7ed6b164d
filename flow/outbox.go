package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
)

const (
	// fingerprintWire is the gob size of one fingerprint in bytes.
	fingerprintWire = 5
	// messageWire is the approximate size in bytes of a message without fingerprints: an RPC
	// call and its response with TCP and IP headers.
	messageWire = 150
	// emptyChecks is the number of checks sent after a digest has become empty.
	emptyChecks = 6
)

// digestOp is one pending change of a digest.
type digestOp struct {
	fp     uint32
	remove bool
}

// outbox holds the unsent changes of the digest for one peer, and the count and checksum of
// the sent part.
type outbox struct {
	ops          []digestOp // not sent yet, in order
	seq          uint32
	newDigest    bool // the next message begins a new digest
	count        uint32
	sum          uint64
	addSince     time.Duration // when the oldest unsent addition was queued
	adds         int           // number of unsent additions
	urgent       bool          // an unsent addition must be sent without DigestDelay
	checkSentAt  time.Duration // when Count and Sum were last sent
	checkDue     bool          // a check is due because a new digest has begun
	changeSentAt time.Duration // when an operation was last sent
	generation   uint32        // number of digests begun
}

func (o *outbox) push(now time.Duration, fp uint32, remove bool) {
	if !remove {
		if o.adds == 0 {
			o.addSince = now
		}
		o.adds++
	}
	o.ops = append(o.ops, digestOp{fp: fp, remove: remove})
}

// beginDigest begins a new digest: it discards the state of the sent one, and the caller pushes all
// fingerprints.
func (o *outbox) beginDigest() {
	o.ops, o.adds, o.urgent = o.ops[:0], 0, false
	o.newDigest, o.checkDue = true, true
	o.count, o.sum = 0, 0
	o.generation++
}

// take moves pending changes into a message and returns their size in bytes, at most budget
// plus one operation.
func (o *outbox) take(now time.Duration, m *Message, budget int) int {
	if len(o.ops) > 0 {
		o.changeSentAt = now
	}
	n := min(len(o.ops), max(1, budget/fingerprintWire))
	for _, op := range o.ops[:n] {
		o.apply(op, m)
	}
	o.ops = append(o.ops[:0], o.ops[n:]...)
	o.urgent = o.urgent && o.adds > 0
	o.seq++
	m.Seq, m.Reset = o.seq, o.newDigest
	o.newDigest = false
	return n * fingerprintWire
}

func (o *outbox) apply(op digestOp, m *Message) {
	if op.remove {
		m.Remove = append(m.Remove, op.fp)
		o.count--
		o.sum -= rendezvous.Mix(uint64(op.fp))
		return
	}
	o.adds--
	m.Add = append(m.Add, op.fp)
	o.count++
	o.sum += rendezvous.Mix(uint64(op.fp))
}

// check adds the digest's checksum to a message if a check is due and no change is pending.
func (o *outbox) check(now, interval time.Duration, m *Message) {
	if len(o.ops) > 0 || !o.checkWanted(now, interval) {
		return
	}
	m.Check, m.Count, m.Sum = true, o.count, o.sum
	o.checkSentAt, o.checkDue = now, false
}

// checkWanted reports whether a check is due. An empty digest is checked a few more times,
// because the message that emptied it may have been lost.
func (o *outbox) checkWanted(now, interval time.Duration) bool {
	live := o.count > 0 || len(o.ops) > 0 || (o.seq > 1 && now-o.changeSentAt < emptyChecks*interval)
	return o.checkDue || (live && now-o.checkSentAt >= interval)
}

// due reports whether a digest message must be sent to the peer. Additions that are not urgent
// are delayed, so that several share a message; until then the recorded owners and forwarding
// along the ranking find the flow. Removals wait for the next message. Until then the peer
// forwards packets of the flow here, and does not treat a lost flow as suspect.
func (o *outbox) due(now, delay, interval time.Duration) bool {
	return o.newDigest || o.urgent || o.checkWanted(now, interval) || (o.adds > 0 && now-o.addSince >= delay)
}
