package agent

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
)

// maxHints is the maximum number of hints per batch. The reader's outbox has space for one
// further datagram per received packet (a forwarded packet, an answer or a reset), so that
// hints never displace one.
const maxHints = 3 * packetio.BatchSize

// reader receives encapsulated packets and delivers, forwards or drops them.
type reader struct {
	agent    *Agent
	data     packetio.Conn
	upstream packetio.Sink

	in       *packetio.Inbox
	delivery *packetio.Outbox // to the upstream
	outgoing *packetio.Outbox // to agents, balancers (hints) and clients (resets)
	hints    [packetio.BatchSize][packet.HintSize]byte
	answers  [packetio.BatchSize][]byte
	info     packet.Info
	counts   batchCounts
}

func (a *Agent) newReader() *reader {
	return &reader{
		agent:    a,
		data:     a.ports.data,
		upstream: a.ports.upstream,
		in:       packetio.NewInbox(0, packet.HeaderSize+packetio.MaxPacket),
		delivery: packetio.NewOutbox(packetio.BatchSize),
		outgoing: packetio.NewOutbox(maxHints + packetio.BatchSize),
	}
}

func (r *reader) run() error { return packetio.Receive(r.data, r.in, r.handle) }

// handle processes the packets of the inbox.
func (r *reader) handle() {
	r.counts.late = r.in.Late()
	r.delivery.Reset()
	r.outgoing.Reset()
	r.agent.flows.do(r.handlePackets)
	r.counts.refusedBySystem = r.upstream.Send(r.delivery) + r.data.Send(r.outgoing)
	if r.counts.awaitsAnswer && r.agent.monitor != nil {
		r.agent.monitor.recordUnanswered(r.agent.clock())
	}
	r.agent.counters.add(&r.counts)
	r.counts = batchCounts{}
}

func (r *reader) handlePackets(now time.Duration, t *flow.Table) {
	for i := range r.in.Len() {
		r.handlePacket(now, t, i)
	}
	if r.agent.options.Packets != nil {
		r.agent.urgent.wakeDue(t)
	}
}

func (r *reader) handlePacket(now time.Duration, t *flow.Table, i int) {
	r.counts.received++
	b := r.in.Packet(i)
	h, raw, err := packet.ReadHeader(b)
	if err == nil && h.Kind != packet.KindData {
		r.handleControlDatagram(now, t, i, &h, raw)
		return
	}
	if err != nil || r.agent.format().Parse(raw, &r.info) != nil {
		r.counts.malformed++
		return
	}
	// The service in the header is the balancer's choice. The packet's own destination
	// is checked too, so that a balancer with a stale view never causes delivery to
	// another service.
	if !r.agent.owns(&r.info.Key) {
		r.counts.wrongEndpoint++
		return
	}
	action := t.Receive(now, &h, &r.info)
	if r.agent.options.Packets != nil {
		r.log(now, t, &h, &action)
	}
	switch action.Kind {
	case flow.Deliver:
		r.deliver(&h, raw)
		if action.Probe {
			r.counts.probes++
			r.counts.awaitsAnswer = true
		}
		if action.Hint {
			r.sendHints(&h, i, action.ExtraHints)
		}
	case flow.Forward:
		h.Put(b)
		r.outgoing.Add(b, action.Addr)
		r.counts.forwarded++
	case flow.Wait:
		r.agent.admission.buffer(action.Flow, raw)
		if action.Hint {
			r.sendWaitingHint(&h, i)
		}
	case flow.Reset:
		r.counts.dropped[action.Reason]++
		r.agent.queueReset(r.outgoing, &r.info, &r.counts)
	case flow.Drop:
		r.counts.dropped[action.Reason]++
	}
}

func (r *reader) log(now time.Duration, t *flow.Table, h *packet.Header, action *flow.Action) {
	if r.info.First {
		r.agent.logFirstPacket(now, t, &r.info, h, action, 0)
	} else {
		r.agent.logUnownedPacket(now, t, &r.info, h, action)
	}
}

