package request

import "time"

// MaxBodyBytes is the default bound of the body of an answer that is kept.
const MaxBodyBytes = 64 << 10

// AttemptsConfig holds the parameters of Attempts. Zero fields take the default.
type AttemptsConfig struct {
	// Retention is how long an outcome is kept after its end; default 15 min.
	Retention time.Duration
	// MaxBodyBytes bounds the body of an answer that is kept; default 64 KB.
	MaxBodyBytes int
	// MaxTotalBytes bounds all bodies that are kept; default 64 MB. Answers beyond it
	// are remembered without a body.
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

// Attempts keeps what became of this agent's attempts, for retries.
type Attempts struct {
	cfg   AttemptsConfig
	table map[AttemptID]*attempt
	ended []expiringAttempt
	bytes int // of the bodies kept

	// Late counts answers for attempts that had ended or are not known.
	Late uint64
	// Crossed counts answers whose key is not that of their attempt.
	Crossed uint64
}

type attempt struct {
	key     Key
	sent    bool // a byte reached the upstream
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

// Open adds an attempt.
func (t *Attempts) Open(id AttemptID, k Key) {
	_, found := t.table[id]
	check(!found, "attempt %v is opened twice", id)
	t.table[id] = &attempt{key: k}
}

// Sent notes that a byte of the attempt reached the upstream.
func (t *Attempts) Sent(id AttemptID) {
	if a := t.table[id]; a != nil {
		check(!a.ended || a.outcome != NotRun, "attempt %v is sent after it was told not run", id)
		a.sent = true
	}
}

// End sets the outcome of an attempt once; a later one is dropped and counted.
func (t *Attempts) End(now time.Duration, id AttemptID, k Key, o Outcome, reason Reason, answer *Answer) bool {
	a := t.table[id]
	if a == nil || a.ended {
		t.Late++
		return false
	}
	if a.key != k {
		t.Crossed++
		return false
	}
	check(o != NotRun || !a.sent, "attempt %v is told not run after a byte reached the upstream", id)
	a.ended, a.outcome, a.reason, a.answer = true, o, reason, t.kept(answer)
	t.ended = append(t.ended, expiringAttempt{id, now + t.cfg.Retention})
	return true
}

// kept returns the part of an answer that is kept.
func (t *Attempts) kept(a *Answer) *Answer {
	if a == nil {
		return nil
	}
	if n := len(a.Body); n <= t.cfg.MaxBodyBytes && t.bytes+n <= t.cfg.MaxTotalBytes {
		t.bytes += n
		return a
	}
	return &Answer{Status: a.Status, TooLong: true}
}

// Find answers what became of an attempt.
func (t *Attempts) Find(m Message, self Process) Message {
	reply := Message{Kind: KindFindReply, From: self, To: m.From, Key: m.Key, Attempt: m.Attempt, Other: m.Other}
	a := t.table[m.Other.first()]
	switch {
	case a == nil || a.key != m.Key:
		// Forgotten, or of an earlier process: nothing is known.
		reply.Verdict, reply.Outcome, reply.Reason = Ended, Unknown, ReasonAttemptLost
	case !a.ended:
		reply.Verdict = Pending
	default:
		reply.Verdict, reply.Outcome, reply.Reason, reply.Answer = Ended, a.outcome, a.reason, a.answer
	}
	return reply
}

// Step forgets old outcomes.
func (t *Attempts) Step(now time.Duration) {
	i := 0
	for ; i < len(t.ended) && t.ended[i].at <= now; i++ {
		t.Forget(t.ended[i].id)
	}
	t.ended = t.ended[i:]
}

// Forget removes an attempt that nobody will ask for.
func (t *Attempts) Forget(id AttemptID) {
	if a := t.table[id]; a != nil && a.answer != nil {
		t.bytes -= len(a.answer.Body)
	}
	delete(t.table, id)
}
