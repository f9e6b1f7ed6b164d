package load

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the parameters of a Gate. Zero fields take the default.
type Config struct {
	// Slack is the minimum number of requests beyond its slots that the upstream is given,
	// so that a slot that becomes free does not stay idle for the open delay: the time from
	// accepting a flow to its first request, about a round trip to the client. If the open
	// delay is long compared with a request, the number is higher: as many as the slots
	// complete in that time. Default 2: one for the open delay, and one because the agent
	// sees an answer a moment after the slot is free.
	Slack int
	// MaxSlack is the maximum number of requests beyond its slots that the upstream is
	// given. Default 64.
	MaxSlack int
	// MaxDepth is the maximum number of requests for each slot up to which flows are accepted
	// that have a higher priority than some of the upstream's requests. Requests on open flows do
	// not pass the gate, and without MaxDepth they would keep the slots from flows of a higher
	// priority. Default 3: a request that joins two others for its slot takes three times the work.
	MaxDepth int
	// MaxPasses limits passing on: a flow whose Offer.Passed has reached it waits at a busy
	// upstream instead. Default 2: each pass costs a packet between VMs, and with three
	// choices little imbalance remains.
	MaxPasses int
	// MaxWaiting is the maximum number of waiting flows; it bounds the memory for their
	// packets. The limit is lower if Oversubscription requires it, and while no request has
	// been measured; see Gate.maxWaiting. Default 1024.
	MaxWaiting int
	// Oversubscription is the maximum number of waiting flows for each request that the
	// upstream completes within MaxWait: a flow is refused at once if its chance of being
	// accepted is lower than one in Oversubscription. A client that is refused comes back at
	// once and has spent one of its few attempts, so a flow with a fair chance waits. Default 4.
	Oversubscription int
	// MaxWait is the maximum time from a flow's first packet to the end of its wait.
	// Default 1.2 s: a client of the platform aborts an attempt after 1.4 s, so 0.2 s
	// remain for the first request.
	MaxWait time.Duration
}

func (c Config) withDefaults() Config {
	c.Slack = cmp.Or(c.Slack, 2)
	c.MaxDepth = cmp.Or(c.MaxDepth, 3)
	c.MaxPasses = cmp.Or(c.MaxPasses, 2)
	c.MaxSlack = cmp.Or(c.MaxSlack, 64)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, 1024)
	c.Oversubscription = cmp.Or(c.Oversubscription, 4)
	c.MaxWait = cmp.Or(c.MaxWait, 1200*time.Millisecond)
	return c
}

// Load is the current load of an upstream.
type Load struct {
	Slots   int // requests that it can run at once
	Busy    int // requests that it runs or queues
	Opening int // accepted flows that have sent no request yet
	// BusyBelow holds, for each priority, how many requests of Busy have a lower priority.
	BusyBelow [Priorities]int
	// Room limits the requests that a cold upstream is given; nil if no limit applies. Flows that
	// are accepted must be noted there.
	Room *Warmup
}

// Priorities is the number of priorities; 0 is the highest. Flows beyond have the lowest.
const Priorities = 8

// Offer is a new flow for which Gate.Offer returns a verdict. It has nothing to do with the offers
// of package flow, which are first packets sent to a possible owner.
type Offer struct {
	ID             uint64
	Sent           time.Duration // when the client sent its first packet, as far as known
	Priority       uint8         // 0 is the highest
	Objective      time.Duration // latency objective of its requests; 0: none
	Passed         int           // number of agents that have forwarded its first packet, for whatever reason
	HasAlternative bool          // the flow can be passed on to another upstream
}

// Verdict is the decision on a new flow.
type Verdict uint8

const (
	// Accept accepts the flow at the upstream now.
	Accept Verdict = iota
	// PassOn forwards the flow to the next upstream in the flow's own order of upstreams: a
	// hand-off for lack of a free slot.
	PassOn
	// Wait queues the flow until Next, Evicted or Expired returns it.
	Wait
	// Refuse rejects the flow.
	Refuse
)

// Gate holds the flows that wait for one upstream. It is not safe for concurrent use.
type Gate struct {
	cfg         Config
	waiting     []Offer
	evicted     []uint64
	limited     bool          // the last call had a limit of a cold upstream
	serviceTime time.Duration // mean processing time of a request at the upstream
	openDelay   time.Duration // mean time from accepting a flow to its first request
}

// meanSamples is about the number of requests that the moving averages cover: one request
// has the weight 1/meanSamples. For long requests at one slot that is some seconds.
const meanSamples = 16

// initialMaxWaiting is the maximum number of waiting flows while no request has been
// measured.
const initialMaxWaiting = 256

// NewGate returns a gate without waiting flows.
func NewGate(cfg Config) *Gate { return &Gate{cfg: cfg.withDefaults()} }

// RecordServiceTime records the processing time of a request at the upstream. The moving
// average starts at 0, so it is too low after the first measurements.
func (g *Gate) RecordServiceTime(d time.Duration) { g.serviceTime += (d - g.serviceTime) / meanSamples }

// RecordOpenDelay records the time from accepting a flow to its first request. Its moving
// average starts at 0 too.
func (g *Gate) RecordOpenDelay(d time.Duration) { g.openDelay += (d - g.openDelay) / meanSamples }

// ServiceTime returns the mean processing time of a request at the upstream, or 0 before the
// first measurement.
func (g *Gate) ServiceTime() time.Duration { return g.serviceTime }

// maxAdmissionDelay is the maximum time by which waiting flows are accepted later than Warmup.LimitBy
// assumes. The agent takes them every 100 ms or more often, and the delay of those that use up the
// room of one second delays those of the next; the longest wait covers parts of two.
const maxAdmissionDelay = 200 * time.Millisecond

