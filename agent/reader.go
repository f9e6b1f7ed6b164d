package agent

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
)

// maxHints is the maximum number of hints per batch. The outbox has space for a batch of
// forwarded packets in addition, so that hints never displace a packet.
const maxHints = 3 * packetio.BatchSize

// reader receives encapsulated packets and delivers, forwards or drops them.
type reader struct {
	agent    *Agent
	data     packetio.Conn
	upstream packetio.Sink

	in       *packetio.Inbox
	delivery *packetio.Outbox // to the upstream
	outgoing *packetio.Outbox // to agents and, as hints, to balancers
	hints    [packetio.BatchSize][packet.HintSize]byte
	answers  [packetio.BatchSize][]byte
	info     packet.Info
	tally    tally
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
	r.tally.late = r.in.Late()
	r.delivery.Reset()
	r.outgoing.Reset()
	r.agent.flows.do(r.handlePackets)
	r.tally.refused = r.upstream.Send(r.delivery) + r.data.Send(r.outgoing)
	if r.tally.firstDelivered && r.agent.monitor != nil {
		r.agent.monitor.recordFirstPackets(r.agent.clock())
	}
	r.agent.counters.add(&r.tally)
	r.tally = tally{}
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
	r.tally.received++
	b := r.in.Packet(i)
	h, raw, err := packet.ReadHeader(b)
	if err == nil && h.Kind != packet.KindData {
		r.handleMessage(now, t, i, &h, raw)
		return
	}
	if err != nil || r.agent.format().Parse(raw, &r.info) != nil {
		r.tally.malformed++
		return
	}
	// The service in the header is the balancer's choice. The packet's own destination
	// is checked too, so that a balancer with a stale view never causes delivery to
	// another service.
	if !r.agent.owns(&r.info.Key) {
		r.tally.wrongEndpoint++
		return
	}
	action := t.Receive(now, &h, &r.info)
	if r.agent.options.Packets != nil {
		r.log(now, t, &h, &action)
	}
	switch action.Kind {
	case flow.Deliver:
		r.deliver(&h, raw)
		if action.Hint {
			r.sendHints(&h, i, action.ExtraHints)
		}
	case flow.Forward:
		h.Put(b)
		r.outgoing.Add(b, action.Addr)
		r.tally.forwarded++
	case flow.Wait:
		r.agent.admission.buffer(action.Flow, raw)
	case flow.Reset:
		r.tally.dropped[action.Reason]++
		r.agent.sendReset(r.outgoing, &r.info, &r.tally)
	case flow.Drop:
		r.tally.dropped[action.Reason]++
	}
}

func (r *reader) log(now time.Duration, t *flow.Table, h *packet.Header, action *flow.Action) {
	if r.info.First {
		r.agent.logFirstPacket(now, t, &r.info, h, action, 0)
	} else {
		r.agent.logUnheldPacket(now, t, &r.info, h, action)
	}
}

// handleMessage handles a datagram that carries a message instead of a packet.
func (r *reader) handleMessage(now time.Duration, t *flow.Table, i int, h *packet.Header, b []byte) {
	if h.Service != r.agent.service || !r.dispatch(now, t, i, h, b) {
		r.tally.malformed++
	}
}

