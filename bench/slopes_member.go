package bench

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

const (
	memberTick  = 100 * time.Millisecond // interval between the steps of a daemon
	steadyStart = 10 * time.Second       // later than the first seconds, in which a daemon exchanges digests more often
)

func memberMeasurements() []measurement {
	agents := []int{5, 15, 50, 150, 500}
	return []measurement{
		{"table and view", Memory, "daemon", fleetSizes, memberMemory},
		{"load records at the start", CPU, "daemon", fleetSizes, memberLoad},
		{"merge one change and build the view", CPU, "daemon", fleetSizes, memberChange},
		{"steps and one exchange without difference of one second", CPU, "daemon", fleetSizes, memberSecond},
		{"exchanges without difference that one balancer starts in one second", Wire, "daemon", fleetSizes, exchangeBytes},
		{"heartbeats of one second", CPU, "agent", agents, heartbeatCPU},
		{"heartbeats of one second", Wire, "agent", agents, heartbeatBytes},
		{"push changes of state, all rounds of one balancer", Wire, "change", []int{1, 3, 10, 30, 100, 300}, pushBytes},
		{"push changes of state, all rounds of one balancer", CPU, "change", []int{10, 30, 100, 300, 1000}, pushCPU},
		{"exchange until a new balancer knows all", Wire, "daemon", []int{53, 160, 533, 1600, 5330}, joinBytes},
	}
}

// slopeNode returns the first balancer of the fleet with the records of all daemons.
func slopeNode(records []member.Record) *member.Node {
	n := member.NewNode(member.Config{}, records[0], slopeRand())
	n.Load(0, records[1:])
	return n
}

func memberMemory(m meter, n int) Point {
	records := fleetRecords(n)
	return Point{float64(n), m.heap(func() any {
		node := slopeNode(records)
		node.Table().View()
		return node
	})}
}

func memberLoad(m meter, n int) Point {
	records := fleetRecords(n)
	return Point{float64(n), m.cpu(func() {}, func() { slopeNode(records) })}
}

func memberChange(m meter, n int) Point {
	const changes = 10
	records := fleetRecords(n)
	node := slopeNode(records)
	node.Table().View()
	total := m.cpu(func() {}, func() {
		for i := range changes {
			r := &records[n-1-i]
			r.Version++
			node.Load(0, []member.Record{*r})
			node.Table().View()
		}
	})
	return Point{float64(n), total / changes}
}

func memberSecond(m meter, n int) Point {
	const seconds = 10
	records := fleetRecords(n)
	node := slopeNode(records)
	same := member.Message{Kind: member.KindDigest, Digests: []member.Digest{node.Table().Digest()}}
	now := steadyStart
	node.Step(now)
	total := m.cpu(func() {}, func() {
		for range seconds {
			node.Handle(now, same)
			for range int(time.Second / memberTick) {
				now += memberTick
				node.Step(now)
			}
		}
	})
	return Point{float64(n), total / seconds}
}

func exchangeBytes(_ meter, n int) Point {
	const seconds = 20
	records := fleetRecords(n)
	one := slopeNode(records)
	other := member.NewNode(member.Config{}, records[1], slopeRand())
	other.Load(0, append(records[:1:1], records[2:]...))
	size, bytes := memberSize(), 0
	for now := steadyStart; now < steadyStart+seconds*time.Second; now += memberTick {
		for _, c := range one.Step(now) {
			if c.Request.Kind == member.KindDigest {
				reply := other.Handle(now, c.Request)
				bytes += size.bytes(&c.Request, &reply)
				one.Reply(now, c, reply)
			}
		}
	}
	return Point{float64(n), float64(bytes) / seconds}
}

// homeBalancer is a balancer and the agents whose home balancer it is: it receives their
// heartbeats and suspects an agent whose heartbeats stop.
type homeBalancer struct {
	node     *member.Node
	agents   []*member.Announcer
	now      time.Duration
	size     *callSize
	bytes    int
	requests []member.Message // requests of the agents in the last run
}

// newHomeBalancer returns the home balancer of the given number of registered agents. Services
// have as many upstreams as in the target fleet.
func newHomeBalancer(agents int) *homeBalancer {
	h := &homeBalancer{node: slopeNode(fleetRecords(1000)), size: memberSize()}
	cfg := member.Config{Seeds: []netip.AddrPort{h.node.Self().Control}}
	services := 1 + agents*targetServices/targetUpstreams
	for i := range agents {
		r := upstreamRecord(100_000+i, 10_000+i%services)
		h.agents = append(h.agents, member.NewAnnouncer(cfg, r, slopeRand()))
	}
	h.run(steadyStart)
	return h
}

// run steps the agents for a time and measures their calls to the balancer.
func (h *homeBalancer) run(d time.Duration) {
	h.bytes, h.requests = 0, h.requests[:0]
	for end := h.now + d; h.now < end; h.now += memberTick {
		for _, a := range h.agents {
			for _, c := range a.Step(h.now) {
				h.call(a, c)
			}
		}
	}
}

func (h *homeBalancer) call(a *member.Announcer, c member.Call) {
	if c.To != h.node.Self().Control {
		a.Unreachable(h.now, c)
		return
	}
	reply := h.node.Handle(h.now, c.Request)
	h.bytes += h.size.bytes(&c.Request, &reply)
	h.requests = append(h.requests, c.Request)
	a.Reply(h.now, c, reply)
}

