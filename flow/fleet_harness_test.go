package flow

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// A fleet is a discrete-event simulation of one service in virtual time. It drives the Table of
// each agent and the Router of each balancer as packages agent and balancer do. All processes share
// one random generator, so that a seed fixes the run.
//
// Every process has its own view of the fleet and its own monotonic time, and is not scheduled now
// and then: its inputs queue up meanwhile, in one queue for each goroutine of the real process.

// Delays of the simulated network and machines.
const (
	fleetStepInterval    = 100 * time.Millisecond // agent.stepInterval
	fleetHeartbeat       = time.Second            // default of settings.Agent.HeartbeatSeconds
	fleetDigestWait      = 500 * time.Millisecond // agent.digestWaitTimeout
	fleetDialTimeout     = 400 * time.Millisecond // of a control call to a VM that does not answer
	fleetMaxPacketAge    = 200 * time.Millisecond // packetio.MaxAge
	fleetMaxQueued       = 32                     // agent.maxQueuedPerAgent
	fleetHandoverTimeout = time.Second            // agent.handoverTimeout
	fleetReportGap       = time.Second            // agent.undeliveredReportInterval
	fleetSYNTimeout      = 1400 * time.Millisecond
	fleetHalfOpen        = 5 * time.Second // until a upstream drops a flow that its client does not open
	fleetDeadline        = 6 * time.Second // of a request; then the client gives the flow up
	fleetStableWindow    = 4 * time.Second // stable-window-ms: VMs are exempt for so long after an unplanned disruption
	fleetSiteWindow      = 5 * time.Second // the same on tkl-ub-schools-grown
	fleetFlowWindow      = 2 * time.Second // flow-window-ms
	fleetMisdeliveries   = 3               // deliveries to other upstreams within fleetFlowWindow that break the rule
	fleetStallMax        = 300 * time.Millisecond
	fleetMarkMax         = 4 * time.Second // duration of a mistaken failure mark
	fleetMaxRetry        = 1600 * time.Millisecond
	fleetSlots           = 16
)

// fleetQueue names the goroutine that handles an input.
type fleetQueue int

const (
	queueData    fleetQueue = iota // packets and datagrams from balancers and agents
	queueReplies                   // packets from the upstream
	queueControl                   // control calls
	queueUrgent                    // digest steps and suspect checks between steps
	queueStep                      // the periodic step
	fleetQueues
)

type fleetEvent struct {
	at  time.Duration
	seq int
	run func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int { return len(q) }
func (q fleetEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fleetEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(e any)   { *q = append(*q, e.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type fleet struct {
	shape     fleetShape
	seed      uint64
	now       time.Duration
	rng       *rand.Rand
	events    fleetEvents
	seq       int
	agents    []*fleetAgent
	balancers []*fleetBalancer
	flows     map[packet.Key]*clientFlow // the last one of each key
	steady    bool                       // hash-mode of the platform's routers
	busy      bool                       // the processes wait for a processor often
	nextFlow  int
	nextStart uint64
	end       time.Duration
	clients   []*fleetClient
	orders    []fleetOrder
	routes    []fleetRoutes                   // the versions of the routes, the newest last; only with moves
	stored    map[packet.AgentID]memberRecord // with moves: the records in the store
	cuts      map[fleetLink]time.Duration     // until then a link between two VMs loses all packets in its direction
	bornSteps bool                            // the time of day that upstreams announce jumps with that of their VM
	// maxPacketAge is the time after which the packets that wait for a process are dropped. It is 0 on systems that do
	// not tell when a packet has arrived.
	maxPacketAge time.Duration

	traced     packet.Key // flow whose decisions are recorded
	traceLines []string
	traceEnded bool // the flow has broken the rule
	oracle     fleetOracle
}

// fleetShape is the size of a fleet and the trouble that it has.
type fleetShape struct {
	name              string
	length            time.Duration
	balancers, agents [2]int // minimum, and number of sizes above it
	clients           [2]int
	domains           int // failure domains of the balancers; clients use those of their own
	mod               bool
	stableWindow      time.Duration
	trouble           bool // unplanned disruptions beside planned work: see troubles
	evacuates         bool // orders to evacuate: see orderEvacuations
	holdsBack         bool // balancers forward packets late: see holdBackPackets
	closes            bool // clients and upstreams close flows, and refuse some, as the platform's page says
	reusesPorts       bool // clients use a port again, at once or later
	standsStill       bool // agents stand still, and links between agents fail: see standStill
	moves             bool // the addresses change between two services: see moveRoutes
	planned           bool // planned work alone, in which upstreams leave in other ways too: see plannedWork
	defaultSeeds      int
}

var (
	fleetPlain = fleetShape{
		name: "plain", length: 30 * time.Second, balancers: [2]int{2, 3}, agents: [2]int{3, 10}, clients: [2]int{20, 30},
		domains: 1, stableWindow: fleetStableWindow, defaultSeeds: 50,
	}
	fleetTroubled = fleetShape{
		name: "troubled", length: 40 * time.Second, balancers: [2]int{3, 6}, agents: [2]int{4, 10}, clients: [2]int{20, 30},
		domains: 2, stableWindow: fleetSiteWindow, trouble: true, defaultSeeds: 40,
	}
	// fleetSite is the larger service of the site tkl-ub-schools-grown.
	fleetSite = fleetShape{
		name: "site", length: 40 * time.Second, balancers: [2]int{8, 9}, agents: [2]int{37, 1}, clients: [2]int{80, 60},
		domains: 4, mod: true, stableWindow: fleetSiteWindow, trouble: true, defaultSeeds: 2,
	}
)

func newFleet(seed uint64, shape fleetShape) *fleet {
	f := &fleet{shape: shape, seed: seed, rng: rand.New(rand.NewPCG(seed, 34)), flows: map[packet.Key]*clientFlow{}, cuts: map[fleetLink]time.Duration{}, stored: map[packet.AgentID]memberRecord{}, nextStart: 101, end: shape.length}
	f.oracle.f = f
	f.steady, f.busy = f.chance(0.5), f.chance(0.5)
	f.steady = f.steady && !shape.mod
	for range shape.balancers[0] + f.rng.IntN(shape.balancers[1]) {
		f.addBalancer()
	}
	for range shape.agents[0] + f.rng.IntN(shape.agents[1]) {
		f.addAgent()
	}
	if shape.moves {
		f.routes = []fleetRoutes{f.drawRoutes()}
	}
	f.bornSteps = shape.trouble && f.chance(0.5)
	f.maxPacketAge = fleetMaxPacketAge
	if shape.holdsBack || shape.standsStill {
		f.maxPacketAge = 0
	}
	return f
}

func (f *fleet) addBalancer() *fleetBalancer {
	i := len(f.balancers)
	b := &fleetBalancer{fleetProcess: fleetProcess{f: f, vm: &fleetVM{}, name: fmt.Sprintf("balancer-%d", i)}, view: map[packet.AgentID]memberRecord{}}
	b.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 254, 0, byte(i + 1)}), 4000)
	b.domain = i % f.shape.domains
	f.balancers = append(f.balancers, b)
	return b
}

func (f *fleet) addAgent() *fleetAgent {
	i := len(f.agents)
	name := fmt.Sprintf("agent-%d", i)
	vm := &fleetVM{}
	a := &fleetAgent{fleetProcess: fleetProcess{f: f, vm: vm, name: name}, id: packet.AgentIDOf(name), service: testService}
	if f.shape.moves {
		a.service = fleetServices[i%len(fleetServices)]
	}
	a.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, byte((i + 1) >> 8), byte(i + 1)}), 4000)
	a.upstream = &fleetUpstream{fleetProcess: fleetProcess{f: f, vm: vm, name: fmt.Sprintf("upstream-%d", i)}, agent: a}
	f.agents = append(f.agents, a)
	return a
}

