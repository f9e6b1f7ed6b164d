package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// With a Gate and no Admission, an accepted flow counts as opening, that is as a request to come,
// until its first request arrives or is overdue. A client that has timed out, or whose flow another
// upstream has accepted too, sends none. The time limit is that of a round trip, estimated as TCP
// estimates its retransmission timeout (RFC 6298): the mean plus four times the deviation.
const (
	// openDelayInitial is the estimate before the first measurement: a round trip between
	// regions.
	openDelayInitial = 40 * time.Millisecond
	openDelayMin     = 5 * time.Millisecond
	openDelayMax     = 200 * time.Millisecond
)

// openDelayEstimate estimates the time from a flow's acceptance to its first request.
type openDelayEstimate struct {
	mean, deviation time.Duration
}

// note adds a measurement.
func (o *openDelayEstimate) note(d time.Duration) {
	if o.mean == 0 {
		o.mean, o.deviation = d, d/2
		return
	}
	o.deviation += ((d - o.mean).Abs() - o.deviation) / 4
	o.mean += (d - o.mean) / 8
}

// limit returns the time after which no request is expected any more.
func (o *openDelayEstimate) limit() time.Duration {
	if o.mean == 0 {
		return openDelayInitial
	}
	return min(max(o.mean+4*o.deviation, openDelayMin), openDelayMax)
}

// requestTimeout is the time without a packet after which a request no longer counts: its client
// has timed out, or the response did not pass this agent.
const requestTimeout = 10 * time.Second

// workload counts the upstream's load. The agent sees all requests and, usually, all responses.
type workload struct {
	slots    int
	busy     int                  // flows with flagBusy
	busyBy   [load.Priorities]int // the same by priority
	opening  int                  // flows with flagOpening
	openings []opening
	head     int
	time     openDelayEstimate
	noRoom   bool // when last asked, a limit of a cold upstream left no room
}

// opening is a flow that was accepted at the time since and may still have flagOpening.
type opening struct {
	key   packet.Key
	since time.Duration
}

// SetSlots sets the number of requests that the upstream processes concurrently.
func (t *Table) SetSlots(n int) { t.work.slots = n }

// Load returns the current load of the upstream.
func (t *Table) Load() load.Load {
	l := load.Load{Slots: t.work.slots, Busy: t.work.busy, Opening: t.work.opening}
	below := 0
	for p := load.Priorities - 1; p >= 0; p-- {
		l.BusyBelow[p] = below
		below += t.work.busyBy[p]
	}
	return l
}

// notePriority records the priority of a flow's requests. It may change with the routes, but not
// during a request, which is counted under it.
func (e *entry) notePriority(p uint8) {
	if e.flags&flagBusy == 0 {
		e.priority = min(p, load.Priorities-1)
	}
}

// markOpening records that a flow was accepted and its first request is expected, if there is a
// Gate.
func (t *Table) markOpening(now time.Duration, e *entry) {
	if t.cfg.Gate == nil {
		return
	}
	e.flags |= flagOpening | flagNoRequestYet
	e.began = milliseconds(now)
	t.work.opening++
	t.work.openings = append(t.work.openings, opening{key: e.key, since: now})
}

// expireOpenings clears flagOpening of the flows that have not sent a request in time.
func (t *Table) expireOpenings(now time.Duration) {
	w := &t.work
	for w.head < len(w.openings) && now-w.openings[w.head].since >= w.time.limit() {
		k := w.openings[w.head].key
		w.head++
		if e := t.flows.find(k.Hash(), &k); e != nil {
			t.clearOpening(e)
		}
	}
	if w.head == len(w.openings) {
		w.openings, w.head = w.openings[:0], 0
	}
}

func (t *Table) clearOpening(e *entry) {
	if e.flags&flagOpening != 0 {
		e.flags &^= flagOpening
		t.work.opening--
	}
}

// milliseconds converts a time to the format of entry.began.
func milliseconds(now time.Duration) uint32 { return uint32(now.Milliseconds()) }

