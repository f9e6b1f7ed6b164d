package standin

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

type phase uint8

const (
	phaseSYNSent phase = iota
	phaseOpen
	phaseFINSent
	phaseEnded
)

// clientFlow is the client-side state of one flow.
type clientFlow struct {
	key      packet.Key
	exchange exchange
	target   *Target
	// attemptRecorded is set once the outcome of opening the flow has been recorded.
	attemptRecorded bool
	phase           phase
	opened          time.Duration
	closeAt         time.Duration // time at which to close; 0 for a long-lived flow
	isn             uint32
	sendNext        uint32 // sequence number of the next byte to the service
	peerISN         uint32
	peerNext        uint32        // sequence number expected from the service
	outstanding     bool          // the latest packet has not been answered
	lastPacket      []byte        // latest packet, kept for retransmission
	sendCount       int           // number of transmissions of that packet
	dueAt           time.Duration // time of the next request or retransmission
}

// stepFlow retransmits, closes the flow or sends its next request, whichever is due.
func (g *LoadGenerator) stepFlow(now time.Duration, f *clientFlow) {
	if f.phase == phaseEnded {
		return
	}
	if f.outstanding {
		if now >= f.dueAt {
			g.retransmit(now, f)
		}
		return
	}
	switch {
	case g.closing, f.closeAt != 0 && now >= f.closeAt:
		g.startClose(now, f)
	case now >= f.dueAt:
		g.sendRequest(now, f)
	}
}

// retransmit sends the latest packet again, or ends the flow after the maximum
// number of transmissions.
func (g *LoadGenerator) retransmit(now time.Duration, f *clientFlow) {
	if f.sendCount >= f.maxSends() {
		g.recordAttempt(now, f, false)
		if f.target.Greedy && f.unanswered() {
			g.endRefused(f)
			return
		}
		reason := ReasonSilent
		if f.phase == phaseSYNSent {
			reason = ReasonSilentOpen
		}
		g.breakFlow(now, f, reason, "")
		return
	}
	g.report.Retransmissions++
	f.sendCount++
	f.dueAt = now + f.retransmissionTimeout()
	g.send(f.lastPacket)
}

// transmit sends a new TCP segment and stores it for retransmission.
func (g *LoadGenerator) transmit(now time.Duration, f *clientFlow, flags uint8, seq, ack uint32, payload []byte) {
	s := packet.TCPSegment{Key: f.key, Seq: seq, Ack: ack, Flags: flags, Payload: payload}
	g.sendNew(now, f, packet.AppendTCP(nil, &s))
}

// sendNew sends a new packet and starts its retransmission timer.
func (g *LoadGenerator) sendNew(now time.Duration, f *clientFlow, p []byte) {
	f.lastPacket, f.sendCount, f.outstanding = p, 1, true
	f.dueAt = now + f.retransmissionTimeout()
	g.send(p)
}

// maxSends returns the maximum number of transmissions of the current packet.
func (f *clientFlow) maxSends() int {
	if f.phase == phaseSYNSent {
		return maxSYNTransmissions
	}
	return maxTransmissions
}

// retransmissionTimeout returns the retransmission timeout of the current packet.
func (f *clientFlow) retransmissionTimeout() time.Duration {
	if f.phase == phaseSYNSent {
		return synRetransmissionTimeout
	}
	return min(minRetransmissionTimeout<<(f.sendCount-1), maxRetransmissionTimeout)
}

// acknowledge sends an ACK without data, which is never retransmitted.
func (g *LoadGenerator) acknowledge(f *clientFlow) {
	s := packet.TCPSegment{Key: f.key, Seq: f.sendNext, Ack: f.peerNext, Flags: packet.FlagACK}
	g.send(packet.AppendTCP(nil, &s))
}

func (g *LoadGenerator) sendRequest(now time.Duration, f *clientFlow) {
	f.exchange.request.Number++
	g.report.RequestsSent++
	payload := encode(&f.exchange.request)
	if f.key.Proto == packet.ProtoUDP {
		g.sendNew(now, f, packet.AppendUDP(nil, &f.key, payload))
		return
	}
	g.transmit(now, f, packet.FlagACK|packet.FlagPSH, f.sendNext, f.peerNext, payload)
	f.sendNext += uint32(len(payload))
}

func (g *LoadGenerator) startClose(now time.Duration, f *clientFlow) {
	if f.key.Proto == packet.ProtoUDP {
		g.report.FlowsClosed++
		g.end(f)
		return
	}
	f.phase = phaseFINSent
	g.transmit(now, f, packet.FlagFIN|packet.FlagACK, f.sendNext, f.peerNext, nil)
	f.sendNext++
}

// end removes the flow.
func (g *LoadGenerator) end(f *clientFlow) {
	f.phase = phaseEnded
	delete(g.byKey, f.key)
	g.open[f.target.key()]--
	if f.closeAt == 0 {
		g.longLived[f.target.key()]--
	}
}

// breakFlow counts the flow as broken and removes it. For a TCP flow that was not broken
// by a reset, it sends a reset, as a client's TCP stack would, so that every process that
// still has state for the flow removes it.
func (g *LoadGenerator) breakFlow(now time.Duration, f *clientFlow, reason Reason, detail string) {
	planned := !g.upstreamKilled(f)
	if planned {
		g.report.BrokenPlanned++
	} else {
		g.report.BrokenUnplanned++
	}
	if len(g.report.Broken) < maxBrokenFlows {
		g.report.Broken = append(g.report.Broken, BrokenFlow{
			Flow: f.exchange.request.Flow, Service: f.target.Service, Proto: f.key.Proto,
			Source: f.key.Source().String(), Dest: f.key.Destination().String(),
			Reason: reason, Detail: detail, Upstream: f.exchange.upstream,
			Planned: planned, Request: f.exchange.request.Number,
			Opened: f.opened, Broken: now,
		})
	}
	g.end(f)
	if f.key.Proto == packet.ProtoTCP && reason != ReasonReset {
		s := packet.TCPSegment{Key: f.key, Seq: f.sendNext, Flags: packet.FlagRST}
		g.send(packet.AppendTCP(nil, &s))
	}
}

// unanswered reports whether no upstream has answered the flow yet.
func (f *clientFlow) unanswered() bool { return f.peerISN == 0 && f.exchange.upstream == "" }

// upstreamKilled reports whether the upstream that answered the flow was killed on
// purpose; a flow without an answer has no upstream. Before the first response, the
// upstream is known by its tag (UpstreamTag) in the sequence number of the SYN-ACK.
func (g *LoadGenerator) upstreamKilled(f *clientFlow) bool {
	if f.exchange.upstream != "" {
		return g.killedTags[UpstreamTag(f.exchange.upstream)]
	}
	return f.peerISN != 0 && g.killedTags[uint16(f.peerISN>>tagBits)]
}