// room returns the number of flows that the upstream can be given now, by the limit of a cold upstream.
func room(now time.Duration, l *Load) int {
	if l.Room == nil {
		return math.MaxInt
	}
	return l.Room.Limit(now)
}

// LimitedByRoom reports whether only the limit of a cold upstream keeps an offer from being accepted.
func (g *Gate) LimitedByRoom(now time.Duration, o *Offer, l *Load) bool {
	before := g.waitingBefore(o.Priority)
	return l.Room != nil && room(now, l) <= before && g.free(*l, o.Priority) > before
}

// Waiting returns the number of waiting flows.
func (g *Gate) Waiting() int { return len(g.waiting) }

// free returns the number of flows of a priority that the upstream can accept: as many as it has room
// for if it had no requests of a lower priority, up to MaxDepth requests for each slot.
func (g *Gate) free(l Load, priority uint8) int {
	inFlight := l.Busy + l.Opening
	room := l.Slots + g.slack(l.Slots) - inFlight
	below := l.BusyBelow[min(priority, Priorities-1)]
	return max(room, min(room+below, g.cfg.MaxDepth*l.Slots-inFlight))
}

// waitingBefore returns the number of waiting flows of at least a priority.
func (g *Gate) waitingBefore(priority uint8) (n int) {
	for i := range g.waiting {
		if g.waiting[i].Priority <= priority {
			n++
		}
	}
	return n
}

// slack returns the number of requests beyond its slots that the upstream is given.
func (g *Gate) slack(slots int) int {
	if g.serviceTime <= 0 {
		return g.cfg.Slack
	}
	return min(max(g.cfg.Slack, int(time.Duration(slots)*g.openDelay/g.serviceTime)+1), g.cfg.MaxSlack)
}

// maxWaiting returns the maximum number of waiting flows: Oversubscription times as many as
// the slots complete within the longest wait, but at least two for each slot.
func (g *Gate) maxWaiting(slots int) int {
	if g.serviceTime <= 0 {
		return min(initialMaxWaiting, g.cfg.MaxWaiting)
	}
	completed := int(time.Duration(slots) * g.cfg.MaxWait / g.serviceTime)
	return min(max(g.cfg.Oversubscription*completed, 2*slots), g.cfg.MaxWaiting)
}

// Offer returns the verdict on a new flow.
func (g *Gate) Offer(now time.Duration, o Offer, l Load) Verdict {
	g.limited = l.Room != nil
	before := g.waitingBefore(o.Priority)
	if g.free(l, o.Priority) > before && room(now, &l) > before {
		return Accept
	}
	if o.HasAlternative && o.Passed < g.cfg.MaxPasses {
		return PassOn
	}
	limit := g.maxWaiting(l.Slots)
	if l.Room != nil {
		// A flow that cannot be accepted before its wait ends is refused now, so that its client can try again.
		wait := g.cfg.MaxWait - maxAdmissionDelay
		if before >= l.Room.LimitBy(now, o.Sent+wait) {
			return Refuse
		}
		limit = min(limit, l.Room.LimitBy(now, now+wait))
	}
	if len(g.waiting) >= limit && !g.evict(now, &o) {
		return Refuse
	}
	g.waiting = append(g.waiting, o)
	return Wait
}

// evict removes the waiting flow that would be accepted last, unless the offer would be
// accepted after it. It reports whether it removed one.
func (g *Gate) evict(now time.Duration, o *Offer) bool {
	if len(g.waiting) == 0 {
		return false
	}
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

// compare orders two offers; the one to accept first is the lesser.
func (g *Gate) compare(now time.Duration, a, b *Offer) int {
	if g.limited {
		// Only flows that will be accepted in time may wait for room, so none may go before those that wait.
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Sent, b.Sent), cmp.Compare(a.ID, b.ID))
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(g.late(now, a), g.late(now, b)),
		g.byAge(now, a, b),
	)
}

// byAge orders two offers of equal priority and equal lateness by their age. Of two with
// an objective that can be met, the newest goes first: if the oldest went first
// under a lasting overload, all would wait until their objective is about to pass, and then
// miss it. Otherwise the oldest goes first, because its client aborts soonest.
func (g *Gate) byAge(now time.Duration, a, b *Offer) int {
	order := cmp.Or(cmp.Compare(a.Sent, b.Sent), cmp.Compare(a.ID, b.ID))
	if a.Objective > 0 && b.Objective > 0 && g.late(now, a) == 0 {
		return -order
	}
	return order
}

// late returns 1 for an offer whose first request would miss its objective if the upstream
// started it now, and 0 for others.
func (g *Gate) late(now time.Duration, o *Offer) int {
	if o.Objective > 0 && now-o.Sent+g.serviceTime > o.Objective {
		return 1
	}
	return 0
}

// Next removes and returns the flow to accept now, if there is one.
func (g *Gate) Next(now time.Duration, l Load) (id uint64, found bool) {
	if len(g.waiting) == 0 {
		return 0, false
	}
	g.limited = l.Room != nil
	first := 0
	for i := range g.waiting {
		if g.compare(now, &g.waiting[i], &g.waiting[first]) < 0 {
			first = i
		}
	}
	if g.free(l, g.waiting[first].Priority) <= 0 || room(now, &l) <= 0 {
		return 0, false
	}
	id = g.waiting[first].ID
	g.waiting = slices.Delete(g.waiting, first, first+1)
	return id, true
}

// Evicted returns the flows that were evicted in favour of others since the last call.
func (g *Gate) Evicted() []uint64 {
	out := g.evicted
	g.evicted = nil
	return out
}

// Expired removes and returns the flows whose first packet was sent MaxWait or longer ago.
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
