package request

import (
	"math/rand/v2"
	"slices"
	"time"
)

// NodeConfig holds the parameters of a Node. Zero fields take the default.
type NodeConfig struct {
	Gate      GateConfig
	Registrar RegistrarConfig
	Claims    ClaimsConfig
	Attempts  AttemptsConfig
	// ClaimAhead is the number of requests at the head of the queue that may claim their
	// keys before a slot is free; default 3. Requests without a key count too; requests
	// that are parked do not. If the agent dies, the outcome of every request that holds
	// its key at both registrars is unknown to its retries, so the rest of the
	// queue does not claim.
	ClaimAhead int
	// MaxParked is the maximum number of parked requests, which wait outside the queue for
	// the outcome of another attempt or for a stalled claim; default 64. The wait for
	// another attempt is limited only by the deadline.
	MaxParked int
	// MaxStall is how long a request stays parked because of a stalled claim before it is
	// refused; default 1 s.
	MaxStall time.Duration
}

// Request describes a request to a Node.
type Request struct {
	Plan     string        // selects the share of the slots; package httpfront leaves it empty
	Deadline time.Duration // on the clock whose time is passed to the Node
	Key      Key
	Keyed    bool // starts only with the grants of both registrars of Key
	Retry    bool // the caller does not know whether an earlier attempt ran
}

// Event notifies the owner of a Node that a request has to start or has ended.
type Event struct {
	Ticket Ticket
	Start  bool // send the request to the upstream; if false, the request has ended
	// Outcome, Reason and Answer are set if the request has ended. For a request that
	// was not started, Answer is that of the attempt that holds the key.
	Outcome Outcome
	Reason  Reason
	Answer  *Answer
}

// Node schedules the requests of one agent.
type Node struct {
	cfg       NodeConfig
	self      Process
	rng       *rand.Rand
	gate      *Gate
	registrar *Registrar
	claims    *Claims
	attempts  *Attempts

	lastTicket Ticket
	requests   map[Ticket]*requestEntry
	byID       map[AttemptID]Ticket
	parked     []Ticket // ordered by the time at which they left the queue
	draining   bool
	out        []Message
	events     []Event
}

type requestEntry struct {
	Request
	id        AttemptID
	claimSent bool          // has claimed its key; says nothing about grants
	started   bool          // occupies a slot
	ended     bool          // has an outcome
	notRun    bool          // its outcome was reported as NotRun
	parkedAt  time.Duration // when it was last parked
}

// NewNode returns a Node without requests. It grants no key and runs no keyed request
// until SetMembers is called.
func NewNode(cfg NodeConfig, self Process, rng *rand.Rand) *Node {
	if cfg.ClaimAhead == 0 {
		cfg.ClaimAhead = 3
	}
	if cfg.MaxParked == 0 {
		cfg.MaxParked = 64
	}
	if cfg.MaxStall == 0 {
		cfg.MaxStall = time.Second
	}
	return &Node{
		cfg: cfg, self: self, rng: rng,
		gate:      NewGate(cfg.Gate),
		registrar: NewRegistrar(cfg.Registrar, self),
		claims:    NewClaims(cfg.Claims, self),
		attempts:  NewAttempts(cfg.Attempts),
		requests:  make(map[Ticket]*requestEntry),
		byID:      make(map[AttemptID]Ticket),
	}
}

// SetMembers adopts a membership: the running agents of the service, including this one.
func (n *Node) SetMembers(now time.Duration, members []Member) {
	n.registrar.SetMembers(now, members)
	n.claims.SetMembers(now, members)
}

// Submit queues or refuses a request. Its start and its outcome follow as events.
func (n *Node) Submit(now time.Duration, r Request) Ticket {
	n.lastTicket++
	t := n.lastTicket
	id := AttemptID{Number: n.rng.Uint64(), Agent: n.self.ID, Incarnation: n.self.Incarnation}
	n.requests[t] = &requestEntry{Request: r, id: id}
	n.byID[id] = t
	n.attempts.Open(id, r.Key)
	if n.draining {
		n.end(now, t, NotRun, ReasonDraining, nil)
	} else if reason := n.gate.Offer(now, t, r); reason != ReasonNone {
		n.end(now, t, NotRun, reason, nil)
	}
	n.advance(now)
	return t
}

// Drain refuses all requests that have not started and all new ones.
func (n *Node) Drain(now time.Duration) {
	n.draining = true
	for n.gate.Queued() > 0 {
		var first Ticket
		n.gate.Each(func(t Ticket) bool { first = t; return false })
		n.refuse(now, first, ReasonDraining)
	}
	for len(n.parked) > 0 {
		n.refuse(now, n.parked[0], ReasonDraining)
	}
}

// Cancel ends a request whose caller has disconnected. The slot of a started request
// stays in use until Free. Package httpfront does not call it for started requests.
func (n *Node) Cancel(now time.Duration, t Ticket) {
	r := n.requests[t]
	if r == nil || r.ended {
		return
	}
	if !r.started {
		n.refuse(now, t, ReasonCanceled)
		return
	}
	n.end(now, t, Unknown, ReasonCanceled, nil)
}

