package request

import (
	"slices"
	"time"
)

// Ticket identifies a request within one agent.
type Ticket uint64

// Share is a plan's share of the slots.
type Share struct {
	Minimum int     // slots reserved for the plan
	Weight  float64 // relative share of the slots that are not reserved; default 1
}

// GateConfig holds the parameters of a Gate. Zero fields take the default.
type GateConfig struct {
	Slots int // maximum number of requests that the upstream runs at once; default 5
	Queue int // maximum number of queued requests; default 16
	// RetryReserve is the number of additional places in the queue for retries by callers
	// that do not know whether an earlier attempt ran; default 8. Without it, an
	// overload turns each lost answer into an unknown outcome.
	RetryReserve int
	// MaxWait is the longest time in the queue; default 1 s. It should be shorter than the
	// caller's timeout for an attempt, so that the caller still learns that its request
	// was not run. It does not limit the total wait: Restore starts it again, and time
	// outside the queue does not count (see NodeConfig.MaxParked).
	MaxWait time.Duration
	Shares  map[string]Share // by Request.Plan; a plan without an entry has no minimum
}

func (c GateConfig) withDefaults() GateConfig {
	if c.Slots == 0 {
		c.Slots = 5
	}
	if c.Queue == 0 {
		c.Queue = 16
	}
	if c.RetryReserve == 0 {
		c.RetryReserve = 8
	}
	if c.MaxWait == 0 {
		c.MaxWait = time.Second
	}
	return c
}

// Gate queues requests and starts them in free slots.
type Gate struct {
	cfg     GateConfig
	queue   []queued // ordered by deadline, then by arrival
	running map[Ticket]running
	used    map[string]int // slots in use by plan
	plans   []string       // keys of cfg.Shares, sorted
	times   serviceTimes
}

type queued struct {
	ticket   Ticket
	plan     string
	deadline time.Duration
	since    time.Duration
}

type running struct {
	plan  string
	since time.Duration
}

// NewGate returns a Gate with all slots free.
func NewGate(cfg GateConfig) *Gate {
	g := &Gate{cfg: cfg.withDefaults(), running: make(map[Ticket]running), used: make(map[string]int)}
	for plan := range g.cfg.Shares {
		g.plans = append(g.plans, plan)
	}
	slices.Sort(g.plans)
	return g
}

// Offer queues a request, or returns the reason for which it is refused. It estimates the
// end of the request with the median service time. A queued request is still subject to
// RemoveExpired, which uses the longest one (see TooLate) but ignores the requests ahead.
func (g *Gate) Offer(now time.Duration, t Ticket, r Request) Reason {
	plan, deadline, places := r.Plan, r.Deadline, g.cfg.Queue
	if r.Retry {
		places += g.cfg.RetryReserve
	}
	ahead := g.position(deadline)
	switch {
	case deadline <= now:
		return ReasonDeadline
	case len(g.queue) >= places:
		return ReasonQueueFull
	case deadline < g.expectedStart(now, ahead)+g.median():
		return ReasonTooLate
	}
	g.queue = slices.Insert(g.queue, ahead, queued{ticket: t, plan: plan, deadline: deadline, since: now})
	return ReasonNone
}

func (g *Gate) position(deadline time.Duration) int {
	for i, q := range g.queue {
		if q.deadline > deadline {
			return i
		}
	}
	return len(g.queue)
}

func (g *Gate) expectedStart(now time.Duration, ahead int) time.Duration {
	completionsNeeded := ahead + len(g.running) - g.cfg.Slots + 1
	if completionsNeeded <= 0 {
		return now
	}
	return now + time.Duration(completionsNeeded)*g.median()/time.Duration(g.cfg.Slots)
}

// median returns the median service time, or zero while nothing runs: an estimate so
// high that it refuses all requests would otherwise never be corrected by a new sample.
func (g *Gate) median() time.Duration {
	if len(g.running) == 0 {
		return 0
	}
	return g.times.median()
}

