package request

import "time"

// MaxBodyBytes is the default limit on the body of a stored answer.
const MaxBodyBytes = 64 << 10

// AttemptsConfig holds the parameters of Attempts. Zero fields take the default.
type AttemptsConfig struct {
	// Retention is how long an outcome is stored after the attempt ended; default
	// 15 min.
	Retention time.Duration
	// MaxBodyBytes limits the body of a stored answer; default 64 KB.
	MaxBodyBytes int
	// MaxTotalBytes limits the sum of all stored bodies; default 64 MB. Of answers
	// beyond it only the status is stored.
	MaxTotalBytes int
}

func (c AttemptsConfig) withDefaults() AttemptsConfig {
	if c.Retention == 0 {
		c.Retention = 15 * time.Minute
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = MaxBodyBytes
	}
	if c.MaxTotalBytes == 0 {
		c.MaxTotalBytes = 64 << 20
	}
	return c
}

// Attempts stores the outcomes and answers of this agent's attempts so that retries
// can receive them.
type Attempts struct {
	cfg       AttemptsConfig
	table     map[AttemptID]*attempt
	expiry    []expiringAttempt
	bodyBytes int // sum of the stored bodies

	// LateOutcomes counts outcomes of attempts that had already ended or are not in the table.
	LateOutcomes uint64
	// KeyMismatches counts outcomes whose key differs from the key of their attempt.
	KeyMismatches uint64
}

type attempt struct {
	key     Key
	sent    bool // bytes of the request may have reached the upstream
	ended   bool
	outcome Outcome
	reason  Reason
	answer  *Answer
}

type expiringAttempt struct {
	id AttemptID
	at time.Duration
}

// NewAttempts returns an empty table.
func NewAttempts(cfg AttemptsConfig) *Attempts {
	return &Attempts{cfg: cfg.withDefaults(), table: make(map[AttemptID]*attempt)}
}

// Open adds an attempt without an outcome.
func (t *Attempts) Open(id AttemptID, k Key) {
	_, found := t.table[id]
	check(!found, "attempt %v opened twice", id)
	t.table[id] = &attempt{key: k}
}

// Sent records that bytes of the request may reach the upstream from now on.
func (t *Attempts) Sent(id AttemptID) {
	if a := t.table[id]; a != nil {
		check(!a.ended || a.outcome != NotRun, "attempt %v sent to the upstream after it was reported as not run", id)
		a.sent = true
	}
}

// End sets the outcome of an attempt and reports whether it did. An outcome for an
// attempt that has already ended or has another key is dropped and counted.
func (t *Attempts) End(now time.Duration, id AttemptID, k Key, o Outcome, reason Reason, answer *Answer) bool {
	a := t.table[id]
	if a == nil || a.ended {
		t.LateOutcomes++
		return false
	}
	if a.key != k {
		t.KeyMismatches++
		return false
	}
	a.checkOutcome(id, o)
	a.ended, a.outcome, a.reason, a.answer = true, o, reason, t.limitBody(answer)
	t.expiry = append(t.expiry, expiringAttempt{id, now + t.cfg.Retention})
	return true
}

func (a *attempt) checkOutcome(id AttemptID, o Outcome) {
	check(o != NotRun || !a.sent, "attempt %v reported as not run after its request may have reached the upstream", id)
}

// Discard ends and removes an attempt that no retry will query.
func (t *Attempts) Discard(id AttemptID, o Outcome) {
	a := t.table[id]
	if a == nil {
		t.LateOutcomes++
		return
	}
	a.checkOutcome(id, o)
	delete(t.table, id)
}

// limitBody returns the answer as it is stored: only its status if the body exceeds
// MaxBodyBytes or the sum of the stored bodies would exceed MaxTotalBytes.
func (t *Attempts) limitBody(a *Answer) *Answer {
	if a == nil {
		return nil
	}
	if n := len(a.Body); n <= t.cfg.MaxBodyBytes && t.bodyBytes+n <= t.cfg.MaxTotalBytes {
		t.bodyBytes += n
		return a
	}
	return &Answer{Status: a.Status, TooLong: true}
}

// Find answers another attempt's query for the outcome of an attempt.
func (t *Attempts) Find(m Message, self Process) Message {
	reply := Message{Kind: KindFindReply, From: self, To: m.From, Key: m.Key, Attempt: m.Attempt, Other: m.Other}
	a := t.table[m.Other.withoutRound()]
	switch {
	case a == nil || a.key != m.Key:
		// The attempt has expired or belonged to an earlier process: its outcome is
		// unknown.
		reply.Verdict, reply.Outcome, reply.Reason = Ended, Unknown, ReasonAttemptLost
	case !a.ended:
		reply.Verdict = Pending
	default:
		reply.Verdict, reply.Outcome, reply.Reason, reply.Answer = Ended, a.outcome, a.reason, a.answer
	}
	return reply
}

// Step removes the outcomes whose retention time has passed.
func (t *Attempts) Step(now time.Duration) {
	i := 0
	for ; i < len(t.expiry) && t.expiry[i].at <= now; i++ {
		t.forget(t.expiry[i].id)
	}
	t.expiry = t.expiry[i:]
}

// forget removes an attempt and its answer.
func (t *Attempts) forget(id AttemptID) {
	if a := t.table[id]; a != nil && a.answer != nil {
		t.bodyBytes -= len(a.answer.Body)
	}
	delete(t.table, id)
}
