package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/request"
)

// requestLedger records which attempts upstreams ran and which outcomes callers received.
type requestLedger struct {
	membershipVersion int          // latest version of the membership
	runs              map[int]int  // number of runs by request
	attemptRuns       map[int]int  // number of runs by attempt
	notRun            map[int]bool // attempts that were reported as not run
	outcomes          map[int]request.Outcome
	idempotent        map[int]bool
	unknown           map[request.Reason]int
	crossed           int
	answersLost       int
	queueRatios       []float64
	slotsUsed, slots  uint64
	slotsUsedAll      uint64
	slotsAll          uint64
	controlBytes      uint64
	bytesByKind       [16]uint64
}

func newRequestLedger() requestLedger {
	return requestLedger{
		runs: make(map[int]int), attemptRuns: make(map[int]int), notRun: make(map[int]bool),
		outcomes: make(map[int]request.Outcome), idempotent: make(map[int]bool), unknown: make(map[request.Reason]int),
	}
}

func (l *requestLedger) attemptRan(c *agentAttempt) {
	l.runs[c.id]++
	l.attemptRuns[c.attempt]++
}

func (l *requestLedger) answerReceived(a attemptAnswer) {
	if a.outcome == request.NotRun {
		l.notRun[a.attempt] = true
	}
}

func (l *requestLedger) requestEnded(r *callerRequest, o request.Outcome) {
	l.outcomes[r.id] = o
	l.idempotent[r.id] = r.idempotent
	if o == request.Unknown {
		l.unknown[r.reason]++
	}
}

// recordQueueTime records the time from arrival to start or refusal. Requests that were refused
// on arrival were not queued and are left out.
func (l *requestLedger) recordQueueTime(waited, left time.Duration, e request.Event) {
	if !e.Start && waited == 0 {
		return
	}
	l.queueRatios = append(l.queueRatios, float64(waited)/float64(left))
}

func (l *requestLedger) sample(a *requestAgent) {
	s := a.node.State()
	if a.dead || s.Queued+s.Parked == 0 {
		return
	}
	l.slotsUsedAll += uint64(s.Running)
	l.slotsAll += requestSlots
	if s.Queued > 0 {
		l.slotsUsed += uint64(s.Running)
		l.slots += requestSlots
	}
}

// result returns the measurements of the run.
func (w *requestWorld) result() RequestsResult {
	l := &w.ledger
	seconds := w.net.Now().Seconds()
	r := RequestsResult{
		Variant: string(w.variant), Seed: w.cfg.Seed, Requests: w.callers.started,
		Crossed: l.crossed, AnswersLost: l.answersLost, VirtualSeconds: seconds, Deaths: w.deaths,
		UnknownLost: l.unknown[request.ReasonAttemptLost], UnknownDeadline: l.unknown[request.ReasonDeadline],
		ControlBytesByKind:    l.bytesByKind,
		UnknownBroken:         l.unknown[request.ReasonBroken],
		ControlBytesPerSecond: float64(l.controlBytes) / seconds / requestAgents,
	}
	if l.slots > 0 {
		r.SlotUse = float64(l.slotsUsed) / float64(l.slots)
	}
	if l.slotsAll > 0 {
		r.SlotUseAll = float64(l.slotsUsedAll) / float64(l.slotsAll)
	}
	if w.store != nil {
		r.StoreWritesPerSecond = float64(w.store.writes) / seconds
	}
	w.countViolations(&r)
	slices.Sort(l.queueRatios)
	if n := len(l.queueRatios); n > 0 {
		r.QueueP99OverDeadline = l.queueRatios[n*99/100]
	}
	r.LateAnswers = w.lateAnswers
	for _, a := range w.agents {
		r.LateAnswers += a.lateAnswers()
	}
	return r
}

func (w *requestWorld) countViolations(r *RequestsResult) {
	l := &w.ledger
	unknown, notRun := 0, 0
	for id := 1; id <= w.callers.started; id++ {
		runs, outcome := l.runs[id], l.outcomes[id]
		r.UpstreamRuns += runs
		if runs > 1 && !l.idempotent[id] {
			r.RunTwice++
			w.trace("request %d ran %d times", id, runs)
		}
		switch outcome {
		case request.Unknown:
			unknown++
		case request.NotRun:
			notRun++
			if runs > 0 {
				r.NotRunButRun++
				w.trace("request %d was reported as not run but ran %d times", id, runs)
			}
		}
	}
	for attempt := range l.notRun {
		if l.attemptRuns[attempt] > 0 {
			r.NotRunButRun++
			w.trace("attempt %d was reported as not run but ran", attempt)
		}
	}
	r.UnknownShare = float64(unknown) / float64(r.Requests)
	r.RefusedShare = float64(notRun) / float64(r.Requests)
}

func (w *requestWorld) trace(format string, args ...any) {
	if w.cfg.Trace != nil {
		w.cfg.Trace(string(w.variant) + ": " + fmt.Sprintf(format, args...))
	}
}
