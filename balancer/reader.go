package balancer

import (
	"net/netip"

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

	in    *packetio.Inbox
	out   *packetio.Outbox
	info  packet.Info
	tally tally
}

func (b *Balancer) newReader(source packetio.Source) *reader {
	return &reader{
		router:   b.router,
		origin:   b.ports.dataAddr,
		customer: b.lists.Customer,
		source:   source,
		sink:     b.ports.data,
		counters: b.counters,
		in:       packetio.NewInbox(packet.HeaderSize),
		out:      packetio.NewOutbox(packetio.BatchSize),
	}
}

// run handles packets until the source is closed.
func (r *reader) run() error { return packetio.Receive(r.source, r.in, r.handle) }

// handle routes and sends the packets of the inbox.
func (r *reader) handle() {
	r.out.Reset()
	for i := range r.in.Len() {
		r.packet(i)
	}
	r.tally.refused = r.sink.Send(r.out)
	r.counters.add(&r.tally)
	r.tally = tally{}
}

func (r *reader) packet(i int) {
	b := r.in.Packet(i)
	if isEncapsulated(b) {
		r.hint(b)
		return
	}
	r.tally.received++
	if err := packet.Parse(b, &r.info); err != nil {
		r.tally.malformed++
		return
	}
	d := r.router.route(&r.info)
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
		Customer: r.customer(&r.info.Key.Src),
		Origin:   r.origin,
	}
	framed := r.in.Framed(i)
	h.Put(framed)
	r.out.Add(framed, d.Addr)
	r.tally.sent++
}

// hint learns the owner of a flow from an agent's hint.
func (r *reader) hint(b []byte) {
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
	r.router.learn(&k, owner)
	r.tally.hints++
}

// isEncapsulated tells an encapsulation header, whose first byte is a small
// version number, from an IP packet, whose first four bits are 4 or 6.
func isEncapsulated(b []byte) bool { return len(b) > 0 && b[0]>>4 == 0 }
