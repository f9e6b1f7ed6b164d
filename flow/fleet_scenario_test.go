package flow

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// clientFlow is one flow of a client, and what the oracle knows of it.
type clientFlow struct {
	f      *fleet
	key    packet.Key
	hash   uint64
	client *fleetClient
	cookie uint32 // of the upstream that has accepted the flow; 0 before
	// received is the number of bytes that the upstream has sent, as far as the client acknowledges them.
	received uint32
	closed   bool   // the client does not use the flow any more
	next     uint32 // number of the next packet
	left     int    // requests left
	unacked  []*sentPacket
	done     func() // opens the client's next flow

	deadline time.Duration
	idle     bool // with long pauses between requests

	finSent, finReceived bool

	taker       *fleetVM       // VM of the balancer that has received the last packet
	upstream    *fleetUpstream // holds the open flow; nil otherwise
	start       uint64         // start of that upstream
	misdelivery misdelivery
	reported    bool          // deliveries at other upstreams have been reported
	lost        bool          // the upstream has ended while the flow was open
	askedAt     time.Duration // when the client first sent a packet after that; 0: it has not
}

// sentPacket is a packet without an answer.
type sentPacket struct {
	in      packet.Info
	retry   time.Duration // interval until the next retransmission
	expires time.Duration
}

// misdelivery counts the deliveries of a flow's packets at other upstreams since the last one at its
// own.
type misdelivery struct {
	counted, all deliveries // those at VMs without an unplanned disruption, and all
	passedOn     int        // packets that the flow's own agent has not delivered
}

type deliveries struct {
	n     int
	first time.Duration
	list  []string
}

func (d *deliveries) add(now time.Duration, at *fleetUpstream, expected bool) {
	if d.n == 0 {
		d.first = now
	}
	d.n++
	d.list = append(d.list, fmt.Sprintf("%s %.3f s expected %v", at.name, now.Seconds(), expected))
}

// breaksRule reports whether the deliveries break rule FLOW.
func (d *deliveries) breaksRule(now time.Duration) bool {
	return d.n >= fleetMisdeliveries && now-d.first >= fleetFlowWindow
}

// fleetClient uses the balancers of a failure domain, or of others after a shift.
type fleetClient struct {
	domain  int
	shifted bool
	// With reusesPorts: the keys of its flows, the offsets of the sequence numbers of their SYNs, and whether these
	// numbers stay the same.
	keys     []packet.Key
	synSeqs  map[packet.Key]uint32
	sameSeqs bool
}

func (c *fleetClient) at() int {
	if c.shifted {
		return c.domain + 1
	}
	return c.domain
}

// client opens one flow after another.
func (f *fleet) client(n int) {
	port := uint16(1024)
	client := &fleetClient{domain: n}
	f.clients = append(f.clients, client)
	var open func()
	open = func() {
		port++
		to := fleetRepeatable
		if f.chance(0.5) {
			to = fleetOnce
		}
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), port)
		c := &clientFlow{f: f, client: client, key: packet.KeyOf(from, to, packet.ProtoTCP), left: 1 + f.rng.IntN(20), next: 1, deadline: fleetDeadline}
		if f.shape.reusesPorts {
			client.reusePort(c)
		}
		if f.shape.trouble {
			c.deadline, c.idle = f.between(4*time.Second, 8*time.Second), f.chance(0.3) || f.shape.holdsBack || f.shape.standsStill || f.shape.planned
		}
		c.hash = c.key.Hash()
		seq := uint32(c.hash) | 1 + client.synSeqs[c.key]
		c.done = func() { f.after(f.between(10*time.Millisecond, 300*time.Millisecond), open) }
		f.flows[c.key] = c
		for i := range 3 {
			f.after(SYNCopyDelay(uint8(i)), func() {
				if c.cookie == 0 && !c.closed {
					c.transmit(packet.Info{Key: c.key, First: true, Flags: packet.FlagSYN, Numbered: true, Repeat: uint8(i), Ack: uint32(i), Seq: seq})
				}
			})
		}
		f.after(fleetSYNTimeout, func() {
			if c.cookie == 0 && !c.closed {
				f.oracle.counts.unopened++
				c.close()
			}
		})
	}
	f.after(f.between(0, 2*time.Second), open)
}

