package flow

import "time"

const (
	// fingerprintWire is the gob size of one fingerprint in bytes.
	fingerprintWire = 5
	// messageWire is about the gob size in bytes of a message without fingerprints.
	messageWire = 48
)

// digestOp is one pending change of a digest.
type digestOp struct {
	fp     uint32
	remove bool
}

// outbox is the digest that this agent sends one peer.
type outbox struct {
	ops        []digestOp // not sent yet, in order
	seq        uint32
	reset      bool // the next message starts the digest anew
	count      uint32
	sum        uint64
	checked    time.Duration // when Count and Sum were last sent
	checkDue   bool
	generation uint32 // incremented by restart
}

func (o *outbox) push(fp uint32, remove bool) {
	o.ops = append(o.ops, digestOp{fp: fp, remove: remove})
}

// restart forgets what was sent; the caller pushes the whole digest afterwards.
func (o *outbox) restart() {
	o.ops = o.ops[:0]
	o.reset, o.checkDue = true, true
	o.count, o.sum = 0, 0
	o.generation++
}

// take moves pending changes into a message and returns the bytes they cost, at
// most budget plus one operation.
func (o *outbox) take(m *Message, budget int) int {
	n := min(len(o.ops), max(1, budget/fingerprintWire))
	for _, op := range o.ops[:n] {
		o.apply(op, m)
	}
	o.ops = append(o.ops[:0], o.ops[n:]...)
	o.seq++
	m.Seq, m.Reset = o.seq, o.reset
	o.reset = false
	o.checkDue = o.checkDue || n > 0
	return n * fingerprintWire
}

func (o *outbox) apply(op digestOp, m *Message) {
	if op.remove {
		m.Remove = append(m.Remove, op.fp)
		o.count--
		o.sum -= mix(uint64(op.fp))
		return
	}
	m.Add = append(m.Add, op.fp)
	o.count++
	o.sum += mix(uint64(op.fp))
}

// check adds the digest's hash to a message when nothing is pending.
func (o *outbox) check(now time.Duration, m *Message) {
	if len(o.ops) > 0 {
		return
	}
	m.Check, m.Count, m.Sum = true, o.count, o.sum
	o.checked, o.checkDue = now, false
}

// due reports whether the peer must be sent a digest message.
func (o *outbox) due(now, interval time.Duration) bool {
	return len(o.ops) > 0 || o.reset || o.checkDue || (o.count > 0 && now-o.checked >= interval)
}