// handleControlDatagram handles a datagram that carries a message instead of a packet.
func (r *reader) handleControlDatagram(now time.Duration, t *flow.Table, i int, h *packet.Header, b []byte) {
	if h.Service != r.agent.service || !r.dispatch(now, t, i, h, b) {
		r.counts.malformed++
	}
}

// dispatch handles a hint, inquiry or answer and reports whether it is well formed.
func (r *reader) dispatch(now time.Duration, t *flow.Table, i int, h *packet.Header, b []byte) bool {
	switch h.Kind {
	case packet.KindHint: // from the owner of a flow of which this agent has forwarded a packet
		k, owner, err := packet.ReadHint(b)
		if err == nil {
			t.HandleHint(now, &k, owner)
		}
		return err == nil
	case packet.KindInquiry:
		q, err := packet.ReadInquiry(b)
		if err == nil {
			r.answerInquiry(now, t, i, &q)
		}
		return err == nil
	case packet.KindAnswer:
		a, err := packet.ReadAnswer(b)
		if err == nil {
			t.HandleInquiryAnswer(now, &a)
		}
		return err == nil
	}
	return false
}

// answerInquiry answers a peer's inquiry. A peer that this agent does not know yet is answered too: it would
// take the silence for a sign that the upstream of this agent holds no flows.
func (r *reader) answerInquiry(now time.Duration, t *flow.Table, i int, q *packet.Inquiry) {
	to, known := t.AddrOf(q.From)
	if !known {
		to = q.ReplyTo
	}
	if !to.IsValid() {
		return // the peer is of an earlier version and repeats the inquiry, by when this agent may know it
	}
	a := t.AnswerInquiry(now, q)
	r.answers[i] = packet.AppendAnswer(r.answers[i][:0], r.agent.service, &a)
	r.outgoing.Add(r.answers[i], to)
}

// queueReset adds a reset of the flow of in to the outbox, addressed to the client.
func (a *Agent) queueReset(out *packetio.Outbox, in *packet.Info, counts *batchCounts) {
	f := a.options.Packets
	if f == nil {
		return
	}
	if b := f.AppendReset(nil, in); b != nil && out.Add(b, f.ClientAddress(&in.Key)) {
		counts.resets++
	}
}

func (r *reader) deliver(h *packet.Header, raw []byte) {
	if h.Service != r.agent.service {
		r.agent.log.Log(event.WrongService, "service", h.Service, "source", r.info.Key.Source())
		return
	}
	if f := r.agent.options.Packets; f != nil {
		f.SetTag(raw, r.agent.headers.put(h))
		r.counts.awaitsAnswer = r.counts.awaitsAnswer || r.info.First
	}
	r.delivery.Add(raw, r.agent.cfg.UpstreamSinkAddress)
	r.counts.delivered++
}

// format returns the format of clients' packets.
func (a *Agent) format() packet.Format {
	if a.options.Packets != nil {
		return a.options.Packets
	}
	return packet.IP{}
}

// sendHints sends a hint that this agent owns the flow to the packet's origin and to the
// addresses in also.
func (r *reader) sendHints(h *packet.Header, i int, also []netip.AddrPort) {
	b := r.hints[i][:]
	b = b[:packet.PutHint(b, h.Service, &r.info.Key, r.agent.id)]
	r.sendHint(b, h.Origin)
	for _, to := range also {
		r.sendHint(b, to)
	}
}

// sendWaitingHint sends a hint that the flow waits at this agent to the packet's origin.
func (r *reader) sendWaitingHint(h *packet.Header, i int) {
	b := r.hints[i][:]
	r.sendHint(b[:packet.PutWaitingHint(b, h.Service, &r.info.Key, r.agent.id)], h.Origin)
}

// sendHint queues a hint. It drops a hint without a receiver or in excess of maxHints,
// which costs one detour.
func (r *reader) sendHint(b []byte, to netip.AddrPort) {
	if to.Port() != 0 && r.counts.hints < maxHints {
		r.outgoing.Add(b, to)
		r.counts.hints++
	}
}

