package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Removal is the reason why a flow has left the table.
type Removal uint8

const (
	// Closed: both ends have closed the flow, or one of them has reset it.
	Closed Removal = iota
	// OpenElsewhere: a packet of the client acknowledges the SYN+ACK of another upstream, and the flow was
	// half-open here.
	OpenElsewhere
	// PortsReused: a packet of the client is the SYN of a new flow with the same addresses and ports.
	PortsReused
	// ReturnedByUpstream: the upstream has sent a packet of the flow back.
	ReturnedByUpstream
	// HandshakeTimeout: no packet of the client has acknowledged the upstream's SYN+ACK for halfOpenTimeout.
	HandshakeTimeout
	// IdleTimeout: no packet has passed for TableConfig.IdleTCP or IdleUDP.
	IdleTimeout
	// UpstreamEnded: the run of the upstream that held the flow has ended.
	UpstreamEnded
)

var removalNames = [...]string{
	"closed", "open_elsewhere", "ports_reused", "returned", "handshake_timeout", "idle_timeout", "upstream_ended",
}

// String returns the reason's name in logs.
func (r Removal) String() string {
	if int(r) < len(removalNames) {
		return removalNames[r]
	}
	return "unknown"
}

// RemovedFlow describes a flow that has left the table.
type RemovedFlow struct {
	Key   packet.Key
	Cause Removal
	Age   time.Duration // since the flow entered the table
	Idle  time.Duration // since its last packet, to the second
	// Handshake is the part of the handshake that had passed: "done", "syn", "syn_ack" or, for a flow that an
	// earlier process of this agent has listed, "restored".
	Handshake string
	Opened    bool         // the client had opened it here, or may have
	Closing   bool         // an end has closed or reset the flow
	Packet    *packet.Info // that has removed it; nil: a timer has, or the end of the upstream
}

var handshakeNames = [...]string{handshakeDone: "done", handshakeSYN: "syn", handshakeHalf: "syn_ack", handshakeRestored: "restored"}

// reportRemoval calls TableConfig.OnRemoved for a flow that was not closed in the usual way. by is the packet that
// removes it, or nil.
func (t *Table) reportRemoval(now time.Duration, e *entry, cause Removal, by *packet.Info) {
	if t.cfg.OnRemoved == nil || cause == Closed {
		return
	}
	t.cfg.OnRemoved(&RemovedFlow{
		Key: e.key, Cause: cause, Age: since(now, e.entered), Idle: time.Duration(seconds(now)-e.lastSeen) * time.Second,
		Handshake: handshakeNames[e.handshake], Opened: e.handshake.opened(), Closing: e.flags&(flagClientFIN|flagServerFIN|flagLingering) != 0, Packet: by,
	})
}
