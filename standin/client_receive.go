package standin

import (
	"fmt"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Receive processes one IP packet from a service.
func (g *LoadGenerator) Receive(now time.Duration, raw []byte) {
	var in packet.Info
	if err := packet.Parse(raw, &in); err != nil {
		g.report.Stray++
		return
	}
	f := g.byKey[in.Key.Reverse()]
	if f == nil || in.ICMPError {
		g.report.Stray++
		g.resetStray(&in)
		return
	}
	if f.key.Proto == packet.ProtoUDP {
		g.receiveResponse(now, f, in.Payload)
		return
	}
	g.receiveTCP(now, f, &in)
}

// resetStray answers a SYN-ACK of an unknown flow, such as one that has timed out,
// with a reset, as a client's TCP stack would.
func (g *LoadGenerator) resetStray(in *packet.Info) {
	if in.ICMPError || in.Key.Proto != packet.ProtoTCP || in.Flags&packet.FlagSYN == 0 {
		return
	}
	s := packet.TCPSegment{Key: in.Key.Reverse(), Seq: in.Ack, Flags: packet.FlagRST}
	g.send(packet.AppendTCP(nil, &s))
}

func (g *LoadGenerator) receiveTCP(now time.Duration, f *clientFlow, in *packet.Info) {
	switch {
	case in.RST:
		g.breakFlow(now, f, ReasonReset, "")
	case in.Flags&packet.FlagSYN != 0:
		g.receiveSYNACK(now, f, in)
	case f.phase == phaseSYNSent:
		g.breakFlow(now, f, ReasonOtherState, "segment before SYN-ACK")
	case in.FIN:
		g.receiveFIN(now, f, in)
	case len(in.Payload) > 0:
		g.receiveData(now, f, in)
	}
}

// receiveSYNACK completes the opening of the flow. A second SYN-ACK must repeat the
// first one: a different sequence number means that another upstream, or the same one
// after it lost its state, accepted the flow as well.
func (g *LoadGenerator) receiveSYNACK(now time.Duration, f *clientFlow, in *packet.Info) {
	if f.phase != phaseSYNSent {
		if in.Seq != f.peerISN {
			g.breakFlow(now, f, ReasonOtherState, "second SYN-ACK with a different sequence number")
		}
		return
	}
	if in.Ack != f.isn+1 {
		g.breakFlow(now, f, ReasonOutOfStream, "SYN-ACK does not acknowledge the SYN")
		return
	}
	f.phase, f.outstanding, f.dueAt = phaseOpen, false, now
	f.peerISN, f.peerNext = in.Seq, in.Seq+1
	g.recordAttempt(now, f, true)
	g.acknowledge(f)
}

// receiveData accepts the next segment of the stream and ignores retransmitted ones.
// Any other segment breaks the flow.
func (g *LoadGenerator) receiveData(now time.Duration, f *clientFlow, in *packet.Info) {
	switch {
	case in.Seq == f.peerNext && f.phase == phaseOpen:
		if g.receiveResponse(now, f, in.Payload) {
			f.peerNext += uint32(len(in.Payload))
		}
	case in.Seq-f.peerISN >= f.peerNext-f.peerISN:
		detail := fmt.Sprintf("sequence number %d, expected %d", in.Seq, f.peerNext)
		g.breakFlow(now, f, ReasonOutOfStream, detail)
	default:
		g.report.ResponsesLate++
	}
}

// receiveResponse checks a response against the flow's latest request and reports
// whether it is the expected one. An incorrect response breaks the flow.
func (g *LoadGenerator) receiveResponse(now time.Duration, f *clientFlow, payload []byte) bool {
	r, err := decodeResponse(payload)
	if err != nil {
		g.report.Mismatched++
		g.breakFlow(now, f, ReasonUnreadable, err.Error())
		return false
	}
	v := f.exchange.check(r)
	switch v {
	case VerdictExpected:
		g.accept(now, f, r)
		return true
	case VerdictLate:
		g.report.ResponsesLate++
		return false
	case VerdictWrongService:
		g.report.WrongService++
	case VerdictWrongFlow, VerdictWrongNumber:
		g.report.Mismatched++
	}
	g.breakFlow(now, f, verdictReasons[v], fmt.Sprintf("response %+v", r))
	return false
}

// accept records the expected response. A duplicate response, which reaches this
// function only over UDP, is counted as late and otherwise ignored.
func (g *LoadGenerator) accept(now time.Duration, f *clientFlow, r Response) {
	if !f.outstanding {
		g.report.ResponsesLate++
		return
	}
	g.recordAttempt(now, f, true)
	g.report.ResponsesExpected++
	f.exchange.upstream, f.exchange.state = r.Upstream, r.State
	f.outstanding = false
	f.dueAt = now + g.jitter(g.cfg.Pause)
}

func (g *LoadGenerator) receiveFIN(now time.Duration, f *clientFlow, in *packet.Info) {
	if f.phase != phaseFINSent || in.Ack != f.sendNext {
		g.breakFlow(now, f, ReasonOutOfStream, "FIN that does not acknowledge a FIN of the client")
		return
	}
	f.peerNext = in.Seq + 1
	g.acknowledge(f)
	g.report.FlowsClosed++
	g.end(f)
}