// replyReader receives the upstream's packets: replies to clients, and packets of clients
// that the upstream returns.
type replyReader struct {
	agent     *Agent
	replies   packetio.Conn
	data      packetio.Conn
	replyAddr netip.AddrPort

	in        *packetio.Inbox
	toClients *packetio.Outbox
	outgoing  *packetio.Outbox
	info      packet.Info
	counts    batchCounts
}

func (a *Agent) newReplyReader() *replyReader {
	return &replyReader{
		agent:     a,
		replies:   a.ports.replies,
		data:      a.ports.data,
		replyAddr: a.cfg.ReplyAddress,
		in:        packetio.NewInbox(packet.HeaderSize, packetio.MaxPacket),
		toClients: packetio.NewOutbox(packetio.BatchSize),
		outgoing:  packetio.NewOutbox(packetio.BatchSize),
	}
}

func (r *replyReader) run() error { return packetio.Receive(r.replies, r.in, r.handle) }

func (r *replyReader) handle() {
	r.toClients.Reset()
	r.outgoing.Reset()
	r.agent.flows.do(r.handlePackets)
	r.counts.refusedBySystem = r.replies.Send(r.toClients)
	if r.outgoing.Len() > 0 {
		r.counts.refusedBySystem += r.data.Send(r.outgoing)
	}
	r.agent.counters.add(&r.counts)
	r.counts = batchCounts{}
	if r.agent.monitor != nil {
		r.agent.monitor.recordPacket()
	}
}

// handlePackets updates the flow table with the replies and queues them for the clients. A
// packet that cannot be parsed, such as a fragment, is queued as well if the settings
// contain a fixed reply address.
func (r *replyReader) handlePackets(now time.Duration, t *flow.Table) {
	for i := range r.in.Len() {
		b := r.in.Packet(i)
		to := r.replyAddr
		if r.agent.format().Parse(b, &r.info) == nil {
			if r.info.Returned {
				r.handleReturned(now, t, i)
				continue
			}
			if missed := t.HandleReply(now, &r.info); missed != flow.Incomplete {
				r.agent.logMissedFlow(t, &r.info, missed)
			}
			k := r.info.Key.Reverse()
			r.agent.learnEndpoint(&k)
			to = r.clientAddress()
		}
		if !to.IsValid() {
			r.counts.malformed++
			continue
		}
		r.toClients.Add(b, to)
		r.counts.replies++
	}
	if r.agent.options.Packets != nil {
		r.agent.urgent.wakeDue(t)
	}
}

// clientAddress returns the address to which the parsed reply is sent.
func (r *replyReader) clientAddress() netip.AddrPort {
	if f := r.agent.options.Packets; f != nil {
		k := r.info.Key.Reverse()
		return f.ClientAddress(&k)
	}
	return r.replyAddr
}

// handleReturned forwards, resets or drops a packet that the upstream has returned.
func (r *replyReader) handleReturned(now time.Duration, t *flow.Table, i int) {
	r.counts.returned++
	f := r.agent.options.Packets
	b := r.in.Packet(i)
	h, known := r.agent.headers.get(f.Tag(b))
	if !known {
		r.counts.malformed++
		return
	}
	action := t.HandleReturned(now, &h, &r.info)
	if r.info.First {
		r.agent.logFirstPacket(now, t, &r.info, &h, &action, 0)
	} else {
		r.counts.probesReturned++
		r.agent.logUnownedPacket(now, t, &r.info, &h, &action)
	}
	if action.Kind != flow.Forward {
		r.counts.dropped[action.Reason]++
		if action.Kind == flow.Reset {
			r.agent.queueReset(r.outgoing, &r.info, &r.counts)
		}
		return
	}
	f.ClearTransitFields(b)
	framed := r.in.WithHeadroom(i)
	h.Put(framed)
	r.outgoing.Add(framed, action.Addr)
	r.counts.forwarded++
}