func (c *clientFlow) close() {
	if !c.closed {
		c.closed, c.unacked = true, nil
		c.done()
	}
}

func (c *clientFlow) transmit(in packet.Info) {
	f := c.f
	if c.lost && c.askedAt == 0 {
		c.askedAt = f.now
	}
	f.after(f.packetDelay(), func() {
		b := f.pickBalancer(c.hash, c.client.at())
		if f.now >= b.vm.cutUntil {
			c.taker = b.vm
			b.receive(c, in)
		}
	})
}

// request sends the packets of the next request or, after the last one, a FIN.
func (c *clientFlow) request() {
	if c.closed {
		return
	}
	if c.f.shape.closes && (c.left == 0 || c.finSent) {
		c.sendFIN()
		return
	}
	n := 1 + c.f.rng.IntN(3)
	if c.left == 0 {
		n = 1
	}
	for range n {
		c.sendNew(c.left == 0)
	}
	c.left--
	if c.f.shape.closes && c.left == 0 && c.f.chance(0.3) {
		c.sendFIN() // the response is still to come
	}
}

// sendNew sends the next packet, with or without a FIN.
func (c *clientFlow) sendNew(fin bool) {
	in := packet.Info{Key: c.key, Flags: packet.FlagACK, Seq: c.next, Ack: c.ackNumber(), Payload: fleetPayload, FIN: fin}
	if fin && c.f.shape.closes {
		in.Payload = nil
	}
	c.next++
	s := &sentPacket{in: in, retry: 200 * time.Millisecond, expires: c.f.now + c.deadline}
	c.unacked = append(c.unacked, s)
	c.send(s)
}

// send sends a packet, and again until it is answered.
func (c *clientFlow) send(s *sentPacket) {
	if c.closed || !slices.Contains(c.unacked, s) {
		return
	}
	if c.f.now >= s.expires {
		c.f.trace(c, "the client gives up")
		c.f.oracle.abandoned(c)
		c.close()
		return
	}
	c.transmit(s.in)
	c.f.after(s.retry, func() { c.send(s) })
	s.retry = min(2*s.retry, fleetMaxRetry)
}

// receive handles a packet from a upstream.
func (c *clientFlow) receive(s *fleetUpstream, in *packet.Info) {
	switch {
	case c.f.shape.closes:
		c.receiveClosing(s, in)
	case c.closed:
	case in.RST:
		c.close()
	case in.Flags&packet.FlagSYN != 0:
		if c.cookie == 0 {
			c.f.trace(c, "the client accepts SYN+ACK %d", in.Seq)
			c.cookie = in.Seq
			pause := time.Duration(0)
			if c.f.chance(0.3) {
				pause = c.f.between(0, 300*time.Millisecond)
			}
			c.f.after(pause, c.request)
		}
	case in.FIN:
		c.f.oracle.counts.answered += len(c.unacked)
		c.close()
	default:
		before := len(c.unacked)
		c.unacked = slices.DeleteFunc(c.unacked, func(s *sentPacket) bool { return s.in.Seq == in.Ack })
		c.f.oracle.counts.answered += before - len(c.unacked)
		c.received += uint32(before-len(c.unacked)) * uint32(len(fleetPayload))
		if before > 0 && len(c.unacked) == 0 {
			pause := 800 * time.Millisecond
			if c.idle {
				pause = 12 * time.Second
			}
			c.f.after(c.f.between(10*time.Millisecond, pause), c.request)
		}
	}
}

func (c *clientFlow) receiveReset(from *fleetAgent, seq uint32, reason string) {
	if c.closed || c.ignoresReset(seq) {
		return
	}
	c.f.trace(c, "the client receives a reset of %s", from.name)
	c.f.oracle.reset(c, from, reason)
	c.upstream = nil
	c.close()
}

