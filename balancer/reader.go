package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/route"
)

// reader implements the packet path of one goroutine.
type reader struct {
	router   *router
	origin   netip.AddrPort // address to which agents send hints
	customer func(src *[16]byte) (uint64, flow.Reason)
	source   packetio.Source
	sink     packetio.Sink
	counters *counters

	// format parses client packets; hints do not use it. With a datagram format, client
	// packets and hints are received on separate sockets.
	format            packet.Format
	datagram          packet.Datagram // nil for IP packets
	clients           packetio.Sink   // socket for resets to clients
	installedRoutes   func() *route.Document
	mayReset          func(*route.Document, *packet.Info) bool
	clientPacketsOnly bool                    // the source receives client packets only, no hints
	mayPlaceFlows     func() bool             // reports whether new flows may be placed
	log               func(i int, reset bool) // logs the decision on a first packet or a reset

	in        *packetio.Inbox
	out       *packetio.Outbox
	resets    *packetio.Outbox
	infos     [packetio.BatchSize]packet.Info
	customers [packetio.BatchSize]uint64
	refusals  [packetio.BatchSize]flow.Reason // set if the customer is 0
	routed    []int                           // inbox positions of the packets to route
	decisions [packetio.BatchSize]flow.Decision
	routes    *route.Document // installed when the decisions were made
	hints     []hint
	counts    batchCounts
}

// hint is a hint received from an agent: owner is the agent that owns the flow.
type hint struct {
	key     packet.Key
	owner   packet.AgentID
	waiting bool
}

func (b *Balancer) newReader(source packetio.Source) *reader {
	r := &reader{
		router:        b.router,
		origin:        b.ports.dataAddr,
		customer:      b.customer,
		format:        packet.IP{},
		mayPlaceFlows: b.mayPlaceFlows,
		log:           func(int, bool) {},
		resets:        packetio.NewOutbox(packetio.BatchSize),
		source:        source,
		sink:          b.ports.data,
		counters:      b.counters,
		in:            packetio.NewInbox(packet.HeaderSize, packetio.MaxPacket),
		out:           packetio.NewOutbox(2 * packetio.BatchSize),
		routed:        make([]int, 0, packetio.BatchSize),
		hints:         make([]hint, 0, packetio.BatchSize),
	}
	if b.ports.clients != nil && source == packetio.Source(b.ports.clients) {
		r.format, r.datagram = b.options.Packets, b.options.Packets
		r.clients, r.clientPacketsOnly = b.ports.clients, true
		r.installedRoutes, r.mayReset = b.installedRoutes.Load, b.mayReset
		r.log = func(i int, reset bool) { b.logDecision(&r.infos[i], &r.decisions[i], reset) }
	}
	return r
}

// mayPlaceFlows reports whether new flows may be placed: by routes, by the addresses that
// the agents announce, or, if the routes cannot be read, by learned addresses.
func (b *Balancer) mayPlaceFlows() bool {
	return b.routes == nil || b.installedRoutes.Load() != nil || b.useLearnedAddresses.Load()
}

// unlimitedCustomer is the customer of all sources if no limits are enforced.
const unlimitedCustomer = 1

// customer returns the customer to which a source address belongs, or 0 and the reason
// for refusing its new flows.
func (b *Balancer) customer(source *[16]byte) (uint64, flow.Reason) {
	if !b.limitsEnabled() {
		return unlimitedCustomer, flow.ReasonNone
	}
	return b.lists.Customer(source)
}

// run processes packets until the source is closed.
func (r *reader) run() error { return packetio.Receive(r.source, r.in, r.handle) }

// handle routes the packets of the inbox and sends them.
func (r *reader) handle() {
	r.parse()
	r.router.do(r.route)
	r.out.Reset()
	r.resets.Reset()
	for _, i := range r.routed {
		r.frame(i)
	}
	r.counts.refusedBySystem = r.sink.Send(r.out)
	if r.resets.Len() > 0 {
		r.counts.refusedBySystem += r.clients.Send(r.resets)
	}
	r.counters.add(&r.counts)
	r.counts = batchCounts{}
}

// parse parses the contents of the inbox, looks up the customers of the packets to route,
// and collects the hints.
func (r *reader) parse() {
	r.routed, r.hints = r.routed[:0], r.hints[:0]
	r.counts.late = r.in.Late()
	for i := range r.in.Len() {
		b := r.in.Packet(i)
		if !r.clientPacketsOnly && isEncapsulated(b) {
			r.parseHint(b)
			continue
		}
		r.counts.received++
		if r.format.Parse(b, &r.infos[i]) != nil || !fromClient(&r.infos[i]) {
			r.counts.malformed++
			continue
		}
		r.customers[i], r.refusals[i] = r.customer(&r.infos[i].Key.Src)
		r.routed = append(r.routed, i)
	}
}

// fromClient reports whether a client can have sent the packet. SYN-ACKs and returned
// packets are sent by upstreams only; an upstream that received one from here would
// treat it as forged.
func fromClient(in *packet.Info) bool {
	const answer = packet.FlagSYN | packet.FlagACK
	return !in.Returned && in.Flags&answer != answer
}

func (r *reader) parseHint(b []byte) {
	h, rest, err := packet.ReadHeader(b)
	if err != nil || h.Kind != packet.KindHint {
		r.counts.malformed++
		return
	}
	k, owner, err := packet.ReadHint(rest)
	if err != nil {
		r.counts.malformed++
		return
	}
	r.hints = append(r.hints, hint{key: k, owner: owner, waiting: h.Flags&packet.FlagWaiting != 0})
	r.counts.hints++
}

