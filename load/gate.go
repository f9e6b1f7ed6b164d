package load

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the parameters of a Gate. Zero fields take the default.
type Config struct {
	// Slack is the least number of requests beyond the slots that the upstream is given, so
	// that a slot which becomes free need not wait for a flow's round trip to the client.
	// Where the round trip is long beside a request, more are given: as many as the slots
	// work off in the meantime. Default 2: one for a round trip, and one because the agent
	// learns of an answer a moment after the slot is free.
	Slack int
	// MaxSlack bounds that number. Default 64.
	MaxSlack int
	// PassOn is the number of busy upstreams after which a flow waits. Default 2: each
	// costs a packet between VMs, and three choices leave little imbalance.
	PassOn int
	// MaxWaiting bounds the flows that wait, for the memory of their packets. Fewer wait
	// where the upstream works off fewer within MaxWait: the others would wait in vain.
	// Default 1024.
	MaxWaiting int
	// MaxWait is the longest wait. Default 1.2 s: a client of the platform gives an attempt
	// up after 1.4 s, and its first request then has the rest.
	MaxWait time.Duration
}

func (c Config) withDefaults() Config {
	c.Slack = cmp.Or(c.Slack, 2)
	c.PassOn = cmp.Or(c.PassOn, 2)
	c.MaxSlack = cmp.Or(c.MaxSlack, 64)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, 1024)
	c.MaxWait = cmp.Or(c.MaxWait, 1200*time.Millisecond)
	return c
}

// Load is what an upstream has to do.
type Load struct {
	Slots   int // requests that it runs at once
	Busy    int // requests that it has
	Opening int // flows that were taken and have sent no request yet
}

// Offer is a new flow.
type Offer struct {
	ID       uint64
	Sent     time.Duration // when the client sent its first packet, as far as is known
	Priority uint8         // 0 is the highest
	Aim      time.Duration // latency objective of its requests; 0: none
	Passed   int           // upstreams that have passed it on
	Others   bool          // another upstream can be tried
}

// Verdict is what happens to a new flow.
type Verdict uint8

const (
	// Take lets the upstream have the flow now.
	Take Verdict = iota
	// PassOn sends it to the next upstream of its ranking.
	PassOn
	// Wait keeps it until Next or Expired names it.
	Wait
	// Refuse answers that it is not taken.
	Refuse
)

// Gate holds the flows that wait beside one upstream. It is not safe for concurrent use.
type Gate struct {
	cfg     Config
	waiting []Offer
	evicted []uint64
	work    time.Duration // mean time of a request at the upstream
	lead    time.Duration // mean time from taking a flow to its first request
}

// workWeight is the weight of one request in the mean times, 1/16: some seconds of
// requests of one slot.
const workWeight = 16

// waitingFirst bounds the flows that wait before any request was measured.
const waitingFirst = 256

// NewGate returns a gate at which nothing waits.
func NewGate(cfg Config) *Gate { return &Gate{cfg: cfg.withDefaults()} }

// Worked notes the time that the upstream took for a request.
func (g *Gate) Worked(d time.Duration) { g.work += (d - g.work) / workWeight }

// Opened notes the time from taking a flow to its first request.
func (g *Gate) Opened(d time.Duration) { g.lead += (d - g.lead) / workWeight }

// Work returns the mean time of a request at the upstream, 0 before any was measured.
func (g *Gate) Work() time.Duration { return g.work }

// Waiting returns the number of flows that wait.
func (g *Gate) Waiting() int { return len(g.waiting) }

// free returns the number of flows that the upstream can take.
func (g *Gate) free(l Load) int { return l.Slots + g.slack(l.Slots) - l.Busy - l.Opening }

// slack returns the number of requests beyond the slots that the upstream is given.
func (g *Gate) slack(slots int) int {
	if g.work <= 0 {
		return g.cfg.Slack
	}
	return min(max(g.cfg.Slack, int(time.Duration(slots)*g.lead/g.work)+1), g.cfg.MaxSlack)
}

// room returns the number of flows that may wait: what the slots work off within the longest
// wait, and two rounds at least.
func (g *Gate) room(slots int) int {
	if g.work <= 0 {
		return min(waitingFirst, g.cfg.MaxWaiting)
	}
	return min(max(int(time.Duration(slots)*g.cfg.MaxWait/g.work), 2*slots), g.cfg.MaxWaiting)
}

// Offer decides about a new flow.
func (g *Gate) Offer(now time.Duration, o Offer, l Load) Verdict {
	if g.free(l) > len(g.waiting) {
		return Take
	}
	if o.Others && o.Passed < g.cfg.PassOn {
		return PassOn
	}
	if len(g.waiting) >= g.room(l.Slots) && !g.evict(now, &o) {
		return Refuse
	}
	g.waiting = append(g.waiting, o)
	return Wait
}

// evict removes what ranks last if that is not the offer.
func (g *Gate) evict(now time.Duration, o *Offer) bool {
	last := 0
	for i := range g.waiting {
		if g.compare(now, &g.waiting[i], &g.waiting[last]) > 0 {
			last = i
		}
	}
	if g.compare(now, o, &g.waiting[last]) >= 0 {
		return false
	}
	g.evicted = append(g.evicted, g.waiting[last].ID)
	g.waiting = slices.Delete(g.waiting, last, last+1)
	return true
}

// compare orders two offers by rank.
func (g *Gate) compare(now time.Duration, a, b *Offer) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(g.late(now, a), g.late(now, b)),
		g.byAge(now, a, b),
	)
}

// byAge orders two offers of which either both can still be answered in time or neither.
// Of those with an objective that can, the newest goes first: under a lasting overload the
// oldest first would all wait until their objective is about to pass, and then miss it. Of
// the others the oldest goes first: its client gives up soonest.
func (g *Gate) byAge(now time.Duration, a, b *Offer) int {
	order := cmp.Or(cmp.Compare(a.Sent, b.Sent), cmp.Compare(a.ID, b.ID))
	if a.Aim > 0 && b.Aim > 0 && g.late(now, a) == 0 {
		return -order
	}
	return order
}

// late returns 1 for an offer whose first request would miss its objective if the
// upstream began it now, and 0 for others.
func (g *Gate) late(now time.Duration, o *Offer) int {
	if o.Aim > 0 && now-o.Sent+g.work > o.Aim {
		return 1
	}
	return 0
}

// Next returns the flow to take now, if there is one. It is taken out of the queue.
func (g *Gate) Next(now time.Duration, l Load) (id uint64, found bool) {
	if len(g.waiting) == 0 || g.free(l) <= 0 {
		return 0, false
	}
	first := 0
	for i := range g.waiting {
		if g.compare(now, &g.waiting[i], &g.waiting[first]) < 0 {
			first = i
		}
	}
	id = g.waiting[first].ID
	g.waiting = slices.Delete(g.waiting, first, first+1)
	return id, true
}

// Evicted returns, once, the flows that were taken out of the queue in favour of others.
func (g *Gate) Evicted() []uint64 {
	out := g.evicted
	g.evicted = nil
	return out
}

// Expired returns the flows that have waited too long. They are taken out of the queue.
func (g *Gate) Expired(now time.Duration) (out []uint64) {
	g.waiting = slices.DeleteFunc(g.waiting, func(o Offer) bool {
		old := now-o.Sent >= g.cfg.MaxWait
		if old {
			out = append(out, o.ID)
		}
		return old
	})
	return out
}