// violation is a broken part of rule FLOW.
type violation struct {
	seed uint64
	at   time.Duration
	rule string
	flow packet.Key
	what string
	// unplanned says that a VM that took part had an unplanned disruption, but not the flow's upstream.
	unplanned bool
}

func (v violation) String() string {
	return fmt.Sprintf("seed %d, %.3f s, %s, flow %v>%v: %s", v.seed, v.at.Seconds(), v.rule, v.flow.Source(), v.flow.Destination(), v.what)
}

const (
	ruleReset        = "reset"
	ruleMisdelivered = "misdelivered"
	ruleEvacuated    = "evacuated"
	ruleDenied       = "falsely denied"
)

// fleetCounts are the outcomes of the clients' packets and flows.
type fleetCounts struct {
	answered   int // packets answered by the flow's upstream
	timedOut   int // flows given up by their client after fleetDeadline without an answer
	unopened   int // flows that no upstream accepted within fleetSYNTimeout
	judged     int // resets and deliveries at other upstreams that were judged
	exempt     int // the same at exempt VMs
	lost       int // flows whose upstream ended
	toldInTime int // of these, flows whose client received a reset within 1 s of its next packet
	toldLater  int // of these, flows whose client received a reset later
	neverTold  int // of these, flows that their client gave up after fleetDeadline
	ignored    int // resets that clients ignored for their sequence number
	foreign    int // of these, resets of upstreams that do not hold the open flow
}

// fleetOracle judges rule FLOW.
type fleetOracle struct {
	f          *fleet
	violations []violation
	counts     fleetCounts
}

// disrupt records an unplanned disruption of a VM or its links.
func (o *fleetOracle) disrupt(vm *fleetVM, d time.Duration) {
	vm.disruptedUntil = max(vm.disruptedUntil, o.f.now+d+o.f.shape.stableWindow)
}

// kill records that a daemon ends without notice for some time, which does not disrupt an upstream on its
// VM.
func (o *fleetOracle) kill(vm *fleetVM, away time.Duration) {
	vm.killedUntil = max(vm.killedUntil, o.f.now+away+o.f.shape.stableWindow)
}

type judgement int

const (
	exempt    judgement = iota // the flow's upstream is disrupted
	unplanned                  // another VM that takes part is disrupted, or the daemon of one was killed
	counted
)

// judge judges an event of a flow whose upstream runs on own, at the other VMs.
func (o *fleetOracle) judge(own *fleetVM, others ...*fleetVM) judgement {
	if o.f.now < own.disruptedUntil {
		o.counts.exempt++
		return exempt
	}
	o.counts.judged++
	for _, vm := range append(others, own) {
		if o.f.now < vm.disruptedUntil || o.f.now < vm.killedUntil {
			return unplanned
		}
	}
	return counted
}

func (o *fleetOracle) isOpen(c *clientFlow) bool {
	return c != nil && c.upstream != nil && c.upstream.up && c.upstream.start == c.start
}

func (o *fleetOracle) opened(c *clientFlow, s *fleetUpstream) {
	if !c.closed {
		o.f.trace(c, "    the flow is open at %s", s.name)
		c.upstream, c.start = s, s.start
	}
}

func (o *fleetOracle) closed(c *clientFlow) { c.upstream = nil }

// abandoned ends a flow that its client has given up.
func (o *fleetOracle) abandoned(c *clientFlow) {
	o.counts.timedOut++
	if c.lost {
		o.counts.neverTold++
	}
	c.upstream = nil
}

func (o *fleetOracle) delivered(c *clientFlow, s *fleetUpstream) {
	if c.upstream == s {
		c.misdelivery = misdelivery{}
	}
}

// passedOn records that an agent has not delivered a packet of a flow.
func (o *fleetOracle) passedOn(c *clientFlow, a *fleetAgent) {
	if o.isOpen(c) && c.upstream.agent == a {
		c.misdelivery.passedOn++
	}
}

