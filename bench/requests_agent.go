package bench

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/request"
)

// attemptMessage is the message by which a caller starts an attempt at an agent.
type attemptMessage struct {
	id         int // identifies the request
	attempt    int // identifies the attempt; unique in the run
	idempotent bool
	plan       string
	left       time.Duration // time left to the deadline
	key        string        // idempotency key
	retry      bool          // an earlier attempt may have run
}

// attemptCancel is the message that the caller of an attempt has disconnected.
type attemptCancel struct{ attempt int }

// attemptAnswer is an agent's answer to an attempt.
type attemptAnswer struct {
	id, attempt int
	outcome     request.Outcome
	reason      request.Reason
	answer      *request.Answer
}

// requestAgent simulates an agent with its upstream.
type requestAgent struct {
	w          *requestWorld
	self       request.Process
	addr       netip.AddrPort
	domain     string
	node       *request.Node
	upstream   *requestUpstream
	ready      bool
	rejoins    uint64 // number of times that the agent rejoined after being marked as failed
	dead       bool
	paused     bool
	deferred   []func() // handlers of what arrived during a pause
	version    int      // version of the adopted membership
	attempts   map[request.Ticket]*agentAttempt
	queueWaits map[request.Ticket]queueWait
	tickets    map[int]request.Ticket // by attempt, to drop duplicate messages as TCP does; 0 if canceled before arrival
}

type agentAttempt struct {
	attemptMessage
	from     netip.AddrPort
	deadline time.Duration
	answered bool // the caller has been answered
}

type queueWait struct{ since, left time.Duration }

func newRequestAgent(w *requestWorld, n int, first bool) *requestAgent {
	a := &requestAgent{
		w: w, addr: requestAddr(n), domain: requestDomain(n), ready: first,
		self:       request.Process{ID: packet.AgentIDOf(fmt.Sprintf("agent-%d", n)), Incarnation: w.rng.Uint64()},
		attempts:   make(map[request.Ticket]*agentAttempt),
		queueWaits: make(map[request.Ticket]queueWait),
		tickets:    make(map[int]request.Ticket),
	}
	cfg := request.NodeConfig{
		Gate: request.GateConfig{Slots: requestSlots, Shares: map[string]request.Share{
			"gold": {Minimum: 1, Weight: 2}, "silver": {Minimum: 1, Weight: 1},
		}},
		Registrar: request.RegistrarConfig{NewService: first},
	}
	if w.store != nil {
		cfg.Claims.SingleRegistrar = w.store.self
	}
	a.node = request.NewNode(cfg, a.self, rand.New(rand.NewPCG(w.cfg.Seed, uint64(100+n))))
	a.upstream = newRequestUpstream(a, first)
	return a
}

// receiveMembers adopts a membership that is newer than the adopted one. A paused agent
// does so when it resumes.
func (a *requestAgent) receiveMembers(version int, members []request.Member) {
	if a.paused {
		a.deferred = append(a.deferred, func() { a.receiveMembers(version, members) })
		return
	}
	if version <= a.version {
		return
	}
	a.version = version
	a.adoptMembers(members)
}

// adoptMembers adopts a membership. The agent always adds itself, even if the others have
// marked it as failed.
func (a *requestAgent) adoptMembers(members []request.Member) {
	own := request.Member{ID: a.self.ID, Incarnation: a.self.Incarnation, FailureDomain: a.domain, Registrar: a.ready, Version: a.rejoins}
	list := []request.Member{own}
	for _, m := range members {
		if m.ID != a.self.ID {
			list = append(list, m)
		}
	}
	a.node.SetMembers(a.w.net.Now(), list)
	a.flush()
}

// receive handles a message from the network.
func (a *requestAgent) receive(now time.Duration, from netip.AddrPort, m any) any {
	if a.paused {
		a.deferred = append(a.deferred, func() { a.receive(a.w.net.Now(), from, m) })
		return nil
	}
	switch m := m.(type) {
	case request.Message:
		a.node.Handle(now, m)
	case attemptMessage:
		a.submit(now, from, m)
	case attemptCancel:
		a.cancel(now, m)
	}
	a.flush()
	return nil
}

func (a *requestAgent) submit(now time.Duration, from netip.AddrPort, c attemptMessage) {
	if _, duplicate := a.tickets[c.attempt]; duplicate {
		return
	}
	r := request.Request{Plan: c.plan, Deadline: now + c.left, Retry: c.retry}
	if !c.idempotent && a.w.variant != withoutKeys {
		r.Keyed, r.Key = true, request.KeyOf("service", c.plan, c.key)
	}
	t := a.node.Submit(now, r)
	a.tickets[c.attempt] = t
	a.attempts[t] = &agentAttempt{attemptMessage: c, from: from, deadline: r.Deadline}
	a.queueWaits[t] = queueWait{since: now, left: c.left}
}

// cancel ends an attempt. An attempt that arrives after its cancellation is dropped.
func (a *requestAgent) cancel(now time.Duration, c attemptCancel) {
	t, known := a.tickets[c.attempt]
	if !known {
		a.tickets[c.attempt] = 0
		return
	}
	a.node.Cancel(now, t)
	a.upstream.cancel(t)
}

// resume ends a pause and handles, in order, what arrived during it.
func (a *requestAgent) resume() {
	a.paused = false
	deferred := a.deferred
	a.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// step advances the node. A new agent becomes a registrar once it has loaded the records
// of its peers.
func (a *requestAgent) step() {
	if a.paused {
		return
	}
	now := a.w.net.Now()
	a.node.Step(now)
	a.flush()
	if !a.ready && a.node.State().Complete {
		a.ready = true
		a.w.editMember(a.self.ID, func(m *request.Member) bool { m.Registrar = true; return true })
	}
	a.upstream.step(now)
}

// flush sends the node's messages and handles its events.
func (a *requestAgent) flush() {
	for {
		messages, events := a.node.Take(a.w.net.Now())
		for _, m := range messages {
			a.sendMessage(m)
		}
		for _, e := range events {
			a.event(e)
		}
		if len(events) == 0 {
			return
		}
	}
}

func (a *requestAgent) sendMessage(m request.Message) {
	a.w.ledger.controlBytes += uint64(m.Size())
	a.w.ledger.bytesByKind[m.Kind] += uint64(m.Size())
	if s := a.w.store; s != nil && m.To == s.self {
		a.w.send(a.addr, s.addr, m)
		return
	}
	if to, known := a.w.byAddr[m.To.ID]; known {
		a.w.send(a.addr, to, m)
	}
}

func (a *requestAgent) event(e request.Event) {
	c := a.attempts[e.Ticket]
	if wait, queued := a.queueWaits[e.Ticket]; queued {
		delete(a.queueWaits, e.Ticket)
		a.w.ledger.recordQueueTime(a.w.net.Now()-wait.since, wait.left, e)
	}
	if e.Start {
		a.upstream.run(e.Ticket, c)
		return
	}
	if !c.answered {
		c.answered = true
		a.w.sendTCP(a.addr, c.from, attemptAnswer{c.id, c.attempt, e.Outcome, e.Reason, e.Answer})
	}
	if !a.upstream.has(e.Ticket) {
		delete(a.attempts, e.Ticket)
	}
}

func (a *requestAgent) lateAnswers() uint64 { return a.node.State().Late }
