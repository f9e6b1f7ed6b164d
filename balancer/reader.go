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
	customer func(src *[16]byte) uint64
	source   packetio.Source
	sink     packetio.Sink
	counters *counters

	in        *packetio.Inbox
	out       *packetio.Outbox
	infos     [packetio.BatchSize]packet.Info
	routed    []int // positions in the inbox of the packets to route
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
	return &reader{
		router:   b.router,
		origin:   b.ports.dataAddr,
		customer: b.lists.Customer,
		source:   source,
		sink:     b.ports.data,
		counters: b.counters,
		in:       packetio.NewInbox(packet.HeaderSize, packetio.MaxPacket),
		out:      packetio.NewOutbox(packetio.BatchSize),
		routed:   make([]int, 0, packetio.BatchSize),
		hints:    make([]hint, 0, packetio.BatchSize),
	}
}

// run handles packets until the source is closed.
func (r *reader) run() error { return packetio.Receive(r.source, r.in, r.handle) }

// handle routes and sends the packets of the inbox.
func (r *reader) handle() {
	r.parse()
	r.router.do(r.route)
	r.out.Reset()
	for _, i := range r.routed {
		r.frame(i)
	}
	r.tally.refused = r.sink.Send(r.out)
	r.counters.add(&r.tally)
	r.tally = tally{}
}

// parse sorts the inbox into packets to route and hints.
func (r *reader) parse() {
	r.routed, r.hints = r.routed[:0], r.hints[:0]
	r.tally.late = r.in.Late()
	for i := range r.in.Len() {
		b := r.in.Packet(i)
		if isEncapsulated(b) {
			r.parseHint(b)
			continue
		}
		r.tally.received++
		if packet.Parse(b, &r.infos[i]) != nil {
			r.tally.malformed++
			continue
		}
		r.routed = append(r.routed, i)
	}
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
		r.decisions[i] = router.Route(now, &r.infos[i])
	}
}

// frame puts a packet with its header into the outbox, or drops it.
func (r *reader) frame(i int) {
	d := &r.decisions[i]
	if !d.OK {
		r.tally.dropped[d.Reason]++
		return
	}
	if d.Hinted {
		r.tally.hinted++
	}
	h := packet.Header{
		Kind:     packet.KindData,
		Service:  d.Service,
		Customer: r.customer(&r.infos[i].Key.Src),
		Origin:   r.origin,
	}
	framed := r.in.Framed(i)
	h.Put(framed)
	r.out.Add(framed, d.Addr)
	r.tally.sent++
}

// isEncapsulated tells an encapsulation header, whose first byte is a small
// version number, from an IP packet, whose first four bits are 4 or 6.
func isEncapsulated(b []byte) bool { return len(b) > 0 && b[0]>>4 == 0 }
