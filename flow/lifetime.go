package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// sweepShare is the fraction of the flows that one Step checks for expiry: 1/sweepShare.
const sweepShare = 16

// refresh processes a client packet of a flow in this agent's table.
func (t *Table) refresh(now time.Duration, e *entry, in *packet.Info) {
	if in.ICMPError {
		return
	}
	e.lastSeen = seconds(now)
	if in.Key.Proto != packet.ProtoTCP {
		return
	}
	if in.First {
		t.reopen(e)
		return
	}
	t.noteRequest(now, e, in)
	if in.FIN {
		e.flags |= flagClientFIN
	}
	t.updateEnd(now, e, in.RST)
}

// Reply processes a packet on its way from the upstream to the client. in.Key is that of the
// reply, from the service to the client.
func (t *Table) Reply(now time.Duration, in *packet.Info) {
	k := in.Key.Reverse()
	e := t.flows.find(k.Hash(), &k)
	if e == nil {
		e = t.adopt(now, &k, in)
	}
	if e == nil || in.ICMPError {
		return
	}
	e.lastSeen = seconds(now)
	e.flags |= flagReplies
	t.noteResponse(now, e, in)
	if in.FIN {
		e.flags |= flagServerFIN
	}
	t.updateEnd(now, e, in.RST)
}

// updateEnd starts or extends the linger time of a flow that has ended. If replies don't pass
// this agent, the client's FIN alone ends the flow. Each later packet extends the linger
// time, so that a half-closed flow lives as long as it is in use.
func (t *Table) updateEnd(now time.Duration, e *entry, reset bool) {
	ended := e.flags&flagClientFIN != 0 &&
		(e.flags&flagReplies == 0 || e.flags&flagServerFIN != 0)
	if !ended && !reset && e.flags&flagEnding == 0 {
		return
	}
	if e.flags&flagEnding == 0 {
		e.flags |= flagEnding
		t.ending++
		t.clearOpening(e)
		t.markIdle(e)
	}
	e.end = seconds(now + t.cfg.Linger)
}

// reopen makes an ended flow open again when the client reuses its address and port.
func (t *Table) reopen(e *entry) {
	if e.flags&flagEnding != 0 {
		t.ending--
	}
	e.flags &= flagHinted | flagBusy | flagOpening | flagNoRequestYet
	e.next = 0
}

// sweep removes expired flows from a part of the table, so that one call takes bounded time
// and sweepShare calls cover the whole table.
func (t *Table) sweep(now time.Duration) {
	n := len(t.flows.entries)/sweepShare + 256
	for ; n > 0 && len(t.flows.entries) > 0; n-- {
		if t.sweepFrom >= len(t.flows.entries) {
			t.sweepFrom = 0
		}
		if e := &t.flows.entries[t.sweepFrom]; e.flags&flagBusy != 0 && seconds(now)-e.lastSeen >= seconds(requestTimeout) {
			t.markIdle(e)
		}
		if t.expired(now, &t.flows.entries[t.sweepFrom]) {
			t.end(now, t.sweepFrom)
		} else {
			t.sweepFrom++
		}
	}
}

func (t *Table) expired(now time.Duration, e *entry) bool {
	if e.flags&flagEnding != 0 && seconds(now) >= e.end {
		return true
	}
	idle := t.cfg.IdleTCP
	if e.key.Proto == packet.ProtoUDP {
		idle = t.cfg.IdleUDP
	}
	return seconds(now)-e.lastSeen >= seconds(idle)
}

// end removes the flow at a position of the store and withdraws its fingerprints.
func (t *Table) end(now time.Duration, position int) {
	e := &t.flows.entries[position]
	if e.flags&flagEnding != 0 {
		t.ending--
	}
	t.clearOpening(e)
	t.markIdle(e)
	for _, id := range [...]packet.AgentID{e.target, e.future} {
		if p := t.peers.get(id); p != nil {
			p.out.push(now, fingerprint(e.hash), true)
		}
	}
	if t.cfg.Observer != nil {
		t.cfg.Observer.FlowEnded(t.self.ID, &e.key)
	}
	t.release(now, e)
	t.flows.remove(position)
}