// since returns the time elapsed since an entry's time, which wraps around after 49 days.
func since(now time.Duration, at uint32) time.Duration {
	return time.Duration(milliseconds(now)-at) * time.Millisecond
}

// noteRequest processes data of the client. Retransmitted data is not a new request.
func (t *Table) noteRequest(now time.Duration, e *entry, in *packet.Info) {
	if len(in.Payload) == 0 || t.cfg.Gate == nil {
		return
	}
	end := in.Seq + uint32(len(in.Payload))
	if e.next != 0 && int32(end-e.next) <= 0 {
		return
	}
	e.next = end
	counted := e.flags&flagOpening != 0 // with its first packet
	t.clearOpening(e)
	if e.flags&flagNoRequestYet != 0 {
		e.flags &^= flagNoRequestYet
		// Clients that open a flow in advance give no measure of the round trip.
		if d := since(now, e.began); d < openDelayMax {
			t.work.time.note(d)
			t.cfg.Gate.RecordOpenDelay(d)
		}
	}
	if e.flags&flagBusy == 0 {
		e.flags |= flagBusy
		e.began = milliseconds(now)
		t.work.busy++
		t.work.busyBy[e.priority]++
		if !counted {
			t.noteGiven(now)
		}
	}
}

// noteResponse processes data of the upstream, which ends its work on a request.
func (t *Table) noteResponse(now time.Duration, e *entry, in *packet.Info) {
	if len(in.Payload) > 0 && e.flags&flagBusy != 0 {
		processingTime := since(now, e.began)
		t.cfg.Gate.RecordServiceTime(processingTime)
		if t.cfg.OnRequestDone != nil {
			t.cfg.OnRequestDone(processingTime)
		}
		t.markIdle(e)
	}
}

// markIdle records that the upstream is not processing a request of the flow.
func (t *Table) markIdle(e *entry) {
	if e.flags&flagBusy != 0 {
		e.flags &^= flagBusy
		t.work.busy--
		t.work.busyBy[e.priority]--
	}
}

// gate decides whether a flow that this agent could accept is accepted now. next is the next
// choice, to which the flow can be handed off, or nil.
func (t *Table) gate(now time.Duration, hash uint64, h *packet.Header, in *packet.Info, next *peer) Action {
	t.expireOpenings(now)
	t.waiting.last++
	number := t.waiting.last
	offer := load.Offer{
		ID: number, Sent: now - SYNCopyDelay(in.Repeat), Priority: h.Class.Priority(), Objective: h.Class.LatencyObjective(),
		Passed: lastVisited(h) + 1, HasAlternative: next != nil && h.Hops+1 < packet.MaxHops,
	}
	l := t.loadAt(now)
	cold := t.cfg.Gate.LimitedByRoom(now, &offer, &l)
	switch t.cfg.Gate.Offer(now, offer, l) {
	case load.Accept:
		return t.acceptIfAdmitted(now, hash, h, firstPacketOf(in))
	case load.PassOn:
		a := t.handOff(now, hash, h, next)
		if cold {
			t.counters.ColdPassed++
			a.Reason = ReasonCold
		}
		return a
	case load.Wait:
		t.refuseEvicted(now)
		t.waiting.add(number, &waitingFlow{
			firstPacket: firstPacketOf(in), header: *h, since: now, until: noTimeLimit, copies: 1 << min(in.Repeat, 7),
		})
		t.counters.Held++
		return Action{Kind: Wait, Flow: number, Hint: true}
	}
	if cold {
		return t.refuse(in, ReasonCold)
	}
	return t.refuse(in, ReasonRefused)
}

// SYNCopyDelay returns the time after the first SYN at which a client of the platform, which
// numbers its SYNs, sends the copy with the given number: 200 and 600 ms.
func SYNCopyDelay(copyNumber uint8) time.Duration {
	switch copyNumber {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	}
	return 600 * time.Millisecond
}