func (o *fleetOracle) misdelivered(c *clientFlow, at *fleetUpstream, p *fleetPacket) {
	if !o.isOpen(c) || c.upstream == at {
		return
	}
	j := o.judge(c.upstream.vm, at.vm, p.taker)
	if j == exempt {
		c.misdelivery = misdelivery{}
		return
	}
	m := &c.misdelivery
	expected := p.h.Flags&packet.FlagExpected != 0
	m.all.add(o.f.now, at, expected)
	if j == counted {
		m.counted.add(o.f.now, at, expected)
	}
	o.judgeDeliveries(c)
	o.f.after(fleetFlowWindow, func() { o.judgeDeliveries(c) })
}

func (o *fleetOracle) judgeDeliveries(c *clientFlow) {
	m := &c.misdelivery
	if !o.isOpen(c) || !m.all.breaksRule(o.f.now) {
		return
	}
	if o.f.now < c.upstream.vm.disruptedUntil {
		*m = misdelivery{}
		return
	}
	counts := m.counted.breaksRule(o.f.now)
	if counts || !c.reported {
		o.violate(ruleMisdelivered, c, !counts, fmt.Sprintf("packets reached %v, %d of them without an unplanned disruption, and none its own %s, whose agent has passed on or dropped %d and runs %v since %.3f s",
			m.all.list, m.counted.n, c.upstream.name, m.passedOn, c.upstream.agent.up, c.upstream.agent.startedAt.Seconds()))
	}
	c.reported = true
	if counts {
		*m = misdelivery{}
	}
}

func (o *fleetOracle) violate(rule string, c *clientFlow, unplanned bool, what string) {
	o.f.trace(c, "VIOLATION %s, unplanned %v: %s", rule, unplanned, what)
	o.f.traceEnded = o.f.traceEnded || c.key == o.f.traced
	o.violations = append(o.violations, violation{seed: o.f.seed, at: o.f.now, rule: rule, flow: c.key, what: what, unplanned: unplanned})
}

func (o *fleetOracle) reset(c *clientFlow, from *fleetAgent, reason string) {
	switch {
	case !c.lost:
	case o.f.now-c.askedAt <= time.Second:
		o.counts.toldInTime++
	default:
		o.counts.toldLater++
	}
	if !o.isOpen(c) {
		return
	}
	if j := o.judge(c.upstream.vm, from.vm, c.taker); j != exempt {
		o.violate(ruleReset, c, j == unplanned, fmt.Sprintf("reset by %s, reason %s, while its upstream %s lives, since %.3f s", from.name, reason, c.upstream.name, c.upstream.startedAt.Seconds()))
	}
}

// falselyDenied records that an agent has said that its upstream does not hold a flow, and was wrong. It was right if the
// upstream had ended before: its last packets may wait for the agent longer.
func (o *fleetOracle) falselyDenied(a *fleetAgent, d *FalseDenial) {
	if s := a.upstream; s.endedAt != 0 && s.endedAt <= o.f.now-d.Age && (!s.up || s.flows[d.Key] == nil) {
		return
	}
	c := o.f.flows[d.Key]
	o.violate(ruleDenied, c, o.f.now < max(a.vm.disruptedUntil, a.vm.killedUntil), fmt.Sprintf("denied by %s %.3f s ago, reset %v, complete %v, recorded as %v, returned %v, runs since %.3f s",
		a.name, d.Age.Seconds(), d.Reset, d.Complete, d.Loss, d.Returned, a.startedAt.Seconds()))
}

// upstreamEnded counts the flows that end with a upstream.
func (o *fleetOracle) upstreamEnded(s *fleetUpstream) {
	for k, fl := range s.flows {
		c := o.f.flows[k]
		if !fl.open || c.closed || c.upstream != s {
			continue
		}
		c.lost = true
		o.counts.lost++
		o.f.trace(c, "its upstream %s ends", s.name)
	}
}

