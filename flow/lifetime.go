package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// sweepCalls is the number of calls of sweep that cover the whole table.
const sweepCalls = 16

// halfOpenTimeout is the time after which a flow without a SYN+ACK that the client has acknowledged is removed.
// A client gives its SYN up after 1.4 s and sends its first packet as soon as the SYN+ACK has arrived.
const halfOpenTimeout = 3 * time.Second

// processClientPacket processes a client packet of a flow in this agent's table.
func (t *Table) processClientPacket(now time.Duration, e *entry, in *packet.Info) {
	if in.ICMPError {
		return
	}
	e.lastSeen = seconds(now)
	if in.Key.Proto != packet.ProtoTCP {
		return
	}
	if in.First {
		e.check = t.check
		t.reopen(e)
		return
	}
	if e.handshake == handshakeHalf && in.Flags&packet.FlagACK != 0 && e.acknowledgesSYN(in) {
		e.handshake = handshakeDone
	}
	t.noteRequest(now, e, in)
	if in.FIN {
		e.flags |= flagClientFIN
	}
	t.updateLinger(now, e, in.RST)
}

// HandleReply processes a packet on its way from the upstream to the client. in.Key is that of
// the reply, from the service to the client. If the table counted as complete and lacked the packet's flow,
// missed is why it counted so, and Incomplete otherwise.
func (t *Table) HandleReply(now time.Duration, in *packet.Info) (missed Completeness) {
	k := in.Key.Reverse()
	t.checkDenial(now, &k, in)
	e := t.flows.find(k.Hash(), &k)
	adopted := e == nil
	if adopted {
		e, missed = t.adopt(now, &k, in)
	}
	if e == nil || in.ICMPError {
		return missed
	}
	e.lastSeen = seconds(now)
	e.flags |= flagReplies
	e.noteHandshakeReply(in, adopted)
	t.noteResponse(now, e, in)
	if in.FIN {
		e.flags |= flagServerFIN
	}
	t.updateLinger(now, e, in.RST)
	return missed
}

// expectHandshake records that the flow was accepted by its first packet. seq is the sequence number of a SYN.
func (e *entry) expectHandshake(seq uint32) {
	if e.key.Proto == packet.ProtoTCP {
		e.handshake, e.synSeq = handshakeSYN, seq
	}
}

// noteHandshakeReply records what a packet of the upstream shows of the handshake. The SYN+ACK of a late
// copy of the SYN says nothing new.
func (e *entry) noteHandshakeReply(in *packet.Info, adopted bool) {
	switch {
	case in.Flags&packet.FlagSYN == 0:
		e.handshake = handshakeDone
	case adopted || e.handshake == handshakeSYN || e.synAckSeq != 0 && e.synAckSeq != in.Seq:
		e.handshake = handshakeHalf
		fallthrough
	default:
		e.synAckSeq = in.Seq
	}
}

// isOpenElsewhere reports whether a packet of the client acknowledges another SYN+ACK than this
// upstream's: copies of the SYN were accepted by several upstreams, and the flow is open at one of them.
func (t *Table) isOpenElsewhere(e *entry, in *packet.Info) bool {
	if t.cfg.Rebuild == 0 || in.First || in.RST || in.Flags&packet.FlagACK == 0 {
		return false
	}
	switch e.handshake {
	case handshakeHalf:
		return !e.acknowledgesSYN(in)
	case handshakeRestored:
		return e.synAckSeq != 0 && in.Ack-e.synAckSeq > maxUnseenReply
	}
	return false
}

// mayBeReused reports whether a SYN comes so late for a flow in the table that it may begin a new flow with the
// same addresses and ports, whose client has given the old one up.
func (t *Table) mayBeReused(now time.Duration, e *entry, in *packet.Info) bool {
	if !opensTCP(in) {
		return false
	}
	return e.handshake.opened() && e.idleLongerThan(now, halfOpenTimeout) || e.flags&flagLingering != 0 && !t.accepts()
}

// isAnswered reports whether the upstream has accepted the flow, or may have, and no end has closed it.
func (e *entry) isAnswered() bool { return e.handshake != handshakeSYN && e.flags&flagLingering == 0 }

// isOpen reports whether a client has opened the flow, as far as this agent knows, and no end has closed it.
func (e *entry) isOpen() bool { return e.handshake.opened() && e.flags&flagLingering == 0 }

func (e *entry) idleLongerThan(now, limit time.Duration) bool {
	return seconds(now)-e.lastSeen > seconds(limit)
}

