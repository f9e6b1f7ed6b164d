package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of a message.
type Kind uint8

const (
	// KindNone is the kind of all replies except those to KindDigest.
	KindNone Kind = iota
	// KindHeartbeat informs a balancer (a home, a spare or a seed) that the agent with the
	// hash ID is alive.
	KindHeartbeat
	// KindPush carries new records. A balancer pushes Records and Changes to random
	// balancers, or to the seeds if it knows none, and relays Records to the agents that it
	// watches. A balancer's push without Records and Changes announces only Revision and
	// Routes. An agent pushes its own record to the other agents of its service.
	KindPush
	// KindDigest compares two tables, part by part.
	KindDigest
	// KindPing checks whether the process responds.
	KindPing
	// KindProbe requests that a balancer ping the process Name at Target.
	KindProbe
	// KindVerdict reports the outcome of a probe.
	KindVerdict
	// KindClaim requests that the arbiter of a service, or of the balancers, mark the
	// process Name as failed. Records holds the one record that the claim is based on.
	KindClaim
)

// Message is a request or a reply. Unused fields are zero and take no space on
// the wire.
type Message struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// From is the sender's control address: the target of verdicts, and the source of the
	// versions in Revision and Routes.
	From netip.AddrPort `cbor:"2,keyasint,omitzero"`
	// Revision is the highest qualified revision of the lists (see package plan) that the
	// sender knows to be active in any process.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	Routes   int64 `cbor:"20,keyasint,omitempty"` // highest version of the routes that the sender knows
	// RoutesAge is the time in milliseconds since the store confirmed that Routes is
	// the newest version.
	RoutesAge uint32   `cbor:"21,keyasint,omitempty"`
	Records   []Record `cbor:"4,keyasint,omitempty"`
	Changes   []Change `cbor:"17,keyasint,omitempty"`

	// Heartbeat and its reply.
	ID      uint64           `cbor:"5,keyasint,omitempty"`  // hash of the agent's name
	Sum     uint32           `cbor:"6,keyasint,omitempty"`  // hash of the agent's record
	Members uint32           `cbor:"7,keyasint,omitempty"`  // hash of the agent's copy of the service's members
	Homes   []netip.AddrPort `cbor:"8,keyasint,omitempty"`  // the agent's home balancers and spare ones, best first
	HomeSum uint32           `cbor:"9,keyasint,omitempty"`  // hash of the agent's copy of Homes
	Resend  bool             `cbor:"10,keyasint,omitempty"` // the agent must send its record with the next heartbeat
	Term    int64            `cbor:"18,keyasint,omitempty"` // term of the service's grantor that the agent knows; not a collector's term
	Grantor *Grantor         `cbor:"19,keyasint,omitempty"` // grantor with a higher term

	// Incomplete says that the sender, a balancer, may lack the records of live processes: see
	// Node.Complete. It is set in replies to heartbeats and in exchanges.
	Incomplete bool `cbor:"22,keyasint,omitempty"`
	// ShortHistory says that the sender, a balancer, may lack the records of processes that have ended
	// within flow.MaxFlowAge. It is set in the same messages as Incomplete, always: agents of earlier builds take a
	// message without it for proof that no earlier process of theirs was given a flow that may be open.
	ShortHistory bool `cbor:"26,keyasint,omitempty"`

	// EvacuationRevision and EvacuatedDomains are the set of evacuated failure domains that the sender knows
	// (see evacuate.Set). The reply to a heartbeat has them only if the agent's revision is lower. A heartbeat
	// without the agent's record has the revision only.
	EvacuationRevision int64    `cbor:"27,keyasint,omitempty"`
	EvacuatedDomains   []string `cbor:"28,keyasint,omitempty"`

	// IdleLimit, in the reply to a heartbeat, is the longest time in seconds for which an open flow may
	// have been idle; 0 if the sender does not know it.
	IdleLimit uint32 `cbor:"23,keyasint,omitempty"`
	// FormerIdle is a longer limit that was in force until lately, in seconds, and FormerIdleLeft the
	// number of seconds for which it still matters. Balancers send them to each other.
	FormerIdle     uint32 `cbor:"24,keyasint,omitempty"`
	FormerIdleLeft uint32 `cbor:"25,keyasint,omitempty"`

	// WarmupRate is the rate of requests that a cold upstream of the agent's service may be given, in
	// thousandths of a request a second, and WarmupTime the time in milliseconds for which an upstream is
	// cold; 0 if unknown. A heartbeat holds the rate that the agent knows, if any. A reply
	// holds both, if the service has a rate. If it has none and the heartbeat holds one, WarmupTime alone is set.
	WarmupRate uint32 `cbor:"29,keyasint,omitempty"`
	WarmupTime uint32 `cbor:"30,keyasint,omitempty"`

	// Anti-entropy.
	Digests []Digest `cbor:"11,keyasint,omitempty"`
	Want    []uint32 `cbor:"12,keyasint,omitempty"` // parts whose newer records the sender requests

	// Failure detection.
	// Name is the process that is pinged, probed or claimed to have failed. It has a
	// different meaning in an agent's push: the agent to which the push is sent.
	Name   string         `cbor:"13,keyasint,omitempty"`
	Target netip.AddrPort `cbor:"14,keyasint,omitzero"`  // control address of the process to probe
	Alive  bool           `cbor:"15,keyasint,omitempty"` // the probed process responded
	// Observers are the control addresses of the balancers, including the sender, that
	// could not reach the process.
	Observers []string `cbor:"16,keyasint,omitempty"`
}

// Call is a request to the process with the control address To. The caller of
// Step sends it by RPC and passes the outcome to Reply or Unreachable.
type Call struct {
	To      netip.AddrPort
	Request Message
}

// wireMessage has the fields of Message without its methods.
type wireMessage Message

// MarshalBinary encodes the message. With it, gob sends one byte string instead of
// about 1 KB of type descriptions on each new connection.
func (m Message) MarshalBinary() ([]byte, error) { return cbor.Marshal(wireMessage(m)) }

// UnmarshalBinary decodes a message written by MarshalBinary.
func (m *Message) UnmarshalBinary(b []byte) error {
	return cbor.Unmarshal(b, (*wireMessage)(m))
}

// rpcOverhead is the number of bytes that net/rpc adds to a body on an established
// connection: a header with method name and sequence number, and the lengths of
// header and body.
const rpcOverhead = 26

// Size returns the estimated size of the message on the wire in bytes.
func (m *Message) Size() int {
	b, err := m.MarshalBinary()
	invariant(err == nil, "message cannot be encoded: %v", err)
	return rpcOverhead + len(b)
}
