package flow

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Drop discards the packet for the given Reason.
	Drop ActionKind = iota
	// Deliver passes the packet to the upstream.
	Deliver
	// Forward sends the packet to another agent with the updated header.
	Forward
	// Reset sends the client a TCP reset: no upstream holds the flow, or the flow was refused.
	Reset
	// Wait keeps the packet until Table.Decide or Table.NextWaiting returns an action for it, or
	// Table.IsWaiting returns false.
	Wait
)

// Action is the result of Receive, HandleReturned, Decide and NextWaiting of a Table.
type Action struct {
	Kind       ActionKind
	Reason     Reason
	To         packet.AgentID // receiver of a forwarded packet
	Addr       netip.AddrPort // address to which packets for To are sent
	Flow       uint64         // with Wait: number of the waiting flow
	Waited     time.Duration  // from Table.NextWaiting: time that the packet waited
	Probe      bool           // with Deliver: the packet is a probe, as the upstream may not hold the flow
	OwnerKnown bool           // with Forward: To is taken to be the flow's owner, by rule 3
	Hint       bool           // send the header's origin a hint that this agent owns the flow or, with Wait, that it waits here
	// ExtraHints lists further addresses to send the hint to. It is valid until the next call
	// of a method that returns an Action. A caller may ignore it at the cost of detours.
	ExtraHints []netip.AddrPort
}

// Observer is notified of each change of a flow's owner. Tests and benchmarks use it to check
// that a flow has at most one owner.
type Observer interface {
	FlowTaken(agent packet.AgentID, k *packet.Key)
	FlowEnded(agent packet.AgentID, k *packet.Key)
}