func (r *reader) dispatch(now time.Duration, t *flow.Table, i int, h *packet.Header, b []byte) bool {
	switch h.Kind {
	case packet.KindHint:
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

// answerInquiry answers a peer's inquiry.
func (r *reader) answerInquiry(now time.Duration, t *flow.Table, i int, q *packet.Inquiry) {
	to, known := t.AddrOf(q.From)
	if !known {
		return // the peer repeats the inquiry, by when this agent may know it
	}
	a := t.AnswerInquiry(now, q)
	r.answers[i] = packet.AppendAnswer(r.answers[i][:0], r.agent.service, &a)
	r.outgoing.Add(r.answers[i], to)
}

// sendReset answers a client's packet with a reset of its flow.
func (a *Agent) sendReset(out *packetio.Outbox, in *packet.Info, t *tally) {
	f := a.options.Packets
	if f == nil {
		return
	}
	if b := f.AppendReset(nil, in); b != nil && out.Add(b, f.ClientAddress(&in.Key)) {
		t.resets++
	}
}

func (r *reader) deliver(h *packet.Header, raw []byte) {
	if h.Service != r.agent.service {
		r.agent.log.Log(event.WrongService, "service", h.Service, "source", r.info.Key.Source())
		return
	}
	if f := r.agent.options.Packets; f != nil {
		f.SetTag(raw, r.agent.headers.put(h))
		r.tally.firstDelivered = r.tally.firstDelivered || r.info.First
	}
	r.delivery.Add(raw, r.agent.cfg.UpstreamSinkAddress)
	r.tally.delivered++
}

// format returns the format of clients' packets.
func (a *Agent) format() packet.Format {
	if a.options.Packets != nil {
		return a.options.Packets
	}
	return packet.IP{}
}

// sendHints sends a hint to the packet's origin and to other balancers: this agent holds
// the flow.
func (r *reader) sendHints(h *packet.Header, i int, also []netip.AddrPort) {
	b := r.hints[i][:]
	b = b[:packet.PutHint(b, h.Service, &r.info.Key, r.agent.id)]
	r.sendHint(b, h.Origin)
	for _, to := range also {
		r.sendHint(b, to)
	}
}

// sendHint skips a hint without a receiver or in excess of maxHints: a lost hint costs
// one detour.
func (r *reader) sendHint(b []byte, to netip.AddrPort) {
	if to.Port() != 0 && r.tally.hints < maxHints {
		r.outgoing.Add(b, to)
		r.tally.hints++
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
	toAgents  *packetio.Outbox
	info      packet.Info
	tally     tally
}

func (a *Agent) newReplyReader() *replyReader {
	return &replyReader{
		agent:     a,
		replies:   a.ports.replies,
		data:      a.ports.data,
		replyAddr: a.cfg.ReplyAddress,
		in:        packetio.NewInbox(packet.HeaderSize, packetio.MaxPacket),
		toClients: packetio.NewOutbox(packetio.BatchSize),
		toAgents:  packetio.NewOutbox(packetio.BatchSize),
	}
}

func (r *replyReader) run() error { return packetio.Receive(r.replies, r.in, r.handle) }

func (r *replyReader) handle() {
	r.toClients.Reset()
	r.toAgents.Reset()
	r.agent.flows.do(r.handlePackets)
	r.tally.refused = r.replies.Send(r.toClients)
	if r.toAgents.Len() > 0 {
		r.tally.refused += r.data.Send(r.toAgents)
	}
	r.agent.counters.add(&r.tally)
	r.tally = tally{}
	if r.agent.monitor != nil {
		r.agent.monitor.recordPacket()
	}
}

// handlePackets updates the flow table with the replies and queues them for the clients. A
// packet that cannot be parsed, such as a fragment, is passed on as well if there is a
// fixed reply address.
func (r *replyReader) handlePackets(now time.Duration, t *flow.Table) {
	for i := range r.in.Len() {
		b := r.in.Packet(i)
		to := r.replyAddr
		if r.agent.format().Parse(b, &r.info) == nil {
			if r.info.Returned {
				r.handleReturned(now, t, i)
				continue
			}
			t.HandleReply(now, &r.info)
			k := r.info.Key.Reverse()
			r.agent.learnEndpoint(&k)
			to = r.clientAddress()
		}
		if !to.IsValid() {
			r.tally.malformed++
			continue
		}
		r.toClients.Add(b, to)
		r.tally.replies++
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
	r.tally.returned++
	f := r.agent.options.Packets
	b := r.in.Packet(i)
	h, known := r.agent.headers.get(f.Tag(b))
	if !known {
		r.tally.malformed++
		return
	}
	action := t.HandleReturned(now, &h, &r.info)
	if r.info.First {
		r.agent.logFirstPacket(now, t, &r.info, &h, &action, 0)
	} else {
		r.agent.logUnheldPacket(now, t, &r.info, &h, &action)
	}
	if action.Kind != flow.Forward {
		r.tally.dropped[action.Reason]++
		if action.Kind == flow.Reset {
			r.agent.sendReset(r.toAgents, &r.info, &r.tally)
		}
		return
	}
	f.ClearTransitFields(b)
	framed := r.in.WithHeadroom(i)
	h.Put(framed)
	r.toAgents.Add(framed, action.Addr)
	r.tally.forwarded++
}
