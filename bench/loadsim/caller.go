package loadsim

import (
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/load"
)

// attempt is one attempt of a caller to open a flow for a request.
type attempt struct {
	world   *world
	request *request
	sent    time.Duration
	order   []*upstream // upstreams in the flow's own order
	opened  bool
	over    bool
	places  int // upstreams at which the flow waits
}

// copies is the number of times that a caller sends its SYN, the original included.
const copies = 3

// attempt sends a request on an idle flow, or opens a flow for it.
func (s *world) attempt(r *request) {
	if r.ended {
		return
	}
	if r.attempts == 0 {
		s.fail(r)
		return
	}
	r.attempts--
	if flows := s.idle[r.class]; len(flows) > 0 {
		i := s.rng.IntN(len(flows))
		u := flows[i]
		s.idle[r.class] = slices.Delete(flows, i, i+1)
		s.after(s.work.RoundTripMilliseconds.Duration()/2, func() { s.sendOnFlow(r, u) })
		return
	}
	a := &attempt{world: s, request: r, sent: s.now, order: s.firstChoices()}
	for i := range copies {
		s.after(flow.SYNCopyDelay(uint8(i))+s.work.RoundTripMilliseconds.Duration()/2, func() { a.sendCopy(i) })
	}
	s.after(s.work.AttemptMilliseconds.Duration(), func() {
		if !a.opened && !a.over && !r.ended {
			a.over = true
			s.totals.Silent++
			s.attempt(r)
		}
	})
}

// sendOnFlow sends a request on an open flow. The upstream is nil if the flow was lost.
func (s *world) sendOnFlow(r *request, u *upstream) {
	if u == nil || !u.up {
		s.lose(r, false)
		return
	}
	if !u.receive(r) {
		s.totals.Rejected++
		s.attempt(r)
	}
}

// firstChoices returns all upstreams in random order, the least loaded of the first Choices first.
func (s *world) firstChoices() []*upstream {
	order := slices.Clone(s.upstreams)
	s.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	n := s.policy.Choices
	if n == 0 {
		n = len(order)
	}
	slices.SortStableFunc(order[:min(n, len(order))], func(a, b *upstream) int {
		return a.load().Busy + a.opening - b.load().Busy - b.opening
	})
	return order
}

// sendCopy sends a copy of the attempt's SYN.
func (a *attempt) sendCopy(number int) {
	s := a.world
	redirected := number == copies-1
	if a.over || a.opened || a.request.ended || a.places > 0 && !(redirected && s.policy.Redirect) {
		return
	}
	var up []*upstream
	for _, u := range a.order {
		if u.up {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return
	}
	if redirected {
		up = append(up[1:], up[0])
	}
	a.offer(up)
}

// offer offers the flow to the upstreams in turn until one accepts it, lets it wait or refuses it.
func (a *attempt) offer(up []*upstream) {
	s := a.world
	c := &s.work.Classes[a.request.class]
	for passed, u := range up {
		if u.gate == nil {
			a.accept(u)
			return
		}
		s.offers++
		o := load.Offer{
			ID: s.offers, Sent: a.sent, Priority: uint8(c.Priority), Objective: c.ObjectiveMilliseconds.Duration(),
			Passed: passed, HasAlternative: passed+1 < len(up),
		}
		switch u.gate.Offer(s.now, o, u.load()) {
		case load.PassOn:
			continue
		case load.Accept:
			a.accept(u)
		case load.Wait:
			u.waiting[o.ID] = a
			a.places++
			for _, number := range u.gate.Evicted() {
				u.refuse(number, false)
			}
		case load.Refuse:
			a.reset()
		}
		return
	}
}

// reset tells the caller that the attempt has ended without a run; the caller returns at once.
func (a *attempt) reset() {
	if a.over || a.opened {
		return
	}
	a.over = true
	s := a.world
	s.totals.Reset++
	s.after(s.work.RoundTripMilliseconds.Duration()/2, func() { s.attempt(a.request) })
}

// runBacklog gives requests to free slots in an order that earns much: those that can be in time
// first, of these the ones that earn the most for their work, then those with the earliest deadline.
func (s *world) runBacklog() {
	if !s.policy.Ideal {
		return
	}
	for _, u := range s.upstreams {
		for u.up && len(u.running) < s.work.Slots {
			r := s.nextOfBacklog(u)
			if r == nil {
				return
			}
			u.process(r, s.now)
		}
	}
}

func (s *world) nextOfBacklog(u *upstream) *request {
	s.backlog = slices.DeleteFunc(s.backlog, func(r *request) bool { return r.ended })
	best := -1
	for i := range s.backlog {
		if best < 0 || s.before(s.backlog[i], s.backlog[best], u) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	r := s.backlog[best]
	s.backlog = slices.Delete(s.backlog, best, best+1)
	return r
}

// before reports whether the ideal order runs a before b at the upstream.
func (s *world) before(a, b *request, u *upstream) bool {
	aInTime, bInTime := s.canBeInTime(a, u), s.canBeInTime(b, u)
	if aInTime != bInTime {
		return aInTime
	}
	if aInTime {
		return s.worthOfWork(a) > s.worthOfWork(b)
	}
	return s.deadline(a) < s.deadline(b)
}

// worthOfWork returns the credit per nanosecond of work.
func (s *world) worthOfWork(r *request) float64 {
	return s.work.Classes[r.class].Worth / float64(max(r.work, 1))
}

func (s *world) canBeInTime(r *request, u *upstream) bool {
	work := r.work
	if s.now < u.coldUntil {
		work = time.Duration(float64(work) * s.work.ColdFactor)
	}
	return s.now-r.began+work <= s.work.Classes[r.class].ObjectiveMilliseconds.Duration()
}

func (s *world) deadline(r *request) time.Duration {
	return r.began + s.work.Classes[r.class].DeadlineMilliseconds.Duration()
}
