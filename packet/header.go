package packet

import (
	"encoding/binary"
	"net/netip"
)

// Kind says what follows an encapsulation header.
type Kind uint8

const (
	// KindData marks a header that one whole IP packet follows.
	KindData Kind = 1 + iota
	// KindHint marks a header that a flow key and the owner's AgentID follow.
	KindHint
)

// Bits of Header.Flags.
const (
	// FlagReturnIfUnknown asks the receiver to send a packet of a flow that it
	// does not hold back to the last agent in Header.Visited.
	FlagReturnIfUnknown uint8 = 1 << iota
	// FlagReturned marks a packet sent back under FlagReturnIfUnknown.
	FlagReturned
)

const (
	headerVersion = 1
	// HeaderSize is the length of an encoded Header in bytes.
	HeaderSize = 56
	// MaxHops is the number of agents a packet may visit after the first one.
	MaxHops = 4
	// HintSize is the length of an encoded hint in bytes, header included.
	HintSize = HeaderSize + KeySize + 4
)

// Header precedes an IP packet in a UDP datagram between balancers and agents.
type Header struct {
	Kind     Kind
	Hops     uint8 // agents passed after the first one
	Flags    uint8
	Service  ServiceID
	Customer uint64           // hash of the customer's name; 0 when unknown
	Origin   netip.AddrPort   // data address of the balancer, for hints
	Visited  [MaxHops]AgentID // agents passed, in order; unused entries are 0
}

// Put writes the header to the first HeaderSize bytes of b and returns HeaderSize.
func (h *Header) Put(b []byte) int {
	_ = b[HeaderSize-1]
	b[0] = headerVersion
	b[1] = uint8(h.Kind)
	b[2] = h.Hops
	b[3] = h.Flags
	binary.BigEndian.PutUint64(b[4:], uint64(h.Service))
	binary.BigEndian.PutUint64(b[12:], h.Customer)
	origin := h.Origin.Addr().As16()
	copy(b[20:36], origin[:])
	binary.BigEndian.PutUint16(b[36:], h.Origin.Port())
	b[38], b[39] = 0, 0
	for i, id := range h.Visited {
		binary.BigEndian.PutUint32(b[40+4*i:], uint32(id))
	}
	return HeaderSize
}

// ReadHeader decodes a header and returns it with the bytes that follow it. It
// returns ErrTruncated, ErrVersion, ErrKind, or ErrLength for a hop count above
// MaxHops.
func ReadHeader(b []byte) (Header, []byte, error) {
	var h Header
	if len(b) < HeaderSize {
		return h, nil, ErrTruncated
	}
	if b[0] != headerVersion {
		return h, nil, ErrVersion
	}
	h.Kind = Kind(b[1])
	if h.Kind != KindData && h.Kind != KindHint {
		return h, nil, ErrKind
	}
	h.Hops = b[2]
	if h.Hops > MaxHops {
		return h, nil, ErrLength
	}
	h.Flags = b[3]
	h.Service = ServiceID(binary.BigEndian.Uint64(b[4:]))
	h.Customer = binary.BigEndian.Uint64(b[12:])
	origin := netip.AddrFrom16([16]byte(b[20:36])).Unmap()
	h.Origin = netip.AddrPortFrom(origin, binary.BigEndian.Uint16(b[36:]))
	for i := range h.Visited {
		h.Visited[i] = AgentID(binary.BigEndian.Uint32(b[40+4*i:]))
	}
	return h, b[HeaderSize:], nil
}

// HasVisited reports whether the packet has passed the agent.
func (h *Header) HasVisited(id AgentID) bool {
	for _, v := range h.Visited {
		if v == id {
			return true
		}
	}
	return false
}

// PutHint writes a hint that the agent owns the flow to b and returns HintSize.
func PutHint(b []byte, service ServiceID, k *Key, owner AgentID) int {
	h := Header{Kind: KindHint, Service: service, Origin: netip.AddrPortFrom(netip.IPv6Unspecified(), 0)}
	n := h.Put(b)
	n += k.Put(b[n:])
	binary.BigEndian.PutUint32(b[n:], uint32(owner))
	return n + 4
}

// ReadHint decodes the bytes that follow a KindHint header. It returns
// ErrTruncated when they are too short.
func ReadHint(b []byte) (Key, AgentID, error) {
	k, err := ReadKey(b)
	if err != nil {
		return k, 0, err
	}
	if len(b) < KeySize+4 {
		return k, 0, ErrTruncated
	}
	return k, AgentID(binary.BigEndian.Uint32(b[KeySize:])), nil
}
