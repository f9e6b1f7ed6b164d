package request

import (
	"math/rand/v2"
	"slices"
	"time"
)

// NodeConfig holds the parameters of a node. Zero fields take the default.
type NodeConfig struct {
	Gate      GateConfig
	Registrar RegistrarConfig
	Claims    ClaimsConfig
	Attempts  AttemptsConfig
	// ClaimAhead is the number of queued requests that claim their keys before a
	// slot is free; default 3. An agent that dies leaves the outcome of all claimed
	// requests unknown, so the rest of the queue does not claim.
	ClaimAhead int
	// Parked is the number of requests that wait outside the queue for another
	// attempt or for a registrar that does not grant; default 64.
	Parked int
	// MaxStall is the longest wait for registrars that do not grant; default 1 s.
	MaxStall time.Duration
}

// Request is what a node needs to know of a request.
type Request struct {
	Plan     string
	Deadline time.Duration // on the node's clock
	Key      Key
	Keyed    bool // runs only under a permit
	Retry    bool // the caller does not know whether an earlier attempt ran
}

// Event tells the owner of a node what to do with a request.
type Event struct {
	Ticket Ticket
	Start  bool // send the request to the upstream; otherwise the request has ended
	// Outcome, Reason and Answer are set at the end. An answer is that of an earlier
	// attempt.
	Outcome Outcome
	Reason  Reason
	Answer  *Answer
}

// Node makes one agent's decisions on requests.
type Node struct {
	cfg       NodeConfig
	self      Process
	rng       *rand.Rand
	gate      *Gate
	registrar *Registrar
	claims    *Claims
	attempts  *Attempts

	last     Ticket
	requests map[Ticket]*entry
	byID     map[AttemptID]Ticket
	parked   []Ticket // in the order in which they left the queue
	draining bool
	out      []Message
	events   []Event
}

type entry struct {
	Request
	id      AttemptID
	claimed bool
	started bool // holds a slot
	ended   bool // has an outcome
	notRun  bool // was told not run
	parked  time.Duration
}

// NewNode returns a node without requests. Until SetMembers it grants and runs no
// keyed request.
func NewNode(cfg NodeConfig, self Process, rng *rand.Rand) *Node {
	if cfg.ClaimAhead == 0 {
		cfg.ClaimAhead = 3
	}
	if cfg.Parked == 0 {
		cfg.Parked = 64
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
		requests:  make(map[Ticket]*entry),
		byID:      make(map[AttemptID]Ticket),
	}
}

// SetMembers adopts a membership of the service's running agents, self included.
func (n *Node) SetMembers(now time.Duration, members []Member) {
	n.registrar.SetMembers(now, members)
	n.claims.SetMembers(now, members)
}

