package bench

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/request"
)

const (
	minRunTime       = 100 * time.Millisecond
	maxRunTime       = 400 * time.Millisecond
	coldTime         = 10 * time.Second
	coldFactor       = 3
	slowFactor       = 4
	faultTime        = 20 * time.Second
	faultProbability = 0.002 // probability in each second that an upstream becomes slow, and that it starts to shed
	shedProbability  = 0.2   // share of requests that a shedding upstream refuses with statusShed, without running them
	breakProbability = 0.0001
	maxCancelDelay   = 100 * time.Millisecond // maximum time from a cancellation to the end of the request
	statusOK         = 200
	statusShed       = 503
	stepsPerSecond   = int(time.Second / requestStep)
)

// requestUpstream simulates an upstream. Its runs are recorded in the ledger of the
// requestWorld, because the ledger remains after the upstream has died.
type requestUpstream struct {
	a         *requestAgent
	coldUntil time.Duration
	slowUntil time.Duration
	shedUntil time.Duration
	running   map[request.Ticket]*upstreamRun
	steps     int
}

type upstreamRun struct {
	attempt  *agentAttempt
	canceled bool
}

func newRequestUpstream(a *requestAgent, warm bool) *requestUpstream {
	u := &requestUpstream{a: a, running: make(map[request.Ticket]*upstreamRun)}
	if !warm {
		u.coldUntil = a.w.net.Now() + coldTime
	}
	return u
}

func (u *requestUpstream) has(t request.Ticket) bool { return u.running[t] != nil }

// step makes the upstream slow or shedding at random times, and cancels requests whose
// deadline has passed.
func (u *requestUpstream) step(now time.Duration) {
	u.steps++
	if u.steps%stepsPerSecond == 0 {
		if u.a.w.rng.Float64() < faultProbability {
			u.slowUntil = now + faultTime
		}
		if u.a.w.rng.Float64() < faultProbability {
			u.shedUntil = now + faultTime
		}
	}
	for _, t := range u.tickets() {
		if r := u.running[t]; !r.canceled && now >= r.attempt.deadline {
			u.a.node.Finish(now, t, request.Unknown, request.ReasonDeadline, nil)
			u.cancel(t)
			u.a.flush()
		}
	}
}

func (u *requestUpstream) tickets() []request.Ticket {
	out := make([]request.Ticket, 0, requestSlots)
	for t := range u.running {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// run starts a request. It is recorded as run unless the upstream sheds it.
func (u *requestUpstream) run(t request.Ticket, c *agentAttempt) {
	now, rng := u.a.w.net.Now(), u.a.w.rng
	u.a.node.Sent(t)
	u.running[t] = &upstreamRun{attempt: c}
	if now < u.shedUntil && rng.Float64() < shedProbability {
		u.after(time.Millisecond, func() { u.finish(t, &request.Answer{Status: statusShed, Body: answerBody(c.id)}) })
		return
	}
	u.a.w.ledger.attemptRan(c)
	runTime := minRunTime + time.Duration(rng.Int64N(int64(maxRunTime-minRunTime)))
	if now < u.coldUntil {
		runTime *= coldFactor
	}
	if now < u.slowUntil {
		runTime *= slowFactor
	}
	if rng.Float64() < breakProbability {
		u.after(runTime, func() { u.breakAttempt(t) })
		return
	}
	u.after(runTime, func() { u.finish(t, &request.Answer{Status: statusOK, Body: answerBody(c.id)}) })
}

// after calls f after d unless the VM has died. A paused agent calls f when it resumes.
func (u *requestUpstream) after(d time.Duration, f func()) {
	u.a.w.net.After(u.a.addr, d, func() {
		if u.a.paused {
			u.a.deferred = append(u.a.deferred, f)
			return
		}
		f()
	})
}

func (u *requestUpstream) finish(t request.Ticket, answer *request.Answer) {
	r := u.running[t]
	if r == nil {
		return
	}
	now := u.a.w.net.Now()
	u.a.node.Finish(now, t, request.Done, request.ReasonNone, answer)
	u.release(t)
}

func (u *requestUpstream) breakAttempt(t request.Ticket) {
	if u.running[t] == nil {
		return
	}
	u.a.node.Finish(u.a.w.net.Now(), t, request.Unknown, request.ReasonBroken, nil)
	u.release(t)
}

// cancel cancels a request. The upstream stops processing it after a random delay.
func (u *requestUpstream) cancel(t request.Ticket) {
	r := u.running[t]
	if r == nil || r.canceled {
		return
	}
	r.canceled = true
	u.after(time.Duration(u.a.w.rng.Int64N(int64(maxCancelDelay))), func() {
		if u.running[t] != nil {
			u.release(t)
		}
	})
}

func (u *requestUpstream) release(t request.Ticket) {
	delete(u.running, t)
	u.a.flush()
	u.a.node.Free(u.a.w.net.Now(), t)
	delete(u.a.attempts, t)
	u.a.flush()
}

func answerBody(id int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(id)) }