// schedule plans the processes' starts and disturbances, and the clients.
func (f *fleet) schedule() {
	for _, b := range f.balancers {
		f.startBalancer(b)
	}
	for _, a := range f.agents {
		f.startVM(a, 1500*time.Millisecond)
		f.stallVM(a)
	}
	for i := range f.shape.clients[0] + f.rng.IntN(f.shape.clients[1]) {
		f.client(i)
	}
	if f.shape.evacuates {
		f.orderEvacuations()
	}
	switch {
	case f.shape.holdsBack:
		f.holdBackPackets()
		return
	case f.shape.standsStill:
		f.standStill()
		return
	case f.shape.moves:
		f.moveRoutes()
		f.plannedWork()
		return
	case f.shape.planned:
		f.plannedWork()
		return
	case f.shape.trouble:
		f.troubles()
		return
	}
	for at := f.between(2*time.Second, 6*time.Second); at < f.end-4*time.Second; at += f.between(200*time.Millisecond, 5*time.Second) {
		f.after(at, f.disturb)
	}
}

func (f *fleet) startBalancer(b *fleetBalancer) {
	f.after(f.between(0, 300*time.Millisecond), b.start)
	f.stalls(&b.fleetProcess)
	if f.shape.trouble {
		f.probeBalancer(b)
	}
}

// startVM starts an agent and, up to a limit later or earlier, its upstream.
func (f *fleet) startVM(a *fleetAgent, limit time.Duration) {
	f.after(f.between(0, limit), func() {
		if !a.up {
			a.start()
		}
	})
	f.after(f.between(0, limit), func() {
		if !a.upstream.up {
			a.upstream.launch()
		}
	})
}

func (f *fleet) stallVM(a *fleetAgent) {
	f.stalls(&a.fleetProcess)
	f.stalls(&a.upstream.fleetProcess)
}

// stalls leaves a process without a processor now and then.
func (f *fleet) stalls(p *fleetProcess) {
	gap := 4 * time.Second
	if f.busy {
		gap = 700 * time.Millisecond
	}
	f.after(f.between(50*time.Millisecond, gap), func() {
		p.stall(f.between(10*time.Millisecond, fleetStallMax))
		f.stalls(p)
	})
}

func (f *fleet) randomAgent() *fleetAgent { return f.agents[f.rng.IntN(len(f.agents))] }

// disturb causes one change or fault.
func (f *fleet) disturb() {
	a := f.randomAgent()
	switch r := f.rng.Float64(); {
	case r < 0.20:
		f.roll()
	case r < 0.35:
		f.restartAgent(a, f.between(200*time.Millisecond, 4*time.Second))
	case r < 0.45:
		f.killAgent(a)
	case r < 0.62:
		f.mark(a, f.between(500*time.Millisecond, fleetMarkMax))
	case r < 0.74:
		f.restartAgent(a, f.between(2*time.Second, 4*time.Second))
		f.after(f.between(300*time.Millisecond, 2*time.Second), func() { f.mark(a, fleetMarkMax) })
	case r < 0.84:
		f.crashUpstream(a)
	case r < 0.92:
		f.replace(a)
	case r < 0.97:
		f.restartBalancer()
	default:
		f.powerFailure()
	}
}

func (f *fleet) roll() {
	gap := f.between(0, 1500*time.Millisecond)
	for i, a := range slices.Clone(f.agents) {
		f.after(time.Duration(i)*gap, func() { f.restartAgent(a, f.between(200*time.Millisecond, 4*time.Second)) })
	}
}

// restartAgent is a planned restart of an agent, whose upstream runs on.
func (f *fleet) restartAgent(a *fleetAgent, away time.Duration) {
	if !a.up || a.stopping {
		return
	}
	f.note("%s restarts, away %v", a.name, away)
	a.stop()
	f.after(away+500*time.Millisecond, func() {
		if !a.up && !a.upstream.leaving {
			f.note("%s is back", a.name)
			a.start()
		}
	})
}