// Submit queues a request or refuses it. Its outcome follows as an event.
func (n *Node) Submit(now time.Duration, r Request) Ticket {
	n.last++
	t := n.last
	id := AttemptID{Number: n.rng.Uint64(), Agent: n.self.ID, Incarnation: n.self.Incarnation}
	n.requests[t] = &entry{Request: r, id: id}
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

// Drain refuses all requests that have not started, and new ones.
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

// Cancel ends a request whose caller has gone away. The slot of a request that runs
// stays in use until Free.
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

// Sent notes that a byte of the request reached the upstream. It is called before
// the first write.
func (n *Node) Sent(t Ticket) {
	if r := n.requests[t]; r != nil {
		check(r.started && (!r.Keyed || r.claimed), "request %d is sent before its start", t)
		check(!r.notRun, "request %d is sent after it was told not run", t)
		n.attempts.Sent(r.id)
	}
}

// Finish sets the outcome of a request that was started. It returns false for one
// that had ended before; its answer must then be dropped.
func (n *Node) Finish(now time.Duration, t Ticket, o Outcome, reason Reason, answer *Answer) bool {
	r := n.requests[t]
	if r == nil || r.ended {
		n.attempts.Late++
		return false
	}
	n.end(now, t, o, reason, answer)
	return true
}

// Free frees the slot of a request that was started: the upstream has let go.
func (n *Node) Free(now time.Duration, t Ticket) {
	if r := n.requests[t]; r != nil && r.started {
		check(r.ended, "the slot of request %d is freed before its end", t)
		n.gate.Free(now, t)
		delete(n.requests, t)
	}
	n.advance(now)
}

// refuse ends a request that is still queued.
func (n *Node) refuse(now time.Duration, t Ticket, reason Reason) {
	n.dequeue(t)
	n.end(now, t, n.refusal(t), reason, nil)
}

// dequeue takes a request out of the queue or the parked ones.
func (n *Node) dequeue(t Ticket) bool {
	if i := slices.Index(n.parked, t); i >= 0 {
		n.parked = slices.Delete(n.parked, i, i+1)
		return true
	}
	return n.gate.Remove(t)
}

// refusal is the outcome of a request that leaves the queue. When another attempt is
// known to hold its key, the request may be running there.
func (n *Node) refusal(t Ticket) Outcome {
	if n.claims.Contested(n.requests[t].id) {
		return Unknown
	}
	return NotRun
}

func (n *Node) end(now time.Duration, t Ticket, o Outcome, reason Reason, answer *Answer) {
	r := n.requests[t]
	own := answer
	if !r.started && o != NotRun {
		own = nil // an earlier attempt's
	}
	n.attempts.End(now, r.id, r.Key, n.ownOutcome(r, o), reason, own)
	if !r.Keyed {
		n.attempts.Forget(r.id) // only retries with the key ask for attempts
	}
	r.ended, r.notRun = true, o == NotRun
	n.claims.End(r.id, n.ownOutcome(r, o))
	delete(n.byID, r.id)
	if !r.started {
		delete(n.requests, t)
	}
	n.events = append(n.events, Event{Ticket: t, Outcome: o, Reason: reason, Answer: answer})
}

// ownOutcome is what became of this very attempt: one that got the outcome of an
// earlier attempt has not run itself.
func (n *Node) ownOutcome(r *entry, o Outcome) Outcome {
	if !r.started {
		return NotRun
	}
	return o
}

// Step advances all tables. It is called each few milliseconds.
func (n *Node) Step(now time.Duration) {
	n.attempts.Step(now)
	n.out = append(n.out, n.registrar.Step(now)...)
	n.claims.Step(now)
	n.advance(now)
}

// advance refuses what is late, claims for the head of the queue and starts what may
// start.
func (n *Node) advance(now time.Duration) {
	for _, t := range n.gate.Expired(now) {
		n.end(now, t, n.refusal(t), n.lateReason(now, t), nil)
	}
	n.takeFound(now)
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

// lateReason tells a request that waited for its permit from one that waited for a
// slot.
func (n *Node) lateReason(now time.Duration, t Ticket) Reason {
	if r := n.requests[t]; r.Keyed && r.claimed && !n.claims.Ready(now, r.id) {
		return ReasonNoPermit
	}
	return ReasonTooLate
}

// claimAhead claims for the first queued requests. Those that wait for another
// attempt or for a registrar are parked, so that they hold up nobody.
func (n *Node) claimAhead(now time.Duration) {
	left := n.cfg.ClaimAhead
	var park []Ticket
	n.gate.Each(func(t Ticket) bool {
		n.claim(now, t)
		if n.waits(now, n.requests[t]) {
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

// waits reports whether a request cannot run for now although it has claimed.
func (n *Node) waits(now time.Duration, r *entry) bool {
	return r.Keyed && (n.claims.Contested(r.id) || n.claims.Stalled(now, r.id))
}

func (n *Node) park(now time.Duration, t Ticket) {
	if len(n.parked) >= n.cfg.Parked {
		n.refuse(now, t, ReasonNoPermit)
		return
	}
	n.gate.Remove(t)
	n.requests[t].parked = now
	n.parked = append(n.parked, t)
}

// unpark returns requests with both grants to the queue and refuses late ones.
func (n *Node) unpark(now time.Duration) {
	for i := 0; i < len(n.parked); i++ {
		t := n.parked[i]
		r := n.requests[t]
		switch {
		case n.gate.Late(now, r.Deadline), !n.claims.Contested(r.id) && now-r.parked >= n.cfg.MaxStall:
			n.refuse(now, t, ReasonNoPermit)
		case !n.waits(now, r):
			n.parked = slices.Delete(n.parked, i, i+1)
			n.gate.Restore(now, t, r.Plan, r.Deadline)
		default:
			continue
		}
		i--
	}
}

func (n *Node) claim(now time.Duration, t Ticket) {
	if r := n.requests[t]; r.Keyed && !r.claimed {
		r.claimed = true
		n.claims.Start(now, r.id, r.Key)
	}
}

func (n *Node) ready(now time.Duration, t Ticket) bool {
	r := n.requests[t]
	return !r.Keyed || r.claimed && n.claims.Ready(now, r.id)
}

func (n *Node) start(now time.Duration, t Ticket) {
	r := n.requests[t]
	if r.Keyed {
		n.claims.Run(now, r.id)
	}
	r.started = true
	n.events = append(n.events, Event{Ticket: t, Start: true})
}

// takeFound gives requests the outcome of an earlier attempt.
func (n *Node) takeFound(now time.Duration) {
	out, found := n.claims.Take()
	n.out = append(n.out, out...)
	for _, f := range found {
		if t, known := n.byID[f.Attempt]; known && n.dequeue(t) {
			n.end(now, t, f.Outcome, f.Reason, f.Answer)
		}
	}
}

// Handle takes a message of another agent.
func (n *Node) Handle(now time.Duration, m Message) {
	if m.To != n.self {
		return // of an earlier process at this address
	}
	switch m.Kind {
	case KindClaim:
		n.out = append(n.out, n.registrar.Claim(now, m))
	case KindRelease:
		n.registrar.Release(m.Key, m.Attempt)
	case KindDone:
		n.registrar.Done(m.Key, m.Attempt)
	case KindClaimReply:
		n.claims.Reply(now, m)
	case KindFind:
		n.out = append(n.out, n.answerFind(now, m))
	case KindFindReply:
		n.claims.FindReply(now, m)
	case KindPull:
		if reply, ok := n.registrar.Pull(now, m); ok {
			n.out = append(n.out, reply)
		}
	case KindPullReply:
		n.registrar.Pulled(now, m)
	}
	n.advance(now)
}

func (n *Node) answerFind(now time.Duration, m Message) Message {
	if n.claims.Yields(m) {
		n.claims.Yield(now, m.Other, m.Attempt)
	}
	reply := n.attempts.Find(m, n.self)
	if reply.Verdict == Pending && n.claims.Past(m.Other) {
		reply.Verdict, reply.Outcome = Ended, NotRun
	}
	return reply
}

// Take returns the messages to send and the events since the last call. Messages to
// the node itself are handled at once.
func (n *Node) Take(now time.Duration) ([]Message, []Event) {
	for {
		n.takeFound(now)
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

// State is a summary for the dump.
type State struct {
	Running, Queued, Parked, Records int
	Complete                         bool
	Late, Crossed                    uint64
	Registrar                        RegistrarCounts
}

// State returns a summary of the node.
func (n *Node) State() State {
	return State{
		Running: n.gate.Running(), Queued: n.gate.Queued(), Parked: len(n.parked), Records: n.registrar.Len(),
		Complete: n.registrar.complete == n.registrar.current,
		Late:     n.attempts.Late + n.claims.Late, Crossed: n.attempts.Crossed,
		Registrar: n.registrar.Counts,
	}
}

// Delay is the time after which a refused caller may try again.
func (n *Node) Delay() time.Duration { return n.gate.Delay() }

// Idle reports whether no request is queued or in progress.
func (n *Node) Idle() bool { return len(n.requests) == 0 }
