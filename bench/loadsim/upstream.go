package loadsim

import (
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/load"
)

// upstream is an upstream with its agent.
type upstream struct {
	world     *world
	gate      *load.Gate // nil if every flow is accepted
	up        bool
	stops     int // tells events of an earlier run from those of this one
	coldUntil time.Duration
	running   []*request
	queued    []queuedRequest
	opening   int
	waiting   map[uint64]*attempt // by number of the offer
}

// queuedRequest is a request in the queue of an upstream.
type queuedRequest struct {
	request *request
	since   time.Duration
}

func (u *upstream) load() load.Load {
	l := load.Load{Slots: u.world.work.Slots, Busy: len(u.running) + len(u.queued), Opening: u.opening}
	for _, r := range u.running {
		u.world.countBelow(&l, r)
	}
	for i := range u.queued {
		u.world.countBelow(&l, u.queued[i].request)
	}
	return l
}

// countBelow counts a request as one of a lower priority than those above its own.
func (s *world) countBelow(l *load.Load, r *request) {
	for p := range s.work.Classes[r.class].Priority {
		l.BusyBelow[p]++
	}
}

// stop loses all requests and waiting flows.
func (u *upstream) stop() {
	s := u.world
	u.up = false
	u.stops++
	lost := slices.Clone(u.running)
	for _, q := range u.queued {
		lost = append(lost, q.request)
	}
	for i, r := range lost {
		switch ran := i < len(u.running); {
		case r.ended:
		case !s.policy.Ideal:
			s.lose(r, ran)
		case ran && s.work.Classes[r.class].Repeatable == "no":
			s.fail(r)
		default:
			s.backlog = append(s.backlog, r)
		}
	}
	u.running, u.queued, u.opening = nil, nil, 0
	clear(u.waiting)
}

func (u *upstream) start() {
	s := u.world
	u.up = true
	u.coldUntil = s.now + s.work.ColdSeconds.Duration()
	if s.policy.Gate != nil {
		u.gate = load.NewGate(*s.policy.Gate)
	}
	s.runBacklog()
}

// receive runs, queues or rejects a request. It reports whether it did not reject it.
func (u *upstream) receive(r *request) bool {
	switch s := u.world; {
	case len(u.running) < s.work.Slots:
		u.process(r, s.now)
	case len(u.queued) < s.work.Queue:
		u.queued = append(u.queued, queuedRequest{request: r, since: s.now})
	default:
		return false
	}
	return true
}

// process runs a request that arrived at the time since.
func (u *upstream) process(r *request, since time.Duration) {
	s := u.world
	work := r.work
	if s.now < u.coldUntil {
		work = time.Duration(float64(work) * s.work.ColdFactor)
	}
	u.running = append(u.running, r)
	run := u.stops
	s.after(work, func() {
		if u.stops != run {
			return
		}
		u.running = slices.DeleteFunc(u.running, func(x *request) bool { return x == r })
		if u.gate != nil {
			u.gate.RecordServiceTime(s.now - since)
		}
		s.done(r)
		if s.work.Classes[r.class].Flows == "long" {
			s.idle[r.class] = append(s.idle[r.class], u)
		}
		if len(u.queued) > 0 {
			next := u.queued[0]
			u.queued = u.queued[1:]
			u.process(next.request, next.since)
		}
		u.admit()
		s.runBacklog()
	})
}

// step ends the wait of flows that have waited too long, as an agent does at its steps.
func (u *upstream) step() {
	s := u.world
	if u.gate != nil && u.up {
		for _, number := range u.gate.Expired(s.now) {
			u.refuse(number, s.policy.Silent)
		}
		u.admit()
	}
	if s.open > 0 || s.now < s.work.Seconds.Duration() {
		s.after(gateStep, u.step)
	}
}

// refuse ends the wait of a flow.
func (u *upstream) refuse(number uint64, silent bool) {
	a := u.waiting[number]
	delete(u.waiting, number)
	if a == nil {
		return
	}
	a.places--
	if !silent && !u.world.policy.Redirect {
		a.reset()
	}
}

// admit accepts waiting flows while slots are free.
func (u *upstream) admit() {
	if u.gate == nil || !u.up {
		return
	}
	for {
		number, found := u.gate.Next(u.world.now, u.load())
		if !found {
			return
		}
		a := u.waiting[number]
		delete(u.waiting, number)
		if a != nil {
			a.places--
			a.accept(u)
		}
	}
}

// accept opens the flow of an attempt. The request arrives after a round trip, unless its caller
// has given up or the flow is open elsewhere.
func (a *attempt) accept(u *upstream) {
	s := u.world
	u.opening++
	ghost := a.over || a.opened
	a.opened = true
	run := u.stops
	trip := s.work.RoundTripMilliseconds.Duration()
	s.after(trip, func() {
		if u.stops != run {
			if !ghost && !a.over {
				a.over = true
				s.lose(a.request, false)
			}
			return
		}
		u.opening--
		if ghost || a.over {
			u.admit()
			return
		}
		if u.gate != nil {
			u.gate.RecordOpenDelay(trip)
		}
		a.over = true
		if !u.receive(a.request) {
			s.totals.Rejected++
			s.after(trip/2, func() { s.attempt(a.request) })
		}
	})
}