// Sent records that bytes of the request may reach the upstream from now on. It must be
// called before the first write.
func (n *Node) Sent(t Ticket) {
	if r := n.requests[t]; r != nil {
		check(r.started && (!r.Keyed || r.claimSent), "request %d sent to the upstream before it was started", t)
		check(!r.notRun, "request %d sent to the upstream after it was reported as not run", t)
		n.attempts.Sent(r.id)
	}
}

// Finish sets the outcome of a started request. It returns false if the request has
// already ended; the answer must then be dropped.
func (n *Node) Finish(now time.Duration, t Ticket, o Outcome, reason Reason, answer *Answer) bool {
	r := n.requests[t]
	if r == nil || r.ended {
		n.attempts.LateOutcomes++
		return false
	}
	n.end(now, t, o, reason, answer)
	return true
}

// Free frees the slot of a started request that the upstream no longer processes.
func (n *Node) Free(now time.Duration, t Ticket) {
	if r := n.requests[t]; r != nil && r.started {
		check(r.ended, "slot of request %d freed before the request ended", t)
		n.gate.Free(now, t)
		delete(n.requests, t)
	}
	n.advance(now)
}

// refuse ends a request that is queued or parked.
func (n *Node) refuse(now time.Duration, t Ticket, reason Reason) {
	n.dequeue(t)
	n.end(now, t, n.refusalOutcome(t), reason, nil)
}

// dequeue removes a request from the queue or from the parked requests and reports
// whether it was there.
func (n *Node) dequeue(t Ticket) bool {
	if i := slices.Index(n.parked, t); i >= 0 {
		n.parked = slices.Delete(n.parked, i, i+1)
		return true
	}
	return n.gate.Remove(t)
}

// refusalOutcome returns the outcome of a request that is refused after it was queued. If
// another attempt is known to hold its key, that attempt may run or have run.
func (n *Node) refusalOutcome(t Ticket) Outcome {
	if n.claims.MayRunElsewhere(n.requests[t].id) {
		return Unknown
	}
	return NotRun
}

func (n *Node) end(now time.Duration, t Ticket, o Outcome, reason Reason, answer *Answer) {
	r := n.requests[t]
	ownAnswer := answer
	if !r.started && o != NotRun {
		ownAnswer = nil // the answer is the holder's
	}
	if r.Keyed {
		n.attempts.End(now, r.id, r.Key, n.ownOutcome(r, o), reason, ownAnswer)
	} else {
		n.attempts.Discard(r.id, n.ownOutcome(r, o)) // only retries with the same key query attempts
	}
	r.ended, r.notRun = true, o == NotRun
	n.claims.End(r.id, n.ownOutcome(r, o))
	delete(n.byID, r.id)
	if !r.started {
		delete(n.requests, t)
	}
	n.events = append(n.events, Event{Ticket: t, Outcome: o, Reason: reason, Answer: answer})
}

// ownOutcome returns the outcome of the attempt itself: an attempt that received the
// holder's outcome has not run.
func (n *Node) ownOutcome(r *requestEntry, o Outcome) Outcome {
	if !r.started {
		return NotRun
	}
	return o
}

// Step performs the work that is due by now. It must be called every few milliseconds.
func (n *Node) Step(now time.Duration) {
	n.attempts.Step(now)
	n.out = append(n.out, n.registrar.Step(now)...)
	n.claims.Step(now)
	n.advance(now)
}

// advance refuses expired requests, claims the keys of the requests at the head of the
// queue and starts the requests that may start.
func (n *Node) advance(now time.Duration) {
	for _, t := range n.gate.RemoveExpired(now) {
		n.end(now, t, n.refusalOutcome(t), n.expiryReason(now, t), nil)
	}
	n.applyHolderOutcomes(now)
	n.unpark(now)
	n.claimAhead(now)
	for {
		t, ok := n.gate.Next(now, func(t Ticket) bool { return n.ready(now, t) })
		if !ok {
			break
		}
		n.start(now, t)
	}
	n.claimAhead(now)
}

// expiryReason returns the reason for refusing an expired request: ReasonNoPermit if it
// claimed its key and still lacks a grant, ReasonTooLate if it waited for a slot.
func (n *Node) expiryReason(now time.Duration, t Ticket) Reason {
	if r := n.requests[t]; r.Keyed && r.claimSent && !n.claims.Ready(now, r.id) {
		return ReasonNoPermit
	}
	return ReasonTooLate
}

// claimAhead claims the keys of the first queued requests. Requests that wait for another
// attempt or for a registrar are parked, so that they do not block others.
func (n *Node) claimAhead(now time.Duration) {
	left := n.cfg.ClaimAhead
	var park []Ticket
	n.gate.Each(func(t Ticket) bool {
		n.claim(now, t)
		if n.isBlocked(now, n.requests[t]) {
			park = append(park, t)
		} else {
			left--
		}
		return left > 0
	})
	for _, t := range park {
		n.park(now, t)
	}
}

// isBlocked reports whether a request cannot run yet because another attempt holds its key
// or its claim is stalled.
func (n *Node) isBlocked(now time.Duration, r *requestEntry) bool {
	return r.Keyed && (n.claims.Contested(r.id) || n.claims.Stalled(now, r.id))
}