// run plays the scenario and the clients until the end.
func (f *fleet) run() {
	f.schedule()
	for len(f.events) > 0 && f.events[0].at <= f.end {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.run()
	}
	f.now = f.end
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, fleetEvent{at: f.now + d, seq: f.seq, run: run})
}

func (f *fleet) chance(p float64) bool { return f.rng.Float64() < p }

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)+1))
}

// packetDelay is the time of a packet between two VMs.
func (f *fleet) packetDelay() time.Duration {
	if f.chance(0.03) {
		return f.between(3*time.Millisecond, 30*time.Millisecond)
	}
	return f.between(200*time.Microsecond, 3*time.Millisecond)
}

// messageDelay is the time of a control message, hint, inquiry or answer.
func (f *fleet) messageDelay() time.Duration {
	switch r := f.rng.Float64(); {
	case r < 0.02:
		return f.between(150*time.Millisecond, 600*time.Millisecond)
	case r < 0.2:
		return f.between(5*time.Millisecond, 150*time.Millisecond)
	}
	return f.between(300*time.Microsecond, 5*time.Millisecond)
}

// viewDelay is the time until a process has received a change of the membership.
func (f *fleet) viewDelay() time.Duration {
	if f.chance(0.3) {
		return f.between(250*time.Millisecond, 1500*time.Millisecond)
	}
	return f.between(20*time.Millisecond, 250*time.Millisecond)
}