// killAgent ends an agent without notice. If it is not back soon, others mark it as failed.
func (f *fleet) killAgent(a *fleetAgent) {
	if !a.up {
		return
	}
	away := f.between(300*time.Millisecond, 3*time.Second)
	f.note("%s is killed for %v", a.name, away)
	f.oracle.kill(a.vm, away)
	a.finish()
	f.after(f.between(800*time.Millisecond, 3500*time.Millisecond), func() {
		if !a.up {
			f.mark(a, fleetMarkMax)
		}
	})
	f.after(away, func() {
		if !a.up {
			a.start()
		}
	})
}

// mark lets the other processes see an agent as failed for some time, or until it refutes that.
func (f *fleet) mark(a *fleetAgent, d time.Duration) {
	if a.version == 0 {
		return
	}
	f.note("%s is marked as failed, up %v", a.name, a.up)
	mark := a.record()
	mark.u.State, mark.version = Failed, a.version+1-a.version%2
	for _, b := range f.balancers {
		f.sendRecord(b.vm, &b.fleetProcess, f.viewDelay(), func() { b.receiveRecord(mark) })
	}
	for _, other := range f.agents {
		delay, receive := f.viewDelay(), func() { other.input(queueControl, 0, func() { other.receiveRecord(mark) }) }
		if other == a {
			f.after(d, receive) // when the agent hears of the mark
			continue
		}
		f.sendRecord(other.vm, &other.fleetProcess, delay, receive)
	}
}

func (f *fleet) crashUpstream(a *fleetAgent) {
	if !a.upstream.up {
		return
	}
	f.note("%s crashes", a.upstream.name)
	a.upstream.exit()
	f.after(f.between(300*time.Millisecond, 2*time.Second), func() {
		if !a.upstream.up && !a.upstream.leaving {
			a.upstream.launch()
		}
	})
}

// replace drains a upstream, and starts another one on its VM or, after a stop of the VM, on a new VM.
func (f *fleet) replace(a *fleetAgent) {
	if !a.upstream.up || a.upstream.draining {
		return
	}
	f.note("%s is replaced", a.upstream.name)
	a.upstream.draining = true
	sameVM := f.chance(0.5)
	f.after(f.between(2*time.Second, 5*time.Second), func() {
		if !a.upstream.up || !a.upstream.draining {
			return
		}
		a.upstream.leaving = true
		a.input(queueControl, 0, func() {
			a.upstreamLeaving = true
			a.publishState()
		})
		f.after(f.between(0, 50*time.Millisecond), a.upstream.exit)
		if sameVM {
			f.after(f.between(200*time.Millisecond, time.Second), func() {
				if !a.upstream.up {
					a.upstream.launch()
				}
			})
			return
		}
		f.after(f.between(200*time.Millisecond, time.Second), func() {
			if a.up && !a.stopping {
				a.stop()
			}
		})
	})
	if !sameVM {
		f.after(f.between(0, 5*time.Second), func() {
			n := f.addAgent()
			f.startVM(n, 1500*time.Millisecond)
			f.stallVM(n)
		})
	}
}

func (f *fleet) restartBalancer() {
	b := f.balancers[f.rng.IntN(len(f.balancers))]
	if !b.up {
		return
	}
	f.note("%s restarts", b.name)
	b.leaving = true
	f.after(f.between(500*time.Millisecond, time.Second), func() {
		b.finish()
		f.after(f.between(300*time.Millisecond, 1500*time.Millisecond), b.start)
	})
}

func (f *fleet) powerFailure() {
	f.note("power failure")
	for _, a := range f.agents {
		if a.upstream.leaving {
			continue
		}
		f.oracle.disrupt(a.vm, 3*time.Second)
		if a.up {
			a.finish()
		}
		a.upstream.exit()
		f.after(200*time.Millisecond, func() { f.startVM(a, 1500*time.Millisecond) })
	}
}

// note adds an event of the scenario to a trace.
func (f *fleet) note(format string, args ...any) {
	if f.traced != (packet.Key{}) && !f.traceEnded {
		f.traceLines = append(f.traceLines, fmt.Sprintf("%8.3f == ", f.now.Seconds())+fmt.Sprintf(format, args...))
	}
}
