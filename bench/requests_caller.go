package bench

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/nutmegtrack/nutmegtrack/request"
)

const (
	idempotentShare = 0.5
	minDeadline     = 10 * time.Second
	maxDeadline     = 20 * time.Second
	attemptTimeout  = 3 * time.Second
	connectTimeout  = 500 * time.Millisecond
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second

	// The load, as a share of the capacity, alternates between one with spare capacity and
	// one that builds up a backlog.
	lowLoad, highLoad = 0.6, 1.2
	loadPeriod        = time.Minute
	highLoadTime      = 20 * time.Second
)

var requestPlans = [...]string{"gold", "silver", "bronze"}

// requestCallers simulates all callers, which share one address.
type requestCallers struct {
	w           *requestWorld
	rng         *rand.Rand
	addr        netip.AddrPort
	started     int
	lastAttempt int
	open        map[int]*callerRequest
}

// callerRequest is a request of a caller, with its latest attempt and the state of its retries.
type callerRequest struct {
	attemptMessage
	deadline   time.Duration
	attempts   int
	mayHaveRun bool // an earlier attempt may have run
	reason     request.Reason
	history    []string // recorded in traced runs
}

func newRequestCallers(w *requestWorld) *requestCallers {
	c := &requestCallers{w: w, rng: rand.New(rand.NewPCG(w.cfg.Seed, 12)), addr: requestAddr(60000), open: make(map[int]*callerRequest)}
	w.net.Attach(c.addr, "callers", c.receive)
	c.arrive()
	return c
}

func (c *requestCallers) finished() bool {
	return c.started >= c.w.cfg.Requests && len(c.open) == 0
}

// arrive starts a request and schedules the arrival of the next one.
func (c *requestCallers) arrive() {
	if c.started >= c.w.cfg.Requests {
		return
	}
	c.start()
	load := lowLoad
	if c.w.net.Now()%loadPeriod < highLoadTime {
		load = highLoad
	}
	mean := float64(minRunTime+maxRunTime) / 2 / (requestAgents * requestSlots) / load
	c.w.net.After(c.addr, time.Duration(c.rng.ExpFloat64()*mean), c.arrive)
}

func (c *requestCallers) start() {
	c.started++
	r := &callerRequest{deadline: c.w.net.Now() + minDeadline + time.Duration(c.rng.Int64N(int64(maxDeadline-minDeadline)))}
	r.id = c.started
	r.idempotent = c.rng.Float64() < idempotentShare
	r.plan = requestPlans[c.rng.IntN(len(requestPlans))]
	r.key = fmt.Sprintf("key-%d", r.id)
	c.open[r.id] = r
	c.sendAttempt(r)
}

// sendAttempt sends an attempt to a random agent.
func (c *requestCallers) sendAttempt(r *callerRequest) {
	left := r.deadline - c.w.net.Now()
	if left <= minRunTime {
		c.giveUp(r)
		return
	}
	c.lastAttempt++
	r.attempts++
	r.attempt = c.lastAttempt
	r.left, r.retry = left, r.mayHaveRun
	to := c.w.agents[c.rng.IntN(len(c.w.agents))]
	attempt := r.attempt
	c.record(r, "%v attempt %d to %v", c.w.net.Now(), attempt, to.addr)
	if to.paused || to.dead {
		// The VM does not accept a connection, so the attempt was not sent.
		c.w.net.After(c.addr, connectTimeout, func() { c.retryLater(r) })
		return
	}
	c.w.sendTCP(c.addr, to.addr, r.attemptMessage)
	c.w.net.After(c.addr, min(left, attemptTimeout), func() {
		if c.open[r.id] == r && r.attempt == attempt {
			r.mayHaveRun, r.reason = true, request.ReasonDeadline
			c.abandon(r, to.addr)
			c.sendAttempt(r)
		}
	})
}

// abandon cancels an attempt that was not answered in time, unless its request was sent with
// an idempotency key: then the next attempt with the key receives the answer.
func (c *requestCallers) abandon(r *callerRequest, to netip.AddrPort) {
	if r.idempotent || c.w.variant == withoutKeys {
		c.w.sendTCP(c.addr, to, attemptCancel{r.attempt})
	}
}

func (c *requestCallers) receive(_ time.Duration, _ netip.AddrPort, m any) any {
	answer, ok := m.(attemptAnswer)
	if !ok {
		return nil
	}
	c.w.ledger.answerReceived(answer)
	r := c.open[answer.id]
	c.record(r, "%v %v %v of attempt %d", c.w.net.Now(), answer.outcome, answer.reason, answer.attempt)
	if r == nil || r.attempt != answer.attempt && (r.idempotent || answer.outcome != request.Done) {
		return nil // late or duplicate
	}
	switch answer.outcome {
	case request.Done:
		c.verifyAnswer(answer)
		c.end(r, request.Done)
	case request.NotRun:
		c.retryLater(r)
	default:
		c.handleUnknown(r, answer.reason)
	}
	return nil
}

// verifyAnswer verifies that an answer belongs to its request.
func (c *requestCallers) verifyAnswer(a attemptAnswer) {
	if a.answer == nil && a.reason == request.ReasonAnswerLost {
		c.w.ledger.answersLost++
		return
	}
	if a.answer == nil || len(a.answer.Body) != 8 || binary.BigEndian.Uint64(a.answer.Body) != uint64(a.id) {
		c.w.ledger.crossed++
	}
}

// handleUnknown handles an unknown outcome. An idempotent request is retried. For a request
// with a key the outcome is final if its attempt was lost or broke off. In the variant
// without keys callers retry, as many clients do.
func (c *requestCallers) handleUnknown(r *callerRequest, reason request.Reason) {
	r.mayHaveRun, r.reason = true, reason
	final := reason == request.ReasonAttemptLost || reason == request.ReasonBroken
	if final && !r.idempotent && c.w.variant != withoutKeys {
		c.end(r, request.Unknown)
		return
	}
	c.retryLater(r)
}

func (c *requestCallers) retryLater(r *callerRequest) {
	r.attempt = 0
	attempts := r.attempts
	limit := min(minBackoff<<min(r.attempts, 5), maxBackoff)
	c.w.net.After(c.addr, time.Duration(c.rng.Int64N(int64(limit))), func() {
		if c.open[r.id] == r && r.attempts == attempts {
			c.sendAttempt(r)
		}
	})
}

// giveUp ends a request at its deadline. Its outcome is NotRun only if no attempt may have
// run.
func (c *requestCallers) giveUp(r *callerRequest) {
	if r.mayHaveRun {
		c.end(r, request.Unknown)
		return
	}
	c.end(r, request.NotRun)
}

// record adds a line to the history of a request. It does so only in traced runs.
func (c *requestCallers) record(r *callerRequest, format string, args ...any) {
	if r != nil && c.w.cfg.Trace != nil {
		r.history = append(r.history, fmt.Sprintf(format, args...))
	}
}

func (c *requestCallers) end(r *callerRequest, o request.Outcome) {
	delete(c.open, r.id)
	c.w.ledger.requestEnded(r, o)
	if o == request.Unknown {
		c.w.trace("request %d (idempotent %v) ended as unknown: %s", r.id, r.idempotent, strings.Join(r.history, "; "))
	}
}