// isReused reports whether a SYN for which mayBeReused is true begins a new flow. The new flow is placed like any
// other, as the upstream may not accept it. Without the sequence number of the flow's own SYN, only a flow that has
// ended, or is so old that it may be discarded, is given up.
func (e *entry) isReused(now time.Duration, in *packet.Info) bool {
	switch {
	case e.idleLongerThan(now, MaxFlowAge):
		return true
	case e.synSeq != 0:
		return in.Seq != e.synSeq
	}
	return e.flags&flagLingering != 0
}

// isLateCopy reports whether a SYN is a copy of the one that opened the flow, which a balancer may have held back for
// seconds while it did not run.
func (e *entry) isLateCopy(in *packet.Info) bool { return e.synSeq != 0 && in.Seq == e.synSeq }

// maxUnseenReply is the number of bytes that an upstream may have sent on a flow between the list of flows
// and the end of the process that wrote it.
const maxUnseenReply = 1 << 20

// acknowledgesSYN reports whether a packet of the client acknowledges the SYN+ACK of the upstream, which has
// sent no data yet.
func (e *entry) acknowledgesSYN(in *packet.Info) bool { return in.Ack-e.synAckSeq <= 1 }

// updateLinger starts or extends the linger time of a flow that the client and the upstream
// have closed. If replies don't pass this agent, the client's FIN alone closes the flow. Each
// later packet extends the linger time, so that a half-closed flow lives as long as it is in
// use.
func (t *Table) updateLinger(now time.Duration, e *entry, reset bool) {
	ended := e.flags&flagClientFIN != 0 &&
		(e.flags&flagReplies == 0 || e.flags&flagServerFIN != 0)
	if !ended && !reset && e.flags&flagLingering == 0 {
		return
	}
	if e.flags&flagLingering == 0 {
		e.flags |= flagLingering
		t.lingering++
		t.clearOpening(e)
		t.markIdle(e)
	}
	e.lingerEnd = milliseconds(now + t.cfg.Linger)
}

// reopen processes a SYN of a flow in the table. A lingering flow is open again: the client
// reuses its address and port.
func (t *Table) reopen(e *entry) {
	if e.flags&flagLingering != 0 {
		t.lingering--
	}
	e.flags &= flagHinted | flagBusy | flagOpening | flagNoRequestYet
	e.next = 0
}

// sweep removes expired flows from a part of the table, so that one call takes bounded time.
func (t *Table) sweep(now time.Duration) {
	n := len(t.flows.entries)/sweepCalls + 256
	for ; n > 0 && len(t.flows.entries) > 0; n-- {
		if t.sweepFrom >= len(t.flows.entries) {
			t.sweepFrom = 0
		}
		if e := &t.flows.entries[t.sweepFrom]; e.flags&flagBusy != 0 && seconds(now)-e.lastSeen >= seconds(requestTimeout) {
			t.markIdle(e)
		}
		if e := &t.flows.entries[t.sweepFrom]; t.expired(now, e) {
			if e.handshake == handshakeHalf {
				t.noteHalfOpen(now, e)
			}
			t.reportRemoval(now, e, e.timeout(), nil)
			t.removeAt(now, t.sweepFrom)
		} else {
			t.sweepFrom++
		}
	}
}

func (t *Table) expired(now time.Duration, e *entry) bool {
	if e.flags&flagLingering != 0 && int32(milliseconds(now)-e.lingerEnd) >= 0 {
		return true
	}
	idle := t.cfg.IdleTCP
	if t.cfg.Rebuild > 0 && e.handshake != handshakeDone && e.handshake != handshakeRestored {
		idle = halfOpenTimeout
	}
	if e.key.Proto == packet.ProtoUDP {
		idle = t.cfg.IdleUDP
	}
	return seconds(now)-e.lastSeen >= seconds(idle)
}

// timeout returns why an expired flow leaves the table.
func (e *entry) timeout() Removal {
	switch {
	case e.flags&flagLingering != 0:
		return Closed
	case e.handshake.opened():
		return IdleTimeout
	}
	return HandshakeTimeout
}

// removeAt removes the flow at a position of the flow store and withdraws its fingerprints.
func (t *Table) removeAt(now time.Duration, position int) {
	e := &t.flows.entries[position]
	if e.flags&flagLingering != 0 {
		t.lingering--
	}
	t.clearOpening(e)
	t.markIdle(e)
	for _, id := range [...]packet.AgentID{e.target, e.futureTarget} {
		if p := t.peers.get(id); p != nil {
			p.outbox.push(now, fingerprint(e.hash), true)
		}
	}
	if t.cfg.Observer != nil {
		t.cfg.Observer.FlowEnded(t.self.ID, &e.key)
	}
	t.release(now, e)
	t.flows.remove(position)
}
