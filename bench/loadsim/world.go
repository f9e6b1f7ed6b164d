package loadsim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// world is a service, its callers and the policy between them, in virtual time.
type world struct {
	work      *settings.Workload
	policy    Policy
	arrivals  *rand.Rand // independent of the policy, so that all policies get the same requests
	rng       *rand.Rand
	now       time.Duration
	events    events
	upstreams []*upstream
	idle      [][]*upstream // by class: upstreams of the idle long flows
	backlog   []*request    // of the ideal policy
	open      int           // requests that have not ended
	offers    uint64        // number of the last offer to a gate
	totals    Result
	windows   []credit
}

// event is a function to call at a time; order breaks ties.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is a heap of events, earliest first.
type events struct {
	list []event
	last uint64
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := &e.list[i], &e.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// request is a request of a caller.
type request struct {
	class    int
	began    time.Duration
	work     time.Duration // at an upstream that is not cold
	attempts int           // left
	ended    bool
}

func newWorld(w *settings.Workload, p Policy, seed uint64) *world {
	s := &world{
		work: w, policy: p,
		arrivals: rand.New(rand.NewPCG(seed, 1)), rng: rand.New(rand.NewPCG(seed, 2)),
		idle:    make([][]*upstream, len(w.Classes)),
		windows: make([]credit, int(math.Ceil(float64(w.Seconds.Duration())/float64(windowLength)))),
	}
	for range w.Upstreams {
		u := &upstream{world: s, up: true, coldUntil: -1, waiting: make(map[uint64]*attempt)}
		if p.Gate != nil {
			u.gate = load.NewGate(*p.Gate)
		}
		s.upstreams = append(s.upstreams, u)
	}
	return s
}

// after schedules a call.
func (s *world) after(d time.Duration, run func()) {
	s.events.last++
	heap.Push(&s.events, event{at: s.now + d, order: s.events.last, run: run})
}

// run runs the workload until every request has ended.
func (s *world) run() {
	for class := range s.work.Classes {
		s.scheduleArrival(class)
	}
	if o := &s.work.Outage; o.DownSeconds > 0 {
		s.after(o.AtSeconds.Duration(), s.stopAll)
	}
	for _, u := range s.upstreams {
		s.after(gateStep, u.step)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// scheduleArrival schedules the next request of a class.
func (s *world) scheduleArrival(class int) {
	c := &s.work.Classes[class]
	rate := c.PerSecond
	if b := &s.work.Burst; s.now >= b.AtSeconds.Duration() && s.now < (b.AtSeconds+b.ForSeconds).Duration() {
		rate *= b.Factor
	}
	if rate <= 0 {
		return
	}
	s.after(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= s.work.Seconds.Duration() {
			return
		}
		s.begin(class)
		s.scheduleArrival(class)
	})
}

// begin begins a request.
func (s *world) begin(class int) {
	c := &s.work.Classes[class]
	// A lognormal distribution with the given mean and spread.
	sigma := math.Sqrt(math.Log1p(c.WorkSpread * c.WorkSpread))
	factor := math.Exp(sigma*s.arrivals.NormFloat64() - sigma*sigma/2)
	r := &request{class: class, began: s.now, attempts: c.Attempts,
		work: time.Duration(factor * float64(c.WorkMilliseconds.Duration()))}
	s.totals.Requests++
	s.open++
	s.windowOf(r).owed += c.Worth
	s.after(c.DeadlineMilliseconds.Duration(), func() { s.fail(r) })
	if s.policy.Ideal {
		s.backlog = append(s.backlog, r)
		s.runBacklog()
		return
	}
	s.attempt(r)
}

func (s *world) windowOf(r *request) *credit { return &s.windows[int(r.began/windowLength)] }

// done ends a request with an answer.
func (s *world) done(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	s.open--
	c := &s.work.Classes[r.class]
	if s.now-r.began <= c.ObjectiveMilliseconds.Duration() {
		s.totals.InTime++
		s.windowOf(r).earned += c.Worth
		return
	}
	s.totals.Late++
	s.windowOf(r).earned += c.LateWorth
}

func (s *world) fail(r *request) {
	if !r.ended {
		r.ended = true
		s.open--
		s.totals.Failed++
	}
}

// stopAll stops all upstreams and schedules their starts.
func (s *world) stopAll() {
	o := &s.work.Outage
	for i, u := range s.upstreams {
		u.stop()
		back := o.DownSeconds.Duration() + time.Duration(float64(o.SpreadSeconds.Duration())*float64(i)/float64(len(s.upstreams)))
		s.after(back, u.start)
	}
	if s.policy.Ideal {
		return
	}
	for class := range s.idle {
		for i := range s.idle[class] {
			s.idle[class][i] = nil // the caller does not know that the flow is lost
		}
	}
}

// untilReset returns the time until the caller of a lost flow receives a reset.
func (s *world) untilReset() time.Duration {
	o := &s.work.Outage
	at := (o.AtSeconds + o.DownSeconds + o.SpreadSeconds + o.ResetSeconds).Duration()
	return max(at-s.now, s.work.RoundTripMilliseconds.Duration())
}

// lose ends an attempt whose flow was lost with its upstream. ran says that the request may have run.
func (s *world) lose(r *request, ran bool) {
	s.after(s.untilReset(), func() {
		if ran && s.work.Classes[r.class].Repeatable == "no" {
			s.fail(r)
			return
		}
		s.attempt(r)
	})
}