// route decides on the packets of the batch. It runs with the router's lock held. The routes in
// the router may be newer than r.routes, which are then not the active ones any more.
func (r *reader) route(now time.Duration, router *flow.Router) {
	if r.installedRoutes != nil {
		r.routes = r.installedRoutes()
	}
	for i := range r.hints {
		if h := &r.hints[i]; h.waiting {
			router.LearnWaiting(now, &h.key, h.owner)
		} else {
			router.Learn(now, &h.key, h.owner)
		}
	}
	for _, i := range r.routed {
		r.decisions[i] = r.decide(now, router, i)
	}
}

// decide returns the decision on one packet. It refuses new flows of sources without a
// customer. Later TCP packets are routed regardless, and UDP packets if their flow has a
// hint or there are no lists, so that neither an edit of the lists nor their absence
// interrupts these flows.
func (r *reader) decide(now time.Duration, router *flow.Router, i int) flow.Decision {
	in := &r.infos[i]
	// Before the routes have been read, later TCP packets are routed by the addresses that
	// agents have learned from their upstreams' flows. New flows, and UDP packets of open
	// flows too, are refused until the routes have been read or updateLearnedAddressUse
	// finds that they cannot be read.
	if in.First && !r.mayPlaceFlows() {
		return flow.Decision{Reason: flow.ReasonNoRoutes}
	}
	if r.customers[i] == 0 && in.First && !r.mayBelongToOpenFlow(now, router, i) {
		return flow.Decision{Reason: r.refusals[i]}
	}
	return router.Route(now, in)
}

// mayBelongToOpenFlow reports whether a first packet may belong to an open flow. Every UDP
// packet counts as a first packet. A balancer without lists may have just started and
// have no hints, so it leaves the decision on UDP packets to the agents, which refuse
// new flows without a customer.
func (r *reader) mayBelongToOpenFlow(now time.Duration, router *flow.Router, i int) bool {
	in := &r.infos[i]
	if in.Key.Proto == packet.ProtoTCP {
		return false
	}
	return r.refusals[i] == flow.ReasonNoLists || router.HasHint(now, in)
}

// frame adds a packet with its encapsulation header to the outbox, or drops the packet.
func (r *reader) frame(i int) {
	d := &r.decisions[i]
	reset := !d.OK && r.reset(i)
	if r.infos[i].First || reset {
		r.log(i, reset)
	}
	if !d.OK {
		r.counts.dropped[d.Reason]++
		if d.Reason == flow.ReasonEvacuated && isOriginalSYN(&r.infos[i]) {
			r.counts.evacuated++
		}
		return
	}
	if d.Hinted {
		r.counts.hinted++
	}
	h := packet.Header{
		Kind:     packet.KindData,
		Service:  d.Service,
		Customer: r.customers[i],
		Class:    d.Class,
		Origin:   r.origin,
	}
	if d.Expected {
		h.Flags |= packet.FlagExpected
	}
	if d.Shared {
		h.Flags |= packet.FlagShared
	}
	framed := r.in.WithHeadroom(i)
	h.Put(framed)
	r.out.Add(framed, d.Addr)
	r.counts.sent++
	for _, c := range d.Copies {
		if c.Agent != 0 {
			r.frameCopy(framed, h, c)
		}
	}
}

// frameCopy adds a copy of a framed packet for an agent of another service to the outbox. There are few of
// them: packets of open flows without a hint, after the services of their address have changed.
func (r *reader) frameCopy(framed []byte, h packet.Header, c flow.Copy) {
	h.Service = c.Service
	h.Flags &^= packet.FlagExpected
	h.Tried = c.Tried
	b := slices.Clone(framed)
	h.Put(b)
	if !r.out.Add(b, c.Addr) {
		r.counts.refusedBySystem++
		return
	}
	r.counts.sent++
}

// reset answers a dropped packet with a reset if its address is known to have no
// service, or if it is the original SYN of a flow whose upstreams are all evacuated, so that the client need
// not wait for its deadline. It reports whether it did.
func (r *reader) reset(i int) bool {
	if r.datagram == nil {
		return false
	}
	switch r.decisions[i].Reason {
	case flow.ReasonNoService:
		if !r.mayReset(r.routes, &r.infos[i]) {
			return false
		}
	case flow.ReasonEvacuated:
		// An earlier copy of the SYN may have opened the flow before the order.
		if !isOriginalSYN(&r.infos[i]) {
			return false
		}
	default:
		return false
	}
	b := r.datagram.AppendReset(nil, &r.infos[i])
	if b == nil {
		return false
	}
	r.resets.Add(b, r.datagram.ClientAddress(&r.infos[i].Key))
	r.counts.resets++
	return true
}

// isOriginalSYN reports whether the packet is the SYN with which a client opens a flow, and no later copy. An
// unnumbered SYN counts as the original.
func isOriginalSYN(in *packet.Info) bool {
	return in.First && in.Key.Proto == packet.ProtoTCP && in.Repeat == 0
}

// isEncapsulated reports whether b starts with an encapsulation header, whose first byte
// is a small version number. The first four bits of an IP packet are 4 or 6.
func isEncapsulated(b []byte) bool { return len(b) > 0 && b[0]>>4 == 0 }
