package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Verdict is the answer of an Admission.
type Verdict uint8

const (
	// Refused flows are not taken.
	Refused Verdict = iota
	// Admitted flows are taken and released once when they end.
	Admitted
	// Waiting flows are decided later by Table.Decide.
	Waiting
)

// Admission decides whether this agent takes a new flow. The table calls it with
// its own time; it must not call the table.
type Admission interface {
	// Admit decides about a new flow of a customer, 0 for none. The flow's number
	// is unique in this process and identifies it in Table.Decide.
	Admit(now time.Duration, customer, flow uint64) Verdict
	// Release ends an admitted flow.
	Release(now time.Duration, customer uint64)
}

// waitingFlow is a flow that the admission has not decided. The caller of the
// table keeps its first packet.
type waitingFlow struct {
	key    packet.Key
	header packet.Header
	since  time.Duration
	until  time.Duration
	repeat uint8 // number of the copy
}

// waitingFlows are bounded in number by TableConfig.MaxWaiting and in time by
// TableConfig.MaxWait.
type waitingFlows struct {
	byNumber map[uint64]*waitingFlow
	byKey    map[packet.Key]uint64
	last     uint64 // number of the latest flow that asked for admission
}

func newWaitingFlows() waitingFlows {
	return waitingFlows{byNumber: make(map[uint64]*waitingFlow), byKey: make(map[packet.Key]uint64)}
}

func (w *waitingFlows) holds(k *packet.Key) bool {
	if len(w.byKey) == 0 {
		return false
	}
	_, found := w.byKey[*k]
	return found
}

func (w *waitingFlows) add(number uint64, f *waitingFlow) {
	w.byNumber[number] = f
	w.byKey[f.key] = number
}

// remove returns the flow with the number, or nil when it does not wait.
func (w *waitingFlows) remove(number uint64) *waitingFlow {
	f := w.byNumber[number]
	if f != nil {
		delete(w.byNumber, number)
		delete(w.byKey, f.key)
	}
	return f
}

// admit takes a new flow if the admission allows it.
func (t *Table) admit(now time.Duration, hash uint64, h *packet.Header, k *packet.Key) Action {
	if t.cfg.Admission == nil {
		e := t.take(now, hash, k)
		t.open(now, e)
		return t.deliver(now, h, e)
	}
	// The admission could not tell the table of its answer later.
	if len(t.waiting.byNumber) >= t.cfg.MaxWaiting {
		return t.drop(ReasonRefused)
	}
	t.waiting.last++
	switch t.cfg.Admission.Admit(now, h.Customer, t.waiting.last) {
	case Admitted:
		return t.takeAdmitted(now, hash, h, k)
	case Waiting:
		t.waiting.add(t.waiting.last, &waitingFlow{key: *k, header: *h, until: now + t.cfg.MaxWait})
		t.counters.Waited++
		return Action{Kind: Wait, Flow: t.waiting.last}
	}
	return t.drop(ReasonRefused)
}

func (t *Table) takeAdmitted(now time.Duration, hash uint64, h *packet.Header, k *packet.Key) Action {
	e := t.take(now, hash, k)
	e.customer = h.Customer
	return t.deliver(now, h, e)
}

// Decide ends the wait of a flow and returns what to do with its first packet:
// deliver or drop. The header is that of the packet, for hints. A flow that was
// admitted but can no longer be taken is released at once.
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
		return t.drop(ReasonNoUpstream), f.header
	}
	return t.takeAdmitted(now, f.key.Hash(), &f.header, &f.key), f.header
}

// expireWaiting drops the flows that have waited too long.
func (t *Table) expireWaiting(now time.Duration) {
	for number, f := range t.waiting.byNumber {
		if now >= f.until {
			t.waiting.remove(number)
			t.drop(ReasonRefused)
		}
	}
}

// WaitsFor reports whether the flow with the number still waits for a decision.
func (t *Table) WaitsFor(number uint64) bool { return t.waiting.byNumber[number] != nil }

// release tells the admission that a flow has ended.
func (t *Table) release(now time.Duration, e *entry) {
	if t.cfg.Admission != nil {
		t.cfg.Admission.Release(now, e.customer)
	}
}