// WaitingDue reports whether a waiting flow should be taken with NextWaiting: a slot is free, or this agent
// accepts no flows any more. Room of a cold upstream appears with time, and the caller asks NextWaiting for
// it at each of its steps.
func (t *Table) WaitingDue() bool {
	if t.self.Evacuated && len(t.waiting.byNumber) > 0 {
		return true
	}
	if t.cfg.Gate == nil || t.cfg.Gate.Waiting() == 0 {
		return false
	}
	l := t.Load()
	return !t.accepts() || l.Busy+l.Opening < l.Slots && !t.work.noRoom
}

// NextWaiting returns the next flow waiting for a slot to be decided now, the action for its first
// packet and the header of that packet. The number is 0 if there is none. Of an evacuated upstream it also
// returns the flows that wait for the Admission.
func (t *Table) NextWaiting(now time.Duration) (number uint64, a Action, h packet.Header) {
	t.expireOpenings(now)
	for {
		number, found := t.nextOfGate(now)
		if !found && t.self.Evacuated {
			number, found = t.waiting.oldest()
		}
		if !found {
			return 0, Action{}, packet.Header{}
		}
		f := t.waiting.remove(number)
		if f == nil {
			continue
		}
		hash := f.key.Hash()
		if !t.accepts() || len(t.flows.entries) >= t.cfg.MaxFlows {
			a = t.handOffToNext(now, hash, &f.header, f.mayResetUnplaced(now))
		} else {
			a = t.acceptIfAdmitted(now, hash, &f.header, f.firstPacket)
		}
		a.Waited = now - f.since
		return number, a, f.header
	}
}

// nextOfGate returns the next flow of those that wait for a slot.
func (t *Table) nextOfGate(now time.Duration) (number uint64, found bool) {
	if t.cfg.Gate == nil {
		return 0, false
	}
	l := t.loadAt(now)
	if !t.accepts() {
		l = load.Load{Slots: 1 << 16} // enough for Next to return every waiting flow: each is handed off
	}
	return t.cfg.Gate.Next(now, l)
}

// refuseExpired refuses the flows that have waited too long for a slot and those that were evicted
// in favour of other flows. Their clients are sent a reset, which ends the attempt without a run,
// unless the flow may be open at another upstream.
func (t *Table) refuseExpired(now time.Duration) {
	if t.cfg.Gate == nil {
		return
	}
	for _, number := range t.cfg.Gate.Expired(now) {
		t.refuseWaiting(now, number)
	}
	t.refuseEvicted(now)
}

// refuseEvicted refuses the flows that the Gate has evicted in favour of other flows.
func (t *Table) refuseEvicted(now time.Duration) {
	for _, number := range t.cfg.Gate.Evicted() {
		t.refuseWaiting(now, number)
		t.stepDue = true
	}
}

// MeanProcessingTime returns the mean processing time of a request at the upstream, or 0 before
// the first measurement.
func (t *Table) MeanProcessingTime() time.Duration {
	if t.cfg.Gate == nil {
		return 0
	}
	return t.cfg.Gate.ServiceTime()
}

func (t *Table) refuseWaiting(now time.Duration, number uint64) {
	f := t.waiting.remove(number)
	if f == nil {
		return
	}
	t.drop(ReasonRefused)
	t.refusedFlows = append(t.refusedFlows, RefusedFlow{Key: f.key, Waited: now - f.since, Reset: !f.mayBeOpenElsewhere(now)})
}

// RefusedFlow is a flow that waited for a slot and was evicted or expired.
type RefusedFlow struct {
	Key    packet.Key
	Waited time.Duration
	Reset  bool // the client is to be sent a reset
}

// RefusedFlows returns, once, the flows that the Gate has evicted or that have expired in it.
func (t *Table) RefusedFlows() []RefusedFlow {
	out := t.refusedFlows
	t.refusedFlows = nil
	return out
}

// Waiting returns the number of flows that wait for a slot.
func (t *Table) Waiting() int {
	if t.cfg.Gate == nil {
		return 0
	}
	return t.cfg.Gate.Waiting()
}
