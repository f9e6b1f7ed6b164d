package standin

import (
	"fmt"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Receive processes one IP packet from a service.
func (c *Callers) Receive(now time.Duration, raw []byte) {
	var in packet.Info
	if err := packet.Parse(raw, &in); err != nil {
		c.report.Stray++
		return
	}
	f := c.byKey[in.Key.Reverse()]
	if f == nil || in.ICMPError {
		c.report.Stray++
		c.resetStray(&in)
		return
	}
	if f.key.Proto == packet.ProtoUDP {
		c.receiveResponse(now, f, in.Payload)
		return
	}
	c.receiveTCP(now, f, &in)
}

// resetStray answers a SYN-ACK of an unknown flow, such as one that has timed out,
// with a reset, as a client's TCP stack would.
func (c *Callers) resetStray(in *packet.Info) {
	if in.ICMPError || in.Key.Proto != packet.ProtoTCP || in.Flags&packet.FlagSYN == 0 {
		return
	}
	s := packet.TCPSegment{Key: in.Key.Reverse(), Seq: in.Ack, Flags: packet.FlagRST}
	c.send(packet.AppendTCP(nil, &s))
}

func (c *Callers) receiveTCP(now time.Duration, f *clientFlow, in *packet.Info) {
	switch {
	case in.RST:
		c.breakFlow(now, f, ReasonReset, "")
	case in.Flags&packet.FlagSYN != 0:
		c.receiveSYNACK(now, f, in)
	case f.phase == phaseSYNSent:
		c.breakFlow(now, f, ReasonOtherState, "segment before SYN-ACK")
	case in.FIN:
		c.receiveFIN(now, f, in)
	case len(in.Payload) > 0:
		c.receiveData(now, f, in)
	}
}

// receiveSYNACK completes the opening of the flow. A second SYN-ACK must repeat the
// first one: a different sequence number means that the flow has a second server
// state.
func (c *Callers) receiveSYNACK(now time.Duration, f *clientFlow, in *packet.Info) {
	if f.phase != phaseSYNSent {
		if in.Seq != f.peerISN {
			c.breakFlow(now, f, ReasonOtherState, "second SYN-ACK with a different sequence number")
		}
		return
	}
	if in.Ack != f.isn+1 {
		c.breakFlow(now, f, ReasonOutOfStream, "SYN-ACK does not acknowledge the SYN")
		return
	}
	f.phase, f.outstanding, f.dueAt = phaseOpen, false, now
	f.peerISN, f.peerNext = in.Seq, in.Seq+1
	c.recordAttempt(now, f, true)
	c.acknowledge(f)
}

// receiveData accepts the next segment of the stream and ignores retransmitted ones.
// Any other segment breaks the flow.
func (c *Callers) receiveData(now time.Duration, f *clientFlow, in *packet.Info) {
	switch {
	case in.Seq == f.peerNext && f.phase == phaseOpen:
		if c.receiveResponse(now, f, in.Payload) {
			f.peerNext += uint32(len(in.Payload))
		}
	case in.Seq-f.peerISN >= f.peerNext-f.peerISN:
		detail := fmt.Sprintf("sequence number %d, expected %d", in.Seq, f.peerNext)
		c.breakFlow(now, f, ReasonOutOfStream, detail)
	default:
		c.report.ResponsesLate++
	}
}

// receiveResponse checks a response against the flow's latest request and reports
// whether it is the expected one. An incorrect response breaks the flow.
func (c *Callers) receiveResponse(now time.Duration, f *clientFlow, payload []byte) bool {
	r, err := decodeResponse(payload)
	if err != nil {
		c.report.Mismatched++
		c.breakFlow(now, f, ReasonUnreadable, err.Error())
		return false
	}
	v := f.exchange.check(r)
	switch v {
	case Expected:
		c.accept(now, f, r)
		return true
	case Late:
		c.report.ResponsesLate++
		return false
	case WrongService:
		c.report.WrongService++
	case WrongFlow, WrongNumber:
		c.report.Mismatched++
	}
	c.breakFlow(now, f, verdictReasons[v], fmt.Sprintf("response %+v", r))
	return false
}

// accept records the expected response. A duplicate response, which reaches this
// function only over UDP, is counted as late and otherwise ignored.
func (c *Callers) accept(now time.Duration, f *clientFlow, r Response) {
	if !f.outstanding {
		c.report.ResponsesLate++
		return
	}
	c.recordAttempt(now, f, true)
	c.report.ResponsesExpected++
	f.exchange.upstream, f.exchange.state = r.Upstream, r.State
	f.outstanding = false
	f.dueAt = now + c.jitter(c.cfg.Pause)
}

func (c *Callers) receiveFIN(now time.Duration, f *clientFlow, in *packet.Info) {
	if f.phase != phaseFINSent || in.Ack != f.sendNext {
		c.breakFlow(now, f, ReasonOutOfStream, "FIN that does not acknowledge a FIN of the client")
		return
	}
	f.peerNext = in.Seq + 1
	c.acknowledge(f)
	c.report.FlowsClosed++
	c.end(f)
}