// Restore queues a request that was removed, even if the queue is full.
func (g *Gate) Restore(now time.Duration, t Ticket, plan string, deadline time.Duration) {
	g.queue = slices.Insert(g.queue, g.position(deadline), queued{ticket: t, plan: plan, deadline: deadline, since: now})
}

// TooLate reports whether a request that started now would probably be aborted at its
// deadline. It uses the longest of the recent service times: with the median, half of
// the requests that start at the limit would be aborted, with an unknown outcome.
func (g *Gate) TooLate(now, deadline time.Duration) bool {
	if len(g.running) == 0 {
		return deadline <= now
	}
	return deadline <= now+g.times.longest()
}

// RemoveExpired removes the queued requests that can no longer finish in time or have waited
// for MaxWait.
func (g *Gate) RemoveExpired(now time.Duration) (out []Ticket) {
	g.queue = slices.DeleteFunc(g.queue, func(q queued) bool {
		expired := g.TooLate(now, q.deadline) || now-q.since >= g.cfg.MaxWait
		if expired {
			out = append(out, q.ticket)
		}
		return expired
	})
	return out
}

// Each calls f for each queued request in queue order until f returns false.
func (g *Gate) Each(f func(Ticket) bool) {
	for _, q := range g.queue {
		if !f(q.ticket) {
			return
		}
	}
}

// Next starts one of the queued requests that are ready and whose plan may use a slot:
// the first in the queue of the plan that has precedence (see before). It returns false
// if none can start.
func (g *Gate) Next(now time.Duration, ready func(Ticket) bool) (Ticket, bool) {
	if len(g.running) >= g.cfg.Slots {
		return 0, false
	}
	best := -1
	for i, q := range g.queue {
		if g.mayUse(q.plan) && (best < 0 || g.before(q.plan, g.queue[best].plan)) && ready(q.ticket) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	q := g.queue[best]
	g.queue = slices.Delete(g.queue, best, best+1)
	g.start(now, q)
	return q.ticket, true
}

func (g *Gate) start(now time.Duration, q queued) {
	g.running[q.ticket] = running{plan: q.plan, since: now}
	g.used[q.plan]++
	check(len(g.running) <= g.cfg.Slots, "%d requests in %d slots", len(g.running), g.cfg.Slots)
}

// mayUse reports whether the plan may occupy another slot: above its own minimum it
// leaves the unused minimums of the other plans free.
func (g *Gate) mayUse(plan string) bool {
	if g.used[plan] < g.cfg.Shares[plan].Minimum {
		return true
	}
	free := g.cfg.Slots - len(g.running)
	for _, other := range g.plans {
		if other != plan {
			free -= max(0, g.cfg.Shares[other].Minimum-g.used[other])
		}
	}
	return free > 0
}

// before reports whether plan a is served before plan b: plans below their minimum
// first, then the plan with the fewest slots in use relative to its weight.
func (g *Gate) before(a, b string) bool {
	lowA, lowB := g.used[a] < g.cfg.Shares[a].Minimum, g.used[b] < g.cfg.Shares[b].Minimum
	if lowA != lowB {
		return lowA
	}
	return float64(g.used[a])/g.weight(a) < float64(g.used[b])/g.weight(b)
}

func (g *Gate) weight(plan string) float64 {
	if w := g.cfg.Shares[plan].Weight; w > 0 {
		return w
	}
	return 1
}

// Remove removes a request from the queue and reports whether it was queued.
func (g *Gate) Remove(t Ticket) bool {
	i := slices.IndexFunc(g.queue, func(q queued) bool { return q.ticket == t })
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// Free frees the slot of a request that the upstream no longer processes.
func (g *Gate) Free(now time.Duration, t Ticket) {
	r, found := g.running[t]
	if !found {
		return
	}
	delete(g.running, t)
	g.used[r.plan]--
	g.times.add(now - r.since)
}

// Running returns the number of slots in use.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns the number of queued requests.
func (g *Gate) Queued() int { return len(g.queue) }

// RetryDelay returns the time after which a refused caller may retry.
func (g *Gate) RetryDelay() time.Duration {
	return time.Duration(len(g.queue)+1) * g.times.median() / time.Duration(g.cfg.Slots)
}
