package balancer

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
)

// reader is the packet path of one goroutine.
type reader struct {
	router   *router
	origin   netip.AddrPort // announced to agents for hints
	customer func(src *[16]byte) (uint64, flow.Reason)
	source   packetio.Source
	sink     packetio.Sink
	counters *counters

	// format is that of clients' packets; hints have none. Where it is a datagram
	// format, packets and hints come through sockets of their own.
	format   packet.Format
	datagram packet.Datagram // nil for IP packets
	clients  packetio.Sink   // for resets
	current  func() bool     // whether the routes are known to be the newest
	onlyData bool            // hints come through another socket
	mayRoute func() bool     // whether new flows may be placed
	log      func(i int)     // logs the decision about a first packet

	in        *packetio.Inbox
	out       *packetio.Outbox
	resets    *packetio.Outbox
	infos     [packetio.BatchSize]packet.Info
	customers [packetio.BatchSize]uint64
	refusals  [packetio.BatchSize]flow.Reason // set where customers is 0
	routed    []int                           // positions in the inbox of the packets to route
	decisions [packetio.BatchSize]flow.Decision
	hints     []hint
	tally     tally
}

// hint says which agent owns a flow.
type hint struct {
	key   packet.Key
	owner packet.AgentID
}

func (b *Balancer) newReader(source packetio.Source) *reader {
	r := &reader{
		router:   b.router,
		origin:   b.ports.dataAddr,
		customer: b.customer,
		format:   packet.IP{},
		mayRoute: b.mayRoute,
		log:      func(int) {},
		resets:   packetio.NewOutbox(packetio.BatchSize),
		source:   source,
		sink:     b.ports.data,
		counters: b.counters,
		in:       packetio.NewInbox(packet.HeaderSize, packetio.MaxPacket),
		out:      packetio.NewOutbox(packetio.BatchSize),
		routed:   make([]int, 0, packetio.BatchSize),
		hints:    make([]hint, 0, packetio.BatchSize),
	}
	if b.ports.clients != nil && source == packetio.Source(b.ports.clients) {
		r.format, r.datagram = b.options.Packets, b.options.Packets
		r.clients, r.current, r.onlyData = b.ports.clients, b.routesCurrent, true
		r.log = func(i int) { b.logFirst(&r.infos[i], &r.decisions[i]) }
	}
	return r
}

// mayRoute reports whether new flows can be routed.
func (b *Balancer) mayRoute() bool {
	return b.routes == nil || b.routed.Load() != nil || b.learnedOnly.Load()
}

// unlimited stands for all customers where no plans limit them.
const unlimited = 1

// customer returns the customer that a source belongs to, or 0 with the reason to
// refuse its new flows.
func (b *Balancer) customer(source *[16]byte) (uint64, flow.Reason) {
	if !b.limited() {
		return unlimited, flow.ReasonNone
	}
	return b.lists.Customer(source)
}

// maxRoutesAge is the age of the routes up to which an address that they lack is known
// to lead nowhere. It is below the 3 s within which new routes must be in force.
const maxRoutesAge = 2500 * time.Millisecond

// routesCurrent reports whether an address that the router does not know leads nowhere.
// The routes may have been read a moment before the router has them.
func (b *Balancer) routesCurrent() bool {
	if b.routes == nil {
		return false
	}
	active := b.routes.Active()
	return active != nil && b.routed.Load() == active && b.routes.Age() < maxRoutesAge
}

// run handles packets until the source is closed.
func (r *reader) run() error { return packetio.Receive(r.source, r.in, r.handle) }

// handle routes and sends the packets of the inbox.
func (r *reader) handle() {
	r.parse()
	r.router.do(r.route)
	r.out.Reset()
	r.resets.Reset()
	for _, i := range r.routed {
		r.frame(i)
	}
	r.tally.refused = r.sink.Send(r.out)
	if r.resets.Len() > 0 {
		r.tally.refused += r.clients.Send(r.resets)
	}
	r.counters.add(&r.tally)
	r.tally = tally{}
}

