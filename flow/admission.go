package flow

import (
	"math"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Verdict is the result of Admission.Admit.
type Verdict uint8

const (
	// Refused flows are not accepted.
	Refused Verdict = iota
	// Admitted flows are accepted, and released when they end.
	Admitted
	// Waiting flows are decided later, through Table.Decide.
	Waiting
)

// Admission decides whether this agent accepts a new flow. The table passes it the table's
// own time. An Admission must not call the table.
type Admission interface {
	// Admit decides on a new flow of a customer; customer 0 means none. The flow's number is
	// unique in this process and identifies the flow in Table.Decide.
	Admit(now time.Duration, customer, number uint64) Verdict
	// Release is called once for each flow that leaves the table, and for an admitted flow that
	// can't be accepted any more. customer is the one for which the flow was admitted, or 0 for
	// a flow that entered the table without Admit: one that was adopted or found by a probe.
	Release(now time.Duration, customer uint64)
}

// waitingFlow is a new flow that waits for the verdict of the Admission or for a slot of the
// Gate. The table's caller keeps its first packet.
type waitingFlow struct {
	firstPacket
	header packet.Header
	since  time.Duration
	until  time.Duration
	copies uint8 // bit n is set if the copy with number n has arrived here
}

// firstPacket identifies a first packet that may open a flow.
type firstPacket struct {
	key        packet.Key
	seq        uint32 // sequence number of a SYN
	copyNumber uint8  // 0 for the first SYN, n for its n-th retransmission
}

func firstPacketOf(in *packet.Info) firstPacket {
	return firstPacket{key: in.Key, seq: in.Seq, copyNumber: in.Repeat}
}

// allCopies is waitingFlow.copies of a flow whose SYN has arrived here with all its copies.
const allCopies = 1<<0 | 1<<1 | 1<<2

// mayBeOpenElsewhere reports whether a copy of the flow's SYN may have gone to another upstream
// (firstRedirectedCopy), where the flow may be open.
func (f *waitingFlow) mayBeOpenElsewhere(now time.Duration) bool {
	if f.copyNumber >= firstRedirectedCopy {
		return true
	}
	allSent := now-f.since+SYNCopyDelay(f.copyNumber) >= SYNCopyDelay(firstRedirectedCopy)
	return allSent && f.copies != allCopies
}

// mayResetUnplaced is mayReset of Table.refuseUnplaced. A copy that is not the original may have followed an
// order to evacuate, and the original may have opened the flow at an evacuated upstream.
func (f *waitingFlow) mayResetUnplaced(now time.Duration) bool {
	return f.key.Proto == packet.ProtoTCP && f.copyNumber == 0 && !f.mayBeOpenElsewhere(now)
}

// waitingFlows holds the waiting flows. While there are TableConfig.MaxWaiting of them, no flow
// is passed to the Admission, and TableConfig.MaxWait limits their waiting time. The Gate limits the
// number and the waiting time of its own.
type waitingFlows struct {
	byNumber map[uint64]*waitingFlow
	byKey    map[packet.Key]uint64
	last     uint64 // number of the latest new flow passed to the Admission or the Gate
}

func newWaitingFlows() waitingFlows {
	return waitingFlows{byNumber: make(map[uint64]*waitingFlow), byKey: make(map[packet.Key]uint64)}
}

// noteCopy reports whether the flow of a received packet waits, and records the number of its copy. A TCP packet
// other than a SYN shows that another upstream has opened the flow: it waits no longer.
func (w *waitingFlows) noteCopy(in *packet.Info) bool {
	if len(w.byKey) == 0 {
		return false
	}
	number, found := w.byKey[in.Key]
	switch {
	case !found:
		return false
	case !in.First && in.Key.Proto == packet.ProtoTCP:
		w.remove(number)
		return false
	}
	w.byNumber[number].copies |= 1 << min(in.Repeat, 7)
	return true
}

func (w *waitingFlows) add(number uint64, f *waitingFlow) {
	w.byNumber[number] = f
	w.byKey[f.key] = number
}

// remove removes and returns the flow with the number. It returns nil if no such flow waits.
func (w *waitingFlows) remove(number uint64) *waitingFlow {
	f := w.byNumber[number]
	if f != nil {
		delete(w.byNumber, number)
		delete(w.byKey, f.key)
	}
	return f
}

// oldest returns the flow that has waited longest, unless none waits.
func (w *waitingFlows) oldest() (number uint64, found bool) {
	for n := range w.byNumber {
		if !found || n < number {
			number, found = n, true
		}
	}
	return number, found
}

// acceptIfAdmitted accepts a new flow if the Admission allows it.
func (t *Table) acceptIfAdmitted(now time.Duration, hash uint64, h *packet.Header, first firstPacket) Action {
	if t.cfg.Admission == nil {
		e := t.takeOwnership(now, hash, &first.key)
		e.expectHandshake(first.seq)
		t.markOpening(now, e)
		t.noteGiven(now)
		return t.deliver(now, h, e)
	}
	// While MaxWaiting flows wait, the Admission is not consulted: it might answer Waiting, and
	// there is no room to store the flow until its decision.
	if len(t.waiting.byNumber) >= t.cfg.MaxWaiting {
		return t.drop(ReasonRefused)
	}
	t.waiting.last++
	switch t.cfg.Admission.Admit(now, h.Customer, t.waiting.last) {
	case Admitted:
		return t.acceptAdmitted(now, hash, h, first)
	case Waiting:
		t.waiting.add(t.waiting.last, &waitingFlow{
			firstPacket: first, header: *h, since: now, until: now + t.cfg.MaxWait, copies: 1 << min(first.copyNumber, 7),
		})
		t.counters.Waited++
		return Action{Kind: Wait, Flow: t.waiting.last}
	}
	return t.drop(ReasonRefused)
}

func (t *Table) acceptAdmitted(now time.Duration, hash uint64, h *packet.Header, first firstPacket) Action {
	e := t.takeOwnership(now, hash, &first.key)
	e.expectHandshake(first.seq)
	e.customer = h.Customer
	t.noteGiven(now)
	return t.deliver(now, h, e)
}

// Decide ends a flow's wait and returns the action for its first packet: deliver or drop or, of an evacuated
// upstream, also forward or reset. The
// returned header is that of the packet and is needed for hints. A flow that was admitted but
// can't be accepted any more is released at once.
func (t *Table) Decide(now time.Duration, customer, number uint64, v Verdict) (Action, packet.Header) {
	f := t.waiting.remove(number)
	if f == nil {
		if v == Admitted {
			t.cfg.Admission.Release(now, customer)
		}
		return Action{Kind: Drop}, packet.Header{}
	}
	if v != Admitted {
		return t.drop(ReasonRefused), f.header
	}
	if !t.accepts() || len(t.flows.entries) >= t.cfg.MaxFlows {
		t.cfg.Admission.Release(now, customer)
		if t.self.Evacuated {
			return t.handOffToNext(now, f.key.Hash(), &f.header, f.mayResetUnplaced(now)), f.header
		}
		return t.drop(ReasonNoUpstream), f.header
	}
	return t.acceptAdmitted(now, f.key.Hash(), &f.header, f.firstPacket), f.header
}

// noTimeLimit is waitingFlow.until of a flow whose wait the Gate ends.
const noTimeLimit = time.Duration(math.MaxInt64)

// expireWaiting drops the flows that have waited longer than MaxWait for the Admission.
func (t *Table) expireWaiting(now time.Duration) {
	for number, f := range t.waiting.byNumber {
		if now >= f.until {
			t.waiting.remove(number)
			t.drop(ReasonRefused)
		}
	}
}

// IsWaiting reports whether the flow with the number still waits, for the Admission or for a slot.
func (t *Table) IsWaiting(number uint64) bool { return t.waiting.byNumber[number] != nil }

// release notifies the admission that a flow leaves the table, whether or not it was admitted.
func (t *Table) release(now time.Duration, e *entry) {
	if t.cfg.Admission != nil {
		t.cfg.Admission.Release(now, e.customer)
	}
}