func memberSize() *callSize {
	return newCallSize("Member.Call", &member.Message{}, &member.Message{})
}

func heartbeatBytes(_ meter, n int) Point {
	const seconds = 10
	h := newHomeBalancer(n)
	h.run(seconds * time.Second)
	return Point{float64(n), float64(h.bytes) / seconds}
}

func heartbeatCPU(m meter, n int) Point {
	const seconds = 10
	h := newHomeBalancer(n)
	h.run(seconds * time.Second)
	total := m.cpu(func() {}, func() {
		for _, request := range h.requests {
			h.node.Handle(h.now, request)
		}
	})
	return Point{float64(n), total / seconds}
}

// statePushes returns n messages. Each announces a new state of one of the last n upstreams
// in records.
func statePushes(records []member.Record, n int) []member.Message {
	out := make([]member.Message, n)
	for i := range out {
		r := records[len(records)-1-i]
		r.Version, r.State = r.Version+1, flow.Draining
		out[i] = member.Message{Kind: member.KindPush, Records: []member.Record{r}}
	}
	return out
}

// pushChanges passes all changes to a balancer at once and returns the calls by which it pushes
// them to others.
func pushChanges(node *member.Node, changes []member.Message) []member.Call {
	now := steadyStart
	node.Step(now)
	for _, m := range changes {
		node.Handle(now, m)
	}
	var out []member.Call
	for range 20 + len(changes)/10 {
		now += memberTick
		for _, c := range node.Step(now) {
			if c.Request.Kind == member.KindPush {
				out = append(out, c)
			}
		}
	}
	return out
}

func pushBytes(_ meter, n int) Point {
	records := fleetRecords(2000)
	size, bytes := memberSize(), 0
	for _, c := range pushChanges(slopeNode(records), statePushes(records, n)) {
		bytes += size.bytes(&c.Request, &member.Message{Revision: 1})
	}
	return Point{float64(n), float64(bytes)}
}

func pushCPU(m meter, n int) Point {
	records := fleetRecords(2000)
	changes := statePushes(records, n)
	var node *member.Node
	return Point{float64(n), m.cpu(func() { node = slopeNode(records) }, func() { pushChanges(node, changes) })}
}

// joinBytes measures the exchanges by which a new balancer with a single seed loads all
// records.
func joinBytes(_ meter, n int) Point {
	records := fleetRecords(n)
	seed := slopeNode(records[1:])
	cfg := member.Config{Seeds: []netip.AddrPort{seed.Self().Control}}
	joining := member.NewNode(cfg, records[0], slopeRand())
	size, bytes := memberSize(), 0
	for now := memberTick; joining.Table().Len() < n; now += memberTick {
		for _, c := range joining.Step(now) {
			reply := seed.Handle(now, c.Request)
			bytes += size.bytes(&c.Request, &reply)
			joining.Reply(now, c, reply)
		}
		if now > time.Hour {
			panic("bench: a new balancer did not receive all records within 1 h")
		}
	}
	return Point{float64(n), float64(bytes)}
}

func announcerMeasurements() []measurement {
	peers := []int{10, 30, 100, 300, 1000}
	return []measurement{
		{"table of the service", Memory, "upstream of the service", peers, announcerMemory},
		{"one step of an idle agent", CPU, "upstream of the service", peers, announcerStep},
		{"announce a change of state to all peers", Wire, "upstream of the service", peers, announceBytes},
		{"announce a change of state to all peers", CPU, "upstream of the service", peers, announceCPU},
	}
}

// slopeAnnouncer returns an agent with the records of n upstreams of its service,
// including its own.
func slopeAnnouncer(n int) *member.Announcer {
	a := member.NewAnnouncer(member.Config{}, upstreamRecord(0, 0), slopeRand())
	for i := 1; i < n; i++ {
		a.Handle(0, member.Message{Kind: member.KindPush, Records: []member.Record{upstreamRecord(i, 0)}})
	}
	a.ServiceUpstreams()
	return a
}

func announcerMemory(m meter, n int) Point {
	return Point{float64(n), m.heap(func() any { return slopeAnnouncer(n) })}
}

func announcerStep(m meter, n int) Point {
	const steps = 100
	a := slopeAnnouncer(n)
	now := steadyStart
	total := m.cpu(func() {}, func() {
		for range steps {
			now += memberTick
			a.Step(now)
		}
	})
	return Point{float64(n), total / steps}
}

func announceBytes(_ meter, n int) Point {
	a := slopeAnnouncer(n)
	a.SetState(steadyStart, flow.Draining)
	size, bytes := memberSize(), 0
	for _, c := range a.Step(steadyStart) {
		bytes += size.bytes(&c.Request, &member.Message{Revision: 1})
	}
	return Point{float64(n), float64(bytes)}
}

func announceCPU(m meter, n int) Point {
	var a *member.Announcer
	return Point{float64(n), m.cpu(func() { a = slopeAnnouncer(n) }, func() {
		a.SetState(steadyStart, flow.Draining)
		a.Step(steadyStart)
	})}
}