// parse sorts the inbox into packets to route and hints.
func (r *reader) parse() {
	r.routed, r.hints = r.routed[:0], r.hints[:0]
	r.tally.late = r.in.Late()
	for i := range r.in.Len() {
		b := r.in.Packet(i)
		if !r.onlyData && isEncapsulated(b) {
			r.parseHint(b)
			continue
		}
		r.tally.received++
		if r.format.Parse(b, &r.infos[i]) != nil || !fromClient(&r.infos[i]) {
			r.tally.malformed++
			continue
		}
		r.customers[i], r.refusals[i] = r.customer(&r.infos[i].Key.Src)
		r.routed = append(r.routed, i)
	}
}

// fromClient reports whether a client can have written the packet. Only upstreams answer a
// SYN and return packets; an upstream would take such a packet for a forged one.
func fromClient(in *packet.Info) bool {
	const answer = packet.FlagSYN | packet.FlagACK
	return !in.Returned && in.Flags&answer != answer
}

func (r *reader) parseHint(b []byte) {
	h, rest, err := packet.ReadHeader(b)
	if err != nil || h.Kind != packet.KindHint {
		r.tally.malformed++
		return
	}
	k, owner, err := packet.ReadHint(rest)
	if err != nil {
		r.tally.malformed++
		return
	}
	r.hints = append(r.hints, hint{key: k, owner: owner})
	r.tally.hints++
}

// route decides about the batch under the router's lock.
func (r *reader) route(now time.Duration, router *flow.Router) {
	for i := range r.hints {
		router.Learn(now, &r.hints[i].key, r.hints[i].owner)
	}
	for _, i := range r.routed {
		r.decisions[i] = r.decide(now, router, i)
	}
}

// decide refuses new flows of sources without a customer. Packets of known flows
// pass, so that an edit or the lack of lists interrupts nothing.
func (r *reader) decide(now time.Duration, router *flow.Router, i int) flow.Decision {
	in := &r.infos[i]
	// The addresses that agents have learned from their upstreams' flows lead open flows
	// on before the routes are read. For new flows the routes are waited for as long as they
	// can be had: see followStore.
	if in.First && !r.mayRoute() {
		return flow.Decision{Reason: flow.ReasonNoRoutes}
	}
	if r.customers[i] == 0 && in.First && !r.mayBeKnown(now, router, i) {
		return flow.Decision{Reason: r.refusals[i]}
	}
	return router.Route(now, in)
}

// mayBeKnown reports whether a first packet may belong to an open flow. Every UDP
// packet is a first packet. A balancer without lists may have started a moment ago
// and know no flows, so it leaves UDP to the agents, which refuse new flows without
// a customer.
func (r *reader) mayBeKnown(now time.Duration, router *flow.Router, i int) bool {
	in := &r.infos[i]
	if in.Key.Proto == packet.ProtoTCP {
		return false
	}
	return r.refusals[i] == flow.ReasonNoLists || router.HasHint(now, in)
}

// frame puts a packet with its header into the outbox, or drops it.
func (r *reader) frame(i int) {
	d := &r.decisions[i]
	if r.infos[i].First {
		r.log(i)
	}
	if !d.OK {
		r.tally.dropped[d.Reason]++
		r.reset(i)
		return
	}
	if d.Hinted {
		r.tally.hinted++
	}
	h := packet.Header{
		Kind:     packet.KindData,
		Service:  d.Service,
		Customer: r.customers[i],
		Class:    d.Class,
		Origin:   r.origin,
	}
	framed := r.in.WithHeadroom(i)
	h.Put(framed)
	r.out.Add(framed, d.Addr)
	r.tally.sent++
}

// reset ends the flow of a packet whose address leads nowhere, so that the client need
// not wait for its deadline.
func (r *reader) reset(i int) {
	if r.datagram == nil || r.decisions[i].Reason != flow.ReasonNoService || !r.current() {
		return
	}
	if b := r.datagram.AppendReset(nil, &r.infos[i]); b != nil {
		r.resets.Add(b, r.datagram.ClientAddress(&r.infos[i].Key))
		r.tally.resets++
	}
}

// isEncapsulated tells an encapsulation header, whose first byte is a small
// version number, from an IP packet, whose first four bits are 4 or 6.
func isEncapsulated(b []byte) bool { return len(b) > 0 && b[0]>>4 == 0 }