func (n *Node) park(now time.Duration, t Ticket) {
	if len(n.parked) >= n.cfg.MaxParked {
		n.refuse(now, t, ReasonNoPermit)
		return
	}
	n.gate.Remove(t)
	n.requests[t].parkedAt = now
	n.parked = append(n.parked, t)
}

// unpark returns requests that no longer wait to the queue and refuses those that are
// too late or were stalled for MaxStall.
func (n *Node) unpark(now time.Duration) {
	for i := 0; i < len(n.parked); i++ {
		t := n.parked[i]
		r := n.requests[t]
		switch {
		case n.gate.TooLate(now, r.Deadline), !n.claims.Contested(r.id) && now-r.parkedAt >= n.cfg.MaxStall:
			n.refuse(now, t, ReasonNoPermit)
		case !n.isBlocked(now, r):
			n.parked = slices.Delete(n.parked, i, i+1)
			n.gate.Restore(now, t, r.Plan, r.Deadline)
		default:
			continue
		}
		i--
	}
}

func (n *Node) claim(now time.Duration, t Ticket) {
	if r := n.requests[t]; r.Keyed && !r.claimSent {
		r.claimSent = true
		n.claims.Claim(now, r.id, r.Key)
	}
}

func (n *Node) ready(now time.Duration, t Ticket) bool {
	r := n.requests[t]
	return !r.Keyed || r.claimSent && n.claims.Ready(now, r.id)
}

func (n *Node) start(now time.Duration, t Ticket) {
	r := n.requests[t]
	if r.Keyed {
		n.claims.Started(now, r.id)
	}
	r.started = true
	n.events = append(n.events, Event{Ticket: t, Start: true})
}

// applyHolderOutcomes ends requests with the outcomes of the attempts that hold their keys.
func (n *Node) applyHolderOutcomes(now time.Duration) {
	out, found := n.claims.Take()
	n.out = append(n.out, out...)
	for _, f := range found {
		if t, known := n.byID[f.Attempt]; known && n.dequeue(t) {
			n.end(now, t, f.Outcome, f.Reason, f.Answer)
		}
	}
}

// Handle processes a message from an agent.
func (n *Node) Handle(now time.Duration, m Message) {
	if m.To != n.self {
		return // meant for an earlier process at this address
	}
	switch m.Kind {
	case KindClaim:
		n.out = append(n.out, n.registrar.Claim(now, m))
	case KindRelease:
		n.registrar.Release(m.Key, m.Attempt)
	case KindDone:
		n.registrar.Done(m.Key, m.Attempt)
	case KindClaimReply:
		n.claims.HandleClaimReply(now, m)
	case KindFind:
		n.out = append(n.out, n.answerFind(now, m))
	case KindFindReply:
		n.claims.HandleFindReply(now, m)
	case KindPull:
		if reply, ok := n.registrar.HandlePull(now, m); ok {
			n.out = append(n.out, reply)
		}
	case KindPullReply:
		n.registrar.HandlePullReply(now, m)
	}
	n.advance(now)
}

func (n *Node) answerFind(now time.Duration, m Message) Message {
	if n.claims.MustYield(m) {
		n.claims.Yield(now, m.Other, m.Attempt)
	}
	reply := n.attempts.Find(m, n.self)
	if reply.Verdict == Pending && n.claims.IsPastRound(m.Other) {
		reply.Verdict, reply.Outcome = Ended, NotRun
	}
	return reply
}

// Take returns the messages to send and the events since the last call. Messages to the
// Node itself are handled immediately.
func (n *Node) Take(now time.Duration) ([]Message, []Event) {
	for {
		n.applyHolderOutcomes(now)
		i := slices.IndexFunc(n.out, func(m Message) bool { return m.To == n.self })
		if i < 0 {
			break
		}
		m := n.out[i]
		n.out = slices.Delete(n.out, i, i+1)
		n.Handle(now, m)
	}
	out, events := n.out, n.events
	n.out, n.events = nil, nil
	return out, events
}

// State is a summary of a Node for the state dump of the process.
type State struct {
	Running, Queued, Parked, Records int
	Complete                         bool
	// Late is the sum of Attempts.LateOutcomes and Claims.LateReplies; Crossed is
	// Attempts.KeyMismatches.
	Late, Crossed uint64
	Registrar     RegistrarCounts
}

// State returns a summary of the Node.
func (n *Node) State() State {
	return State{
		Running: n.gate.Running(), Queued: n.gate.Queued(), Parked: len(n.parked), Records: n.registrar.Len(),
		Complete: n.registrar.complete == n.registrar.current,
		Late:     n.attempts.LateOutcomes + n.claims.LateReplies, Crossed: n.attempts.KeyMismatches,
		Registrar: n.registrar.Counts,
	}
}

// RetryDelay returns the time after which a refused caller may retry.
func (n *Node) RetryDelay() time.Duration { return n.gate.RetryDelay() }

// Idle reports whether no request is queued, parked or in a slot. Stored answers and
// records do not count.
func (n *Node) Idle() bool { return len(n.requests) == 0 }