func (f *fleet) trace(c *clientFlow, format string, args ...any) {
	if c != nil && c.key == f.traced && !f.traceEnded {
		f.traceLines = append(f.traceLines, fmt.Sprintf("%8.3f ", f.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

func (f *fleet) agentOf(id packet.AgentID) *fleetAgent {
	for _, a := range f.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

// agentAt returns the agent that has got the address last.
func (f *fleet) agentAt(addr netip.AddrPort) *fleetAgent {
	for _, a := range slices.Backward(f.agents) {
		if a.addr == addr {
			return a
		}
	}
	return nil
}

// fleetVM is the state of a VM and its links. Times are global; the time is over when it has passed.
type fleetVM struct {
	frozenUntil, slowUntil, cutUntil, lossyUntil time.Duration
	wallOffset                                   time.Duration // of the time of day
	// disruptedUntil is the end of an unplanned disruption of the VM or its links, killedUntil that of
	// its daemon alone, each with the stable window.
	disruptedUntil, killedUntil time.Duration
}

// fleetLink is the direction from one VM to another.
type fleetLink struct{ from, to *fleetVM }

const (
	fleetLossRate      = 0.025 // kind "lossy" of tkl-ub-schools-grown, x
	fleetLossyDelayMax = 60 * time.Millisecond
)

// connects reports whether a datagram from one VM to another arrives, as far as their links decide, and
// how long the links delay it.
func (f *fleet) connects(from, to *fleetVM) (delay time.Duration, ok bool) {
	if f.now < f.cuts[fleetLink{from, to}] {
		return 0, false
	}
	for _, vm := range [...]*fleetVM{from, to} {
		if f.now < vm.cutUntil {
			return 0, false
		}
		if f.now < vm.lossyUntil {
			if f.chance(fleetLossRate) {
				return 0, false
			}
			delay += f.between(0, fleetLossyDelayMax)
		}
	}
	return delay, true
}

// fleetProcess is one process. run changes with each start and end, so that work of an earlier run
// is discarded.
type fleetProcess struct {
	f            *fleet
	vm           *fleetVM
	name         string
	up           bool
	runs         int
	startedAt    time.Duration
	stalledUntil time.Duration
	wakeAt       [fleetQueues]time.Duration // until then the inputs of a queue wait
	suspended    time.Duration              // time that the monotonic clock does not count

	suspendedUntil time.Duration
}

func (p *fleetProcess) begin() {
	p.up, p.startedAt, p.stalledUntil = true, p.f.now, 0
	p.runs++
	p.wakeAt = [fleetQueues]time.Duration{}
	p.suspended, p.suspendedUntil = 0, 0
	if rest := p.vm.frozenUntil - p.f.now; rest > 0 {
		p.stall(rest)
	}
	if p.f.now < p.vm.slowUntil {
		p.stall(p.f.between(fleetSlowStartMin, fleetSlowStartMax))
	}
}

func (p *fleetProcess) finish() {
	p.up = false
	p.runs++
}

// clock is the monotonic time of the process.
func (p *fleetProcess) clock() time.Duration { return p.f.now - p.startedAt - p.suspended }

// stall leaves the process without a processor. Its goroutines continue in any order.
func (p *fleetProcess) stall(d time.Duration) {
	p.stalledUntil = max(p.stalledUntil, p.f.now+d)
	for q := range p.wakeAt {
		p.wakeAt[q] = max(p.wakeAt[q], p.stalledUntil+p.f.between(0, 5*time.Millisecond))
	}
}

// input lets the process handle something that arrives now. Inputs that wait longer than maxAge are
// dropped, unless it is 0. It reports whether the process is up.
func (p *fleetProcess) input(q fleetQueue, maxAge time.Duration, handle func()) bool {
	if !p.up {
		return false
	}
	p.enqueue(q, maxAge, p.f.now, p.runs, handle)
	return true
}

func (p *fleetProcess) enqueue(q fleetQueue, maxAge, arrived time.Duration, run int, handle func()) {
	if p.runs != run {
		return
	}
	if wait := p.wakeAt[q] - p.f.now; wait > 0 {
		p.f.after(wait, func() { p.enqueue(q, maxAge, arrived, run, handle) })
		return
	}
	if maxAge == 0 || p.f.now-arrived <= maxAge {
		handle()
	}
}

// later lets a goroutine of the process continue after a delay, if the process still runs.
func (p *fleetProcess) later(d time.Duration, q fleetQueue, handle func()) {
	run := p.runs
	p.f.after(d, func() { p.enqueue(q, 0, p.f.now, run, handle) })
}

// memberRecord is the membership record of an agent. Versions of the agent's own announcements are
// even; a failure mark by others has the odd version above the record that it replaces.
type memberRecord struct {
	u         Upstream
	version   uint64
	endpoints []Endpoint // at which the upstream is known to hold flows
}

// versionsPerRun is the number of versions of one agent process.
const versionsPerRun = 1 << 20

// publish sends a record to all processes, each of which receives it late.
func (f *fleet) publish(r memberRecord) {
	from := f.agentOf(r.u.ID).vm
	if f.shape.moves {
		f.after(f.between(0, fleetShardDelay), func() { f.store(r) })
	}
	for _, b := range f.balancers {
		f.sendRecord(from, &b.fleetProcess, f.viewDelay(), func() { b.receiveRecord(r) })
	}
	for _, a := range f.agents {
		f.sendRecord(from, &a.fleetProcess, f.viewDelay(), func() { a.input(queueControl, 0, func() { a.receiveRecord(r) }) })
	}
}

func (f *fleet) sendRecord(from *fleetVM, to *fleetProcess, delay time.Duration, receive func()) {
	if more, ok := f.connects(from, to.vm); ok {
		f.after(delay+more, receive)
	}
}

func sortedUpstreams(view map[packet.AgentID]memberRecord) []Upstream {
	out := make([]Upstream, 0, len(view))
	for _, r := range view {
		out = append(out, r.u)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return int(int64(a.ID) - int64(b.ID)) })
	return out
}

// fleetBalancer is a balancer process with its Router.
type fleetBalancer struct {
	fleetProcess
	addr       netip.AddrPort
	router     *Router
	view       map[packet.AgentID]memberRecord
	domain     int
	earlier    map[packet.AgentID]memberRecord // record of an agent's earlier process
	viewChange time.Duration                   // global time of the last change of the view
	readyOnce  bool                            // the view has been complete since the start
	leaving    bool                            // out of rotation, before a planned restart
	loaded     bool                            // the records have been read from the store
	synced     bool                            // a balancer that was complete has sent its view
	inRotation bool                            // as the platform's probes have found last; see probeBalancer
	misses     int
}

var (
	fleetRepeatable = netip.MustParseAddrPort("192.0.2.1:443")
	fleetOnce       = netip.MustParseAddrPort("192.0.2.2:443")
)

func (b *fleetBalancer) start() {
	b.begin()
	b.router, b.leaving = NewRouter(RouterConfig{Hints: 4096}), false
	b.readyOnce, b.synced = false, false
	clear(b.view)
	b.earlier = map[packet.AgentID]memberRecord{}
	b.viewChange = b.f.now
	b.later(b.f.between(20*time.Millisecond, 300*time.Millisecond), queueControl, b.sync)
	if b.loaded = false; b.f.shape.moves {
		b.later(fleetHeartbeat/2, queueControl, b.installView) // View.Incomplete may have ended
		b.later(3*time.Second, queueControl, b.installView)
		b.later(b.f.between(20*time.Millisecond, 400*time.Millisecond), queueControl, b.load)
	}
}

// sync merges the view of another balancer, passes what is new on to its agents, and does so again.
func (b *fleetBalancer) sync() {
	next := 100 * time.Millisecond
	other := b.f.balancers[b.f.rng.IntN(len(b.f.balancers))]
	_, connected := b.f.connects(b.vm, other.vm)
	if other != b && other.up && len(other.view) > 0 && connected {
		next = time.Second
		b.synced = b.synced || other.complete()
		for _, a := range b.f.agents {
			r, known := other.view[a.id]
			if !known || r.version <= b.view[a.id].version {
				continue
			}
			b.receiveRecord(r)
			for _, to := range b.f.agents {
				if slices.Contains(to.homes(), b) {
					b.f.sendRecord(b.vm, &to.fleetProcess, b.f.viewDelay(), func() { to.input(queueControl, 0, func() { to.receiveRecord(r) }) })
				}
			}
		}
	}
	b.later(next, queueControl, b.sync)
}

// complete is member.Node.complete, without a store but with moves.
func (b *fleetBalancer) complete() bool {
	return b.synced || b.loaded && b.clock() >= fleetHeartbeat/2 || b.clock() >= 3*time.Second
}

func (b *fleetBalancer) receiveRecord(r memberRecord) {
	if !b.up || r.version <= b.view[r.u.ID].version {
		return
	}
	old, known := b.view[r.u.ID]
	if known && old.u.Incarnation != r.u.Incarnation {
		b.earlier[r.u.ID] = old
	}
	b.view[r.u.ID] = r
	b.viewChange = b.f.now
	b.installView()
}

func (b *fleetBalancer) installView() {
	if b.f.shape.moves {
		b.router.SetView(b.clock(), b.viewOfServices())
		return
	}
	endpoints := fleetEndpoints
	v := &View{Services: []Service{{ID: testService, Name: "s", Upstreams: b.withOrders(sortedUpstreams(b.view))}}}
	for i, e := range endpoints {
		v.Routes = append(v.Routes, Route{Endpoint: e, Targets: []Target{{Service: testService, Weight: 1}}, Class: packet.NewClass(0, 0, i == 0)})
	}
	b.router.SetView(b.clock(), v)
}

// ready reports whether the balancer's view counts as complete: see balancer.mayBecomeReady.
func (b *fleetBalancer) ready() bool {
	if !b.up || b.leaving {
		return false
	}
	b.readyOnce = b.readyOnce || len(b.view) > 0 && b.f.now-b.viewChange >= 200*time.Millisecond || b.clock() >= 3*time.Second
	return b.readyOnce
}

// pickBalancer returns the balancer to which the platform's routers send a packet of a flow from
// clients in a failure domain.
func (f *fleet) pickBalancer(hash uint64, domain int) *fleetBalancer {
	var in, all []*fleetBalancer
	for d := 0; d < f.shape.domains && len(in) == 0; d++ {
		in, all = f.rotation((domain + d) % f.shape.domains)
	}
	if 2*len(in) < len(all) {
		in = all
	}
	if !f.steady {
		return in[hash>>7%uint64(len(in))]
	}
	best, top := in[0], uint64(0)
	for _, b := range in {
		if s := score(hash, uint64(b.addr.Addr().As4()[3])*0x9e3779b97f4a7c15); s >= top {
			best, top = b, s
		}
	}
	return best
}

// rotation returns the balancers of a failure domain that are in rotation, and all.
func (f *fleet) rotation(domain int) (in, all []*fleetBalancer) {
	for _, b := range f.balancers {
		if b.domain != domain {
			continue
		}
		all = append(all, b)
		if f.shape.trouble && b.inRotation || !f.shape.trouble && b.ready() {
			in = append(in, b)
		}
	}
	return in, all
}

func (b *fleetBalancer) receive(c *clientFlow, in packet.Info) {
	b.input(queueData, b.f.maxPacketAge, func() {
		d := b.router.Route(b.clock(), &in)
		if !d.OK {
			b.f.trace(c, "%s drops %s: %v", b.name, describe(&in), d.Reason)
			if d.Reason == ReasonEvacuated && in.Repeat == 0 {
				b.f.after(b.f.packetDelay(), func() { c.receiveReset(&fleetAgent{fleetProcess: b.fleetProcess}, 0, d.Reason.String()) })
			}
			return
		}
		to := b.f.agentAt(d.Addr)
		b.f.trace(c, "%s sends %s to %s, hinted %v, expected %v, shared %v", b.name, describe(&in), to.name, d.Hinted, d.Expected, d.Shared)
		h := packet.Header{Kind: packet.KindData, Service: d.Service, Customer: 1, Class: d.Class, Origin: b.addr}
		if d.Expected {
			h.Flags = packet.FlagExpected
		}
		if d.Shared {
			h.Flags |= packet.FlagShared
		}
		b.f.sendPacket(b.vm, to, fleetPacket{h: h, in: in, flow: c, taker: b.vm})
		b.sendCopies(&d, fleetPacket{h: h, in: in, flow: c, taker: b.vm})
	})
}

func describe(in *packet.Info) string {
	switch {
	case in.First:
		return fmt.Sprintf("SYN copy %d", in.Repeat)
	case in.FIN:
		return fmt.Sprintf("FIN %d", in.Seq)
	case len(in.Payload) == 0:
		return "an acknowledgement"
	}
	return fmt.Sprintf("data %d", in.Seq)
}

// fleetPacket is a client's packet with its encapsulation header.
type fleetPacket struct {
	h     packet.Header
	in    packet.Info
	flow  *clientFlow
	taker *fleetVM // VM of the balancer that has received it from the client
}

func (f *fleet) sendPacket(from *fleetVM, to *fleetAgent, p fleetPacket) {
	more, ok := f.connects(from, to.vm)
	if !ok || f.chance(0.003) {
		f.trace(p.flow, "  the packet to %s is lost", to.name)
		return
	}
	f.after(more+f.packetDelay(), func() {
		if !to.input(queueData, f.maxPacketAge, func() { to.receive(p) }) {
			f.trace(p.flow, "  %s is down", to.name)
		}
	})
}

// sendDatagram sends a hint, inquiry or answer.
func (f *fleet) sendDatagram(from *fleetVM, to *fleetProcess, handle func()) {
	more, ok := f.connects(from, to.vm)
	if !ok || f.chance(0.02) {
		return
	}
	f.after(more+f.messageDelay(), func() { to.input(queueData, f.maxPacketAge, handle) })
}

// fleetAgent is an agent process with its Table, and what its upstreamMonitor knows of the upstream.
type fleetAgent struct {
	fleetProcess
	id                 packet.AgentID
	service            packet.ServiceID
	learned            map[Endpoint]bool // of the upstream's flows
	announcedEndpoints []Endpoint
	addr               netip.AddrPort
	incarnation        uint64
	table              *Table
	upstream           *fleetUpstream
	view               map[packet.AgentID]memberRecord
	viewChanged        bool
	version            uint64 // of the own record
	announced          Upstream
	homeKnown          bool // a balancer has answered
	listComplete       bool // a complete one has
	homeSince          time.Duration
	stopping           bool
	buffered           map[uint64]fleetPacket
	queues             map[packet.AgentID]*sendQueue
	timerSet           bool
	gone               bool // its VM has been removed
	reused             bool // an agent of another service has got its address

	// State of upstream.Tracker and agent.upstreamMonitor.
	known, upstreamDraining, upstreamLeaving, upstreamStopped, listening bool
	upstreamStart, upstreamSeq                                           uint64
	evidence                                                             startEvidence
	appliedNoEarlier                                                     bool
	earlierStarts                                                        map[uint64]bool
	stoppedCheck                                                         uint8        // number of the check that has found the upstream stopped
	predecessor                                                          memberRecord // of the latest earlier process
	lastAlive, unansweredSince, checkedAt                                time.Duration
	startWall, upstreamBorn                                              time.Duration // times of day
	refusedOnce                                                          bool
	packetAt, announcedAt                                                time.Duration
}

// startEvidence is that of package agent.
type startEvidence struct{ first, older bool }

type sendQueue struct {
	messages []Message
	busy     bool
	reported time.Duration
}

func (a *fleetAgent) start() {
	a.begin()
	a.incarnation = uint64(a.f.now)<<8 | uint64(a.runs)
	a.view, a.viewChanged = map[packet.AgentID]memberRecord{}, true
	a.version = uint64(a.runs) * versionsPerRun
	a.homeKnown, a.listComplete, a.stopping, a.timerSet = false, false, false, false
	a.buffered, a.queues = map[uint64]fleetPacket{}, map[packet.AgentID]*sendQueue{}
	a.known, a.upstreamDraining, a.upstreamLeaving, a.upstreamStopped, a.listening = false, false, false, false, false
	a.upstreamStart, a.upstreamSeq, a.evidence, a.appliedNoEarlier = 0, 0, startEvidence{}, false
	a.earlierStarts, a.predecessor = map[uint64]bool{}, memberRecord{}
	a.lastAlive, a.unansweredSince, a.checkedAt = 0, 0, 0
	a.startWall, a.upstreamBorn, a.refusedOnce, a.packetAt, a.announcedAt = a.f.now+a.vm.wallOffset, 0, false, 0, 0
	a.learned, a.announcedEndpoints = map[Endpoint]bool{}, nil
	self := Upstream{ID: a.id, Name: a.name, Incarnation: a.incarnation, Addr: a.addr, State: Starting}
	a.table = NewTable(TableConfig{
		Settling: 4 * time.Second, Rebuild: rebuildTime, DigestDelay: time.Millisecond, DigestRate: 64 << 10,
		ResyncDelay: 400 * time.Millisecond, Gate: load.NewGate(load.Config{}),
		OnFalseDenial: func(d *FalseDenial) { a.f.oracle.falselyDenied(a, d) },
		OnRemoved: func(r *RemovedFlow) {
			a.f.trace(a.f.flows[r.Key], "  the flow leaves the table of %s: %v, handshake %s", a.name, r.Cause, r.Handshake)
		},
	}, self, a.service, rand.New(rand.NewPCG(a.f.rng.Uint64(), 1)))
	a.table.StartRebuild(0)
	a.table.SetSlots(fleetSlots)
	a.announced = self
	a.announce()
	a.later(a.f.viewDelay(), queueControl, a.sync)
	a.later(a.f.between(0, fleetStepInterval), queueStep, a.step)
}

// homes returns the agent's home balancers.
func (a *fleetAgent) homes() []*fleetBalancer {
	i, n := int(a.id), len(a.f.balancers)
	return []*fleetBalancer{a.f.balancers[i%n], a.f.balancers[(i+1)%n]}
}

// sync is the heartbeat to a home balancer, which answers with the newer records.
func (a *fleetAgent) sync() {
	b := a.homes()[a.f.rng.IntN(2)]
	_, connected := a.f.connects(a.vm, b.vm)
	if a.f.shape.trouble && b.up && connected && b.view[a.id].version < a.version {
		// A heartbeat carries the own record if the balancer has not confirmed it.
		a.f.publish(a.record())
	}
	if b.up && len(b.view) > 0 && connected {
		for _, other := range a.f.agents {
			if r, known := b.view[other.id]; known {
				a.receiveRecord(r)
			}
		}
		if r, known := b.earlier[a.id]; known {
			a.noteEarlier(r)
		}
		a.listComplete = a.listComplete || b.complete()
		if !a.homeKnown {
			a.homeKnown = true
			a.later(time.Millisecond, queueStep, a.stepOnce)
		}
	}
	wait := a.f.between(800*time.Millisecond, 1200*time.Millisecond)
	if !a.listComplete {
		wait = 200 * time.Millisecond // agent.joinInterval
	}
	a.later(wait, queueControl, a.sync)
}

func (a *fleetAgent) receiveRecord(r memberRecord) {
	if r.u.ID == a.id {
		if r.u.Incarnation != a.incarnation {
			a.noteEarlier(r)
		}
		if r.version > a.version { // a mistaken failure mark: refute it
			a.version = r.version + 1
			a.later(a.f.viewDelay(), queueControl, a.announce)
		}
		return
	}
	if r.version > a.view[r.u.ID].version && a.f.agentOf(r.u.ID).service == a.service {
		a.view[r.u.ID], a.viewChanged = r, true
	}
}

// noteEarlier records the record of an earlier process of this agent.
func (a *fleetAgent) noteEarlier(r memberRecord) {
	if r.u.Start != 0 || a.f.shape.trouble {
		a.earlierStarts[r.u.Start] = true
	}
	if r.version > a.predecessor.version {
		a.predecessor = r
		a.table.SetPredecessor(r.u.Incarnation)
		a.table.ExpectList(r.u.State == AgentRestarting)
	}
}

// announce publishes the own record.
func (a *fleetAgent) announce() {
	a.version += 2 - a.version%2
	a.f.publish(a.record())
}

func (a *fleetAgent) record() memberRecord {
	return memberRecord{u: a.announced, version: a.version, endpoints: a.learnedEndpoints()}
}

func (a *fleetAgent) step() {
	a.stepOnce()
	a.later(fleetStepInterval, queueStep, a.step)
}

// stepOnce is Agent.step.
func (a *fleetAgent) stepOnce() {
	now, homeKnown := a.clock(), a.homeKnown
	if a.viewChanged {
		a.viewChanged = false
		list := a.withOrders(append(sortedUpstreams(a.view), a.announced))
		a.table.SetEvacuated(now, list[len(list)-1].Evacuated)
		a.table.SetPeers(now, list)
	}
	if homeKnown {
		a.table.SetPeersKnown(now)
		a.table.SetPeersIncomplete(now, !a.listComplete)
	}
	if !a.stopping && a.table.UpstreamStart() == a.upstreamStart {
		a.applyStart()
	}
	a.stepFlows()
	a.checkConnection()
	a.publishState()
	a.admitWaiting()
}

func (a *fleetAgent) stepFlows() {
	now := a.clock()
	messages := a.table.Step(now)
	for _, r := range a.table.RefusedFlows() {
		if r.Reset {
			a.reset(a.f.flows[r.Key], 0, "refused after a wait")
		}
	}
	for _, m := range messages {
		if _, known := a.view[m.To]; known {
			a.send(m)
		}
	}
	a.wakeDue()
}

// wakeDue is urgentWork.wakeDue.
func (a *fleetAgent) wakeDue() {
	soon := func() time.Duration { return a.f.between(20*time.Microsecond, 500*time.Microsecond) }
	if a.table.StepDue() {
		a.later(soon(), queueUrgent, a.stepFlows)
	}
	if a.table.WaitingDue() {
		a.later(soon(), queueUrgent, a.admitWaiting)
	}
	if a.table.SuspectsDue() {
		a.later(soon(), queueUrgent, a.checkSuspects)
	}
}

func (a *fleetAgent) checkSuspects() {
	now := a.clock()
	lost, inquiries, next := a.table.CheckSuspects(now)
	if next > 0 && !a.timerSet {
		a.timerSet = true
		a.later(next, queueUrgent, func() {
			a.timerSet = false
			a.checkSuspects()
		})
	}
	for i, l := range lost {
		c := a.f.flows[l.Key]
		if l.Key == a.f.traced {
			peers, changed := a.table.Peers()
			a.f.trace(c, "%s finds the flow lost: %d peers, changed %v ago, %+v", a.name, peers, now-changed, a.table.LossEvidence(now, i))
		}
		a.reset(c, l.Ack, "found lost")
	}
	for i := range inquiries {
		q := inquiries[i].Inquiry
		q.Flows, q.ReplyTo = slices.Clone(q.Flows), a.announced.Addr
		for _, to := range slices.Clone(inquiries[i].To) {
			peer := a.f.agentAt(to)
			a.f.traceHash(q.Flows, "%s asks %s, inquiry %d", a.name, peer.name, q.Number)
			a.f.sendDatagram(a.vm, &peer.fleetProcess, func() { peer.answer(&q) })
		}
	}
	a.wakeDue()
}

// traceHash traces a decision on flows that are given by their hashes.
func (f *fleet) traceHash(hashes []uint64, format string, args ...any) {
	if c := f.flows[f.traced]; c != nil && slices.Contains(hashes, c.hash) {
		f.trace(c, format, args...)
	}
}

var statusNames = map[packet.FlowStatus]string{packet.Held: "held", packet.NotHeld: "not held", packet.MaybeHeld: "maybe held"}

func (a *fleetAgent) answer(q *packet.Inquiry) {
	to, known := a.table.AddrOf(q.From)
	if !known {
		to = q.ReplyTo
	}
	answer := a.table.AnswerInquiry(a.clock(), q)
	if c := a.f.flows[a.f.traced]; c != nil {
		if i := slices.Index(q.Flows, c.hash); i >= 0 {
			a.f.trace(c, "%s answers inquiry %d of %s: %s", a.name, q.Number, a.f.agentAt(to).name, statusNames[answer.Statuses[i]])
		}
	}
	peer := a.f.agentAt(to)
	a.f.sendDatagram(a.vm, &peer.fleetProcess, func() {
		peer.table.HandleInquiryAnswer(peer.clock(), &answer)
		peer.wakeDue()
	})
}

// send queues a message: messages to one agent are sent one at a time, as by agent.sender.
func (a *fleetAgent) send(m Message) {
	q := a.queues[m.To]
	if q == nil {
		q = &sendQueue{reported: never}
		a.queues[m.To] = q
	}
	if len(q.messages) < fleetMaxQueued {
		q.messages = append(q.messages, m)
	}
	if !q.busy {
		q.busy = true
		a.sendNext(q)
	}
}

func (a *fleetAgent) sendNext(q *sendQueue) {
	if len(q.messages) == 0 {
		q.busy = false
		return
	}
	m := q.messages[0]
	q.messages = q.messages[1:]
	to, run := a.f.agentOf(m.To), a.runs
	failed := func() {
		a.later(a.f.between(time.Millisecond, fleetDialTimeout), queueControl, func() {
			q.messages = nil
			if now := a.clock(); m.Seq != 0 && (q.reported == never || now-q.reported >= fleetReportGap) {
				q.reported = now
				a.table.HandleUndelivered(now, m)
			}
			a.sendNext(q)
		})
	}
	lost := a.f.chance(0.02)
	more, connected := a.f.connects(a.vm, to.vm)
	a.f.after(more+a.f.messageDelay(), func() {
		if a.runs != run {
			return
		}
		arrived := connected && (lost && a.f.chance(0.5) || !lost)
		if to.reused && connected { // a message to another agent is ignored
			a.later(a.f.packetDelay(), queueControl, func() { a.sendNext(q) })
			return
		}
		if !arrived || !to.input(queueControl, 0, func() {
			to.table.Handle(to.clock(), m)
			to.wakeDue()
		}) || lost {
			failed()
			return
		}
		a.later(a.f.packetDelay(), queueControl, func() { a.sendNext(q) })
	})
}

// receive handles a packet from a balancer or an agent.
func (a *fleetAgent) receive(p fleetPacket) {
	act := a.table.Receive(a.clock(), &p.h, &p.in)
	a.apply("receives", p, act)
}

// returned handles a packet that the upstream has sent back.
func (a *fleetAgent) returned(p fleetPacket) {
	act := a.table.HandleReturned(a.clock(), &p.h, &p.in)
	a.apply("gets back", p, act)
	a.alive()
}

func (a *fleetAgent) alive() {
	a.lastAlive, a.unansweredSince, a.packetAt = a.clock(), 0, a.clock()
}

func (a *fleetAgent) apply(verb string, p fleetPacket, act Action) {
	if p.flow.key == a.f.traced {
		to := ""
		if act.Kind == Forward {
			to = " to " + a.f.agentOf(act.To).name
		}
		a.f.trace(p.flow, "  %s (%v) %s %s: %s%s, reason %v, probe %v, owner known %v, hops %d", a.name, a.table.State(), verb, describe(&p.in),
			[...]string{"drop", "deliver", "forward", "reset", "wait"}[act.Kind], to, act.Reason, act.Probe, act.OwnerKnown, p.h.Hops)
	}
	if act.Kind != Deliver {
		a.f.oracle.passedOn(p.flow, a)
	}
	switch act.Kind {
	case Deliver:
		a.deliver(p, act)
	case Forward:
		a.f.sendPacket(a.vm, a.f.agentAt(act.Addr), p)
	case Wait:
		a.buffered[act.Flow] = p
		if act.Hint {
			a.hint(p.h.Origin, p.flow, true)
		}
	case Reset:
		a.reset(p.flow, p.in.Ack, act.Reason.String())
	}
	a.wakeDue()
}

func (a *fleetAgent) deliver(p fleetPacket, act Action) {
	if (p.in.First || act.Probe) && a.unansweredSince == 0 {
		a.unansweredSince = a.clock()
	}
	s := a.upstream
	a.f.after(a.f.between(50*time.Microsecond, 500*time.Microsecond), func() {
		s.input(queueData, 0, func() { s.receive(p) })
	})
	if act.Hint {
		a.hint(p.h.Origin, p.flow, false)
		for _, to := range act.ExtraHints {
			a.hint(to, p.flow, false)
		}
	}
}

// hint sends a hint that this agent owns the flow, or that the flow waits here.
func (a *fleetAgent) hint(to netip.AddrPort, c *clientFlow, waiting bool) {
	for _, b := range a.f.balancers {
		if b.addr == to {
			a.f.sendDatagram(a.vm, &b.fleetProcess, func() {
				if waiting {
					b.router.LearnWaiting(b.clock(), &c.key, a.id)
				} else {
					b.router.Learn(b.clock(), &c.key, a.id)
				}
			})
		}
	}
	if peer := a.f.agentAt(to); peer != nil {
		a.f.sendDatagram(a.vm, &peer.fleetProcess, func() { peer.table.HandleHint(peer.clock(), &c.key, a.id) })
	}
}

// admitWaiting is Agent.admitWaiting.
func (a *fleetAgent) admitWaiting() {
	for {
		number, act, h := a.table.NextWaiting(a.clock())
		if number == 0 {
			break
		}
		p, found := a.buffered[number]
		delete(a.buffered, number)
		if found {
			p.h = h
			a.apply("admits", p, act)
		}
	}
	for number := range a.buffered {
		if !a.table.IsWaiting(number) {
			delete(a.buffered, number)
		}
	}
}

// reset sends a reset with a sequence number to the flow's client. The reset of a SYN has the number 0, which is
// also the acknowledgement number of its copy 0.
func (a *fleetAgent) reset(c *clientFlow, seq uint32, reason string) {
	a.f.trace(c, "  %s sends a reset: %s", a.name, reason)
	if a.f.now >= a.vm.cutUntil {
		a.f.after(a.f.packetDelay(), func() { a.f.flows[c.key].receiveReset(a, seq, reason) })
	}
}

// state is upstream.Tracker.State.
func (a *fleetAgent) state() State {
	switch {
	case a.upstreamLeaving:
		return Leaving
	case a.upstreamStopped, a.clock()-a.lastAlive > 3*fleetHeartbeat:
		return Failed
	case !a.known:
		return Starting
	case a.upstreamDraining:
		return Draining
	}
	return Ready
}

// publishState is Agent.publishUpstreamState.
func (a *fleetAgent) publishState() {
	if a.stopping {
		return
	}
	now, s := a.clock(), a.state()
	a.applyStart()
	if a.upstreamStopped {
		a.table.SetUpstreamStopped(now, a.stoppedCheck)
	}
	if s == Ready && a.table.State() != Ready && !a.mayBecomeReady(now) {
		s = Starting
	}
	a.table.SetState(now, s)
	if s != a.announced.State || a.upstreamStart != a.announced.Start || a.learnRestored() {
		a.announced.State, a.announced.Start = s, a.upstreamStart
		a.viewChanged = true
		a.announce()
	}
}

// applyStart is Agent.applyUpstreamStart.
func (a *fleetAgent) applyStart() {
	// An earlier process without an announcement may have run beside any upstream: see member.RanBefore.
	ranBefore := a.earlierStarts[a.upstreamStart] || a.f.shape.trouble && a.earlierStarts[0]
	first := a.evidence.first && !(a.predecessor.u.ID != 0 && a.evidence.older)
	noEarlier := first && a.listComplete && !ranBefore
	if a.upstreamStart != 0 && (a.table.UpstreamStart() != a.upstreamStart || noEarlier != a.appliedNoEarlier || a.table.UpstreamStopped() && !a.upstreamStopped) {
		a.table.SetUpstreamStart(a.clock(), a.upstreamStart, noEarlier)
		a.appliedNoEarlier = noEarlier
	}
}

func (a *fleetAgent) mayBecomeReady(now time.Duration) bool {
	if !a.homeKnown {
		return false
	}
	if a.homeSince == 0 {
		a.homeSince = now
	}
	return a.table.MayBecomeReady(now) || now-a.homeSince >= fleetDigestWait
}

// announcement handles an announcement of the upstream: see upstreamMonitor.Announced.
func (a *fleetAgent) announcement(start uint64, born time.Duration, seq uint64, draining bool) {
	if a.known && start != a.upstreamStart && born <= a.upstreamBorn || start == a.upstreamStart && seq <= a.upstreamSeq {
		return
	}
	if start != a.upstreamStart {
		a.evidence = startEvidence{first: seq == 1, older: a.startWall-born > 300*time.Millisecond}
		a.upstreamLeaving, a.upstreamBorn = false, born
	} else {
		draining = draining || a.upstreamDraining
	}
	a.known, a.upstreamStart, a.upstreamSeq, a.upstreamDraining, a.upstreamStopped, a.lastAlive = true, start, seq, draining, false, a.clock()
	a.announcedAt = a.clock()
	a.publishState()
}

// checkConnection is upstreamMonitor.checkConnection, when it is due.
func (a *fleetAgent) checkConnection() {
	now := a.clock()
	if a.checkedAt != 0 && now-a.checkedAt < 400*time.Millisecond || a.upstreamStopped {
		return
	}
	if (a.unansweredSince == 0 || now-a.unansweredSince < 100*time.Millisecond) && (a.known || a.listening || now < 300*time.Millisecond) && !a.refusedOnce && !a.upstreamLeaving {
		return
	}
	a.checkedAt = now
	if a.f.shape.trouble {
		a.connect(now)
		return
	}
	listening, number := a.upstream.up, a.table.BeginUpstreamCheck()
	a.later(a.f.between(100*time.Microsecond, 2*time.Millisecond), queueControl, func() {
		a.listening = listening
		if listening {
			a.lastAlive, a.upstreamStopped = a.clock(), false
		} else {
			a.upstreamStopped, a.stoppedCheck = true, number
		}
		a.unansweredSince = 0
		if !listening {
			a.publishState()
		}
	})
}

// connect is upstreamMonitor.checkConnection and recordConnectionCheck, for an upstream that may lie.
func (a *fleetAgent) connect(begun time.Duration) {
	s, number := a.upstream, a.table.BeginUpstreamCheck()
	connected, refused := s.up && !s.listenerClosed, !s.up || s.listenerClosed
	if s.up && a.f.now < s.lyingUntil && a.f.chance(fleetLieRate) {
		connected, refused = false, s.refuses
		a.f.note("%s lies to a connection check, refuses %v", s.name, refused)
	}
	delay := a.f.between(100*time.Microsecond, 2*time.Millisecond)
	if !connected && !refused {
		delay = 200 * time.Millisecond // agent.connectTimeout
	}
	a.later(delay, queueControl, func() {
		if refused {
			a.f.note("%s was refused a connection at %v, last packet %v, announced %v", a.name, a.startedAt+begun, a.startedAt+a.packetAt, a.startedAt+a.announcedAt)
		}
		a.unansweredSince, a.listening = 0, connected
		if connected {
			a.lastAlive, a.upstreamStopped = a.clock(), false
		}
		if !refused {
			a.refusedOnce = false
			return
		}
		if !a.refusedOnce && a.packetAt != 0 && begun-a.packetAt < 100*time.Millisecond {
			a.refusedOnce = true
			return
		}
		a.refusedOnce = false
		if a.known && a.announcedAt >= begun {
			return
		}
		a.upstreamStopped, a.stoppedCheck = true, number
		a.publishState()
	})
}

// stop is a planned stop: the agent announces that it restarts or, if its upstream has left, leaves.
func (a *fleetAgent) stop() {
	a.input(queueControl, 0, func() {
		s := AgentRestarting
		if a.upstreamLeaving || !a.upstream.up {
			s = Leaving
		}
		a.stopping = true
		a.table.SetState(a.clock(), s)
		a.announced.State = s
		a.announce()
		if s == AgentRestarting {
			a.table.BeginHandover(a.clock())
			a.stepFlows()
		}
		a.later(a.f.between(5*time.Millisecond, 200*time.Millisecond), queueControl, func() { a.finishStop(a.clock() + fleetHandoverTimeout) })
	})
}

// finishStop ends the process when its flows are handed over, at the latest at the given time.
func (a *fleetAgent) finishStop(limit time.Duration) {
	if a.clock() >= limit || a.table.HandoverDone() {
		a.finish()
		return
	}
	a.later(20*time.Millisecond, queueControl, func() { a.finishStop(limit) })
}

// fleetUpstream is an upstream process.
type fleetUpstream struct {
	fleetProcess
	agent    *fleetAgent
	start    uint64
	seq      uint64
	draining bool
	leaving  bool
	flows    map[packet.Key]*upstreamFlow
	endedAt  time.Duration // of the last run that has ended; 0: none has

	lyingUntil time.Duration // connection checks may fail
	refuses    bool          // they are refused, instead of not answered
	muteUntil  time.Duration // it ignores some packets
	// listenerClosed says that it accepts no connections any more, while it finishes its flows.
	listenerClosed bool
	bornOffset     time.Duration // vm.wallOffset at its start
}

// fleetCookieMask selects the bits of an acknowledgement number that name the flow at its upstream. The others count
// what the client has received.
const fleetCookieMask = ^uint32(0xffff)

// fleetCookie returns the sequence number of the SYN+ACK of the n-th flow that an upstream accepts.
func fleetCookie(n int) uint32 { return (uint32(n)*2654435769 | 1<<16) & fleetCookieMask }

type upstreamFlow struct {
	cookie      uint32
	since       time.Duration
	open, ended bool
	synSeq      uint32 // of the SYN that was accepted

	clientFIN, finSent, finAcked bool
}

func (s *fleetUpstream) launch() {
	s.begin()
	s.f.nextStart += 2 // a start ID is odd: see upstream.Announcement.StartID
	s.bornOffset = s.vm.wallOffset
	s.start, s.seq, s.draining, s.leaving, s.flows = s.f.nextStart, 0, false, false, map[packet.Key]*upstreamFlow{}
	s.listenerClosed = false
	s.later(s.f.between(10*time.Millisecond, 600*time.Millisecond), queueStep, s.heartbeat)
}

// heartbeat announces the upstream to its agent, and repeats an unacknowledged announcement soon.
func (s *fleetUpstream) heartbeat() {
	s.seq++
	start, seq, draining, a := s.start, s.seq, s.draining, s.agent
	born := s.startedAt
	if s.f.bornSteps {
		born += s.bornOffset
	}
	wait := s.f.between(900*time.Millisecond, 1100*time.Millisecond)
	if !a.up {
		wait = s.f.between(200*time.Millisecond, 500*time.Millisecond)
	}
	s.f.after(s.f.between(time.Millisecond, 20*time.Millisecond), func() {
		a.input(queueControl, 0, func() { a.announcement(start, born, seq, draining) })
	})
	s.later(wait, queueStep, s.heartbeat)
}

// exit ends the upstream process and its flows.
func (s *fleetUpstream) exit() {
	if s.up {
		s.finish()
		s.endedAt = s.f.now
		s.f.oracle.upstreamEnded(s)
	}
}

func (s *fleetUpstream) receive(p fleetPacket) {
	if s.f.now < s.muteUntil && s.f.chance(fleetMuteRate) {
		return
	}
	fl := s.flows[p.in.Key]
	if fl != nil && !fl.open && !fl.ended && s.f.now-fl.since > fleetHalfOpen {
		delete(s.flows, p.in.Key)
		fl = nil
	}
	if p.in.First {
		if s.f.shape.closes && s.refusesSYN(&p, fl) {
			s.f.trace(p.flow, "    %s refuses it", s.name)
			s.toAgent(true, func(a *fleetAgent) { a.returned(p) })
			return
		}
		if fl == nil || fl.ended || fl.synSeq != p.in.Seq {
			s.f.nextFlow++
			fl = &upstreamFlow{cookie: fleetCookie(s.f.nextFlow), since: s.f.now, synSeq: p.in.Seq}
			s.flows[p.in.Key] = fl
			s.checkEvacuation(p.flow)
		}
		s.f.trace(p.flow, "    %s accepts it", s.name)
		s.reply(p.flow, packet.Info{Flags: packet.FlagSYN | packet.FlagACK, Seq: fl.cookie}, 0)
		return
	}
	if fl == nil || (!fl.ended || s.f.shape.closes) && fl.cookie != p.in.Ack&fleetCookieMask {
		s.f.trace(p.flow, "    %s returns it", s.name)
		s.f.oracle.misdelivered(p.flow, s, &p)
		s.toAgent(true, func(a *fleetAgent) { a.returned(p) })
		return
	}
	s.f.trace(p.flow, "    %s holds the flow", s.name)
	if s.f.shape.closes {
		s.receiveHeld(p, fl)
		return
	}
	if !fl.open && !fl.ended {
		fl.open = true
		s.f.oracle.opened(p.flow, s)
	}
	s.f.oracle.delivered(p.flow, s)
	r := packet.Info{Flags: packet.FlagACK, Ack: p.in.Seq, Payload: fleetPayload}
	switch {
	case fl.ended && p.in.FIN:
		r.Payload, r.FIN = nil, true
	case fl.ended:
		r = packet.Info{RST: true, Flags: packet.FlagRST}
	case p.in.FIN || s.draining:
		r.FIN, fl.ended, fl.open = true, true, false
		s.f.oracle.closed(p.flow)
	}
	s.reply(p.flow, r, s.f.between(2*time.Millisecond, 40*time.Millisecond))
}

var fleetPayload = make([]byte, 100)

// toAgent passes a packet of the upstream to its agent. A returned packet needs the header that the
// agent process has kept since the delivery.
func (s *fleetUpstream) toAgent(returned bool, handle func(*fleetAgent)) {
	a, run := s.agent, s.agent.runs
	s.f.after(s.f.between(50*time.Microsecond, 500*time.Microsecond), func() {
		if returned && a.runs != run {
			return
		}
		a.input(queueReplies, 0, func() {
			handle(a)
			a.wakeDue()
		})
	})
}

func (s *fleetUpstream) reply(c *clientFlow, in packet.Info, work time.Duration) {
	in.Key = c.key.Reverse()
	send := func() {
		s.toAgent(false, func(a *fleetAgent) {
			a.table.HandleReply(a.clock(), &in)
			a.learned[endpointOf(&c.key)] = true
			a.alive()
			if a.f.now >= a.vm.cutUntil && !(a.f.now < a.vm.lossyUntil && a.f.chance(fleetLossRate)) {
				a.f.after(a.f.packetDelay(), func() { a.f.flows[c.key].receive(s, &in) })
			}
		})
	}
	if work == 0 {
		send()
		return
	}
	s.later(work, queueData, send)
}
