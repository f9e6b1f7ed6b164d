package standin

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

type phase uint8

const (
	phaseOpening phase = iota // SYN sent
	phaseOpen
	phaseClosing // FIN sent
	phaseEnded
)

// callerFlow is the client-side state of one flow.
type callerFlow struct {
	key    packet.Key
	id     identity
	target *Target
	// attempted is set once the outcome of opening the flow has been recorded.
	attempted bool
	phase     phase
	opened    time.Duration
	until     time.Duration // time at which to close; 0 for a long-lived flow
	isn       uint32
	sendNext  uint32 // sequence number of the next byte to the service
	peerISN   uint32
	peerNext  uint32        // sequence number expected from the service
	waiting   bool          // the latest packet has not been answered
	packet    []byte        // latest packet, kept for retransmission
	sent      int           // number of transmissions of that packet
	next      time.Duration // time of the next request or retransmission
}

// stepFlow retransmits, closes the flow or sends its next request, whichever is due.
func (c *Callers) stepFlow(now time.Duration, f *callerFlow) {
	if f.phase == phaseEnded {
		return
	}
	if f.waiting {
		if now >= f.next {
			c.retransmit(now, f)
		}
		return
	}
	switch {
	case c.closing, f.until != 0 && now >= f.until:
		c.startClose(now, f)
	case now >= f.next:
		c.sendRequest(now, f)
	}
}

// retransmit sends the latest packet again, or ends the flow after the maximum
// number of transmissions.
func (c *Callers) retransmit(now time.Duration, f *callerFlow) {
	if f.sent >= f.transmissions() {
		c.noteAttempt(now, f, false)
		if f.target.Greedy && f.unanswered() {
			c.refuse(f)
			return
		}
		reason := ReasonSilent
		if f.phase == phaseOpening {
			reason = ReasonSilentOpen
		}
		c.breakFlow(now, f, reason, "")
		return
	}
	c.report.Retransmissions++
	f.sent++
	f.next = now + f.retransmission()
	c.out(f.packet)
}

// transmit sends a new TCP segment and stores it for retransmission.
func (c *Callers) transmit(now time.Duration, f *callerFlow, flags uint8, seq, ack uint32, payload []byte) {
	s := packet.TCPSegment{Key: f.key, Seq: seq, Ack: ack, Flags: flags, Payload: payload}
	c.start(now, f, packet.AppendTCP(nil, &s))
}

// start sends a new packet and starts its retransmission timer.
func (c *Callers) start(now time.Duration, f *callerFlow, p []byte) {
	f.packet, f.sent, f.waiting = p, 1, true
	f.next = now + f.retransmission()
	c.out(p)
}

// transmissions returns the maximum number of transmissions of the current packet.
func (f *callerFlow) transmissions() int {
	if f.phase == phaseOpening {
		return maxOpenings
	}
	return maxTransmissions
}

// retransmission returns the retransmission timeout of the current packet.
func (f *callerFlow) retransmission() time.Duration {
	if f.phase == phaseOpening {
		return openingRetransmission
	}
	return min(firstRetransmission<<(f.sent-1), maxRetransmission)
}

// acknowledge sends an ACK without data, which is never retransmitted.
func (c *Callers) acknowledge(f *callerFlow) {
	s := packet.TCPSegment{Key: f.key, Seq: f.sendNext, Ack: f.peerNext, Flags: packet.FlagACK}
	c.out(packet.AppendTCP(nil, &s))
}

func (c *Callers) sendRequest(now time.Duration, f *callerFlow) {
	f.id.request.Number++
	c.report.RequestsSent++
	payload := encode(&f.id.request)
	if f.key.Proto == packet.ProtoUDP {
		c.start(now, f, packet.AppendUDP(nil, &f.key, payload))
		return
	}
	c.transmit(now, f, packet.FlagACK|packet.FlagPSH, f.sendNext, f.peerNext, payload)
	f.sendNext += uint32(len(payload))
}

func (c *Callers) startClose(now time.Duration, f *callerFlow) {
	if f.key.Proto == packet.ProtoUDP {
		c.report.FlowsClosed++
		c.end(f)
		return
	}
	f.phase = phaseClosing
	c.transmit(now, f, packet.FlagFIN|packet.FlagACK, f.sendNext, f.peerNext, nil)
	f.sendNext++
}

// end removes the flow.
func (c *Callers) end(f *callerFlow) {
	f.phase = phaseEnded
	delete(c.byKey, f.key)
	c.open[f.target.key()]--
	if f.until == 0 {
		c.feeds[f.target.key()]--
	}
}

// breakFlow counts the flow as broken and removes it. As a client's TCP stack would,
// it sends a reset, so that any process that still has state for the flow removes it.
func (c *Callers) breakFlow(now time.Duration, f *callerFlow, reason Reason, detail string) {
	planned := !c.killedOwner(f)
	if planned {
		c.report.BrokenPlanned++
	} else {
		c.report.BrokenUnplanned++
	}
	if len(c.report.Broken) < brokenLogSize {
		c.report.Broken = append(c.report.Broken, BrokenFlow{
			Flow: f.id.request.Flow, Service: f.target.Service, Proto: f.key.Proto,
			Source: f.key.Source().String(), Dest: f.key.Destination().String(),
			Reason: reason, Detail: detail, Upstream: f.id.upstream,
			Planned: planned, Request: f.id.request.Number,
			Opened: f.opened, Broken: now,
		})
	}
	c.end(f)
	if f.key.Proto == packet.ProtoTCP && reason != ReasonReset {
		s := packet.TCPSegment{Key: f.key, Seq: f.sendNext, Flags: packet.FlagRST}
		c.out(packet.AppendTCP(nil, &s))
	}
}

// unanswered reports whether no upstream has answered the flow yet.
func (f *callerFlow) unanswered() bool { return f.peerISN == 0 && f.id.upstream == "" }

// killedOwner reports whether the upstream that answered the flow was killed on
// purpose. A flow without an answer belongs to no upstream. Before the first
// response, the initial sequence number of the SYN-ACK identifies the upstream.
func (c *Callers) killedOwner(f *callerFlow) bool {
	if f.id.upstream != "" {
		return c.killed[UpstreamTag(f.id.upstream)]
	}
	return f.peerISN != 0 && c.killed[uint16(f.peerISN>>tagBits)]
}
