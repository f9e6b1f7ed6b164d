package flow

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// ActionKind is what an agent does with a packet.
type ActionKind uint8

const (
	// Drop discards the packet for the reason given.
	Drop ActionKind = iota
	// Deliver hands the packet to the upstream.
	Deliver
	// Forward sends the packet to another agent under the updated header.
	Forward
	// Reset answers the client that its flow has ended: no upstream holds it.
	Reset
	// Wait keeps the packet until Table.Decide returns what to do with it, or until
	// Table.WaitsFor is false.
	Wait
)

// Action is the decision of Table.Receive.
type Action struct {
	Kind   ActionKind
	Reason Reason
	To     packet.AgentID // receiver of a forwarded packet
	Addr   netip.AddrPort // data address of To
	Flow   uint64         // number of the flow under Wait
	Waited time.Duration  // of Table.Admit: how long the packet was kept
	Tried  bool           // under Deliver: the upstream may not hold the flow
	Known  bool           // under Forward: the flow is known to be there
	Hint   bool           // send a hint with this agent as owner to the header's origin
	// HintAlso lists further balancers to send the hint to. It is valid until the
	// next call of Receive. A caller may ignore it at the cost of detours.
	HintAlso []netip.AddrPort
}

// Observer is told of each change of a flow's owner. Tests and benchmarks use it
// to assert that a flow has at most one owner.
type Observer interface {
	FlowTaken(agent packet.AgentID, k *packet.Key)
	FlowEnded(agent packet.AgentID, k *packet.Key)
}
