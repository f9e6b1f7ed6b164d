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
	// KindInquiry marks a short header that an Inquiry follows.
	KindInquiry
	// KindAnswer marks a short header that an InquiryAnswer follows.
	KindAnswer
)

// Bits of Header.Flags.
const (
	// FlagReturnIfUnknown asks the receiver to send a packet of a flow that it
	// does not hold back to the last agent in Header.Visited.
	FlagReturnIfUnknown uint8 = 1 << iota
	// FlagReturned marks a packet sent back under FlagReturnIfUnknown.
	FlagReturned
	// FlagAsked marks a packet of an unknown flow that every upstream which may hold the
	// flow is shown.
	FlagAsked
)

const (
	headerVersion = 2
	// HeaderSize is the length of an encoded Header in bytes.
	HeaderSize = 57
	// MaxHops is the number of agents a packet may visit after the first one.
	MaxHops = 4
	// HintSize is the greatest length of an encoded hint in bytes.
	HintSize = hintHeaderSize + hintKeyV6Size + agentIDSize

	// hintHeaderSize is the length of the fields up to Service, which every kind has.
	hintHeaderSize = 12
	hintV4         = 4 // address family of a hint's key
	hintV6         = 6
	hintKeyV4Size  = 14 // family, protocol, ports, addresses
	hintKeyV6Size  = 38
	agentIDSize    = 4
)

// Header precedes an IP packet in a UDP datagram between balancers and agents.
type Header struct {
	Kind     Kind
	Hops     uint8 // agents passed after the first one
	Flags    uint8
	Tried    uint8 // upstreams that the packet was shown to and that returned it
	Class    Class // of the route's requests
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
	b[38] = h.Tried
	binary.BigEndian.PutUint16(b[39:], uint16(h.Class))
	for i, id := range h.Visited {
		binary.BigEndian.PutUint32(b[41+4*i:], uint32(id))
	}
	return HeaderSize
}

// ReadHeader decodes a header and returns it with the bytes that follow it. The header of
// all kinds but KindData is shorter and sets only Kind, Hops, Flags and Service. It
// returns ErrTruncated, ErrVersion, ErrKind, or ErrLength for a hop count above
// MaxHops.
func ReadHeader(b []byte) (Header, []byte, error) {
	var h Header
	if len(b) < hintHeaderSize {
		return h, nil, ErrTruncated
	}
	if b[0] != headerVersion {
		return h, nil, ErrVersion
	}
	h.Kind = Kind(b[1])
	if h.Kind < KindData || h.Kind > KindAnswer {
		return h, nil, ErrKind
	}
	h.Hops = b[2]
	if h.Hops > MaxHops {
		return h, nil, ErrLength
	}
	h.Flags = b[3]
	h.Service = ServiceID(binary.BigEndian.Uint64(b[4:]))
	if h.Kind != KindData {
		return h, b[hintHeaderSize:], nil
	}
	if len(b) < HeaderSize {
		return h, nil, ErrTruncated
	}
	h.Customer = binary.BigEndian.Uint64(b[12:])
	origin := netip.AddrFrom16([16]byte(b[20:36])).Unmap()
	h.Origin = netip.AddrPortFrom(origin, binary.BigEndian.Uint16(b[36:]))
	h.Tried, h.Class = b[38], Class(binary.BigEndian.Uint16(b[39:]))
	for i := range h.Visited {
		h.Visited[i] = AgentID(binary.BigEndian.Uint32(b[41+4*i:]))
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

// PutHint writes a hint that the agent owns the flow to b, which has room for
// HintSize bytes, and returns the hint's length. Hints are the greater part of an
// agent's control traffic while the fleet changes, so a hint has only the first
// fields of a Header, and IPv4 addresses take four bytes.
func PutHint(b []byte, service ServiceID, k *Key, owner AgentID) int {
	_ = b[HintSize-1]
	putShortHeader(b, KindHint, service)
	n := hintHeaderSize + putHintKey(b[hintHeaderSize:], k)
	binary.BigEndian.PutUint32(b[n:], uint32(owner))
	return n + agentIDSize
}

func putHintKey(b []byte, k *Key) int {
	b[0], b[1] = hintV6, k.Proto
	binary.BigEndian.PutUint16(b[2:], k.SrcPort)
	binary.BigEndian.PutUint16(b[4:], k.DstPort)
	if isMapped(&k.Src) && isMapped(&k.Dst) {
		b[0] = hintV4
		copy(b[6:], k.Src[12:])
		copy(b[10:], k.Dst[12:])
		return hintKeyV4Size
	}
	copy(b[6:], k.Src[:])
	copy(b[22:], k.Dst[:])
	return hintKeyV6Size
}

// ReadHint decodes the bytes that follow the header of a hint. It returns
// ErrTruncated when they are too short and ErrIPVersion for an unknown address
// family.
func ReadHint(b []byte) (Key, AgentID, error) {
	var k Key
	if len(b) < hintKeyV4Size+agentIDSize {
		return k, 0, ErrTruncated
	}
	k.Proto = b[1]
	k.SrcPort = binary.BigEndian.Uint16(b[2:])
	k.DstPort = binary.BigEndian.Uint16(b[4:])
	switch b[0] {
	case hintV4:
		putMapped(&k.Src, b[6:10])
		putMapped(&k.Dst, b[10:14])
		return k, AgentID(binary.BigEndian.Uint32(b[hintKeyV4Size:])), nil
	case hintV6:
		if len(b) < hintKeyV6Size+agentIDSize {
			return k, 0, ErrTruncated
		}
		copy(k.Src[:], b[6:22])
		copy(k.Dst[:], b[22:38])
		return k, AgentID(binary.BigEndian.Uint32(b[hintKeyV6Size:])), nil
	}
	return k, 0, ErrIPVersion
}
