package packet

import (
	"encoding/binary"
	"net/netip"
)

// Kind is the type of an encapsulated message; it determines what follows the header.
type Kind uint8

const (
	// KindData is followed by one packet in the Format of the clients' packets.
	KindData Kind = 1 + iota
	// KindHint has a short header, followed by a flow key and the owner's AgentID.
	KindHint
	// KindInquiry has a short header, followed by an Inquiry.
	KindInquiry
	// KindAnswer has a short header, followed by an InquiryAnswer.
	KindAnswer
)

// Bits of Header.Flags.
const (
	// FlagReturnIfUnknown marks a first packet that is offered: an agent that neither owns
	// its flow nor knows an owner returns it to the last agent in Header.Visited.
	FlagReturnIfUnknown uint8 = 1 << iota
	// FlagReturned marks a packet whose offer was declined: an agent has returned it because
	// of FlagReturnIfUnknown. Info.Returned is about a return by the upstream.
	FlagReturned
	_ // agents of earlier builds deliver a packet with this bit as a probe without a limit
	// FlagWaiting marks a hint about a flow that waits at the owner for a slot and is not open.
	FlagWaiting
	// FlagExpected marks a packet whose sender has evidence that the receiving agent owns its flow,
	// or may own it while no other agent is known to: the agent may deliver it as a probe.
	FlagExpected
	// FlagAskFirst marks a packet of a flow that other agents, which its sender does not know, may have
	// probed or look for: no agent probes it as the first choice before it has asked its peers.
	FlagAskFirst
	// FlagShared marks a packet of an open flow that an upstream of another service may hold. Agents ask
	// only their own service, so none of them can find such a flow lost.
	FlagShared
)

const (
	headerVersion = 2
	// HeaderSize is the length of an encoded Header in bytes.
	HeaderSize = 57
	// MaxHops is the maximum number of times that agents may forward a packet.
	MaxHops = 4
	// HintSize is the maximum length of an encoded hint in bytes.
	HintSize = shortHeaderSize + hintKeyV6Size + agentIDSize

	// shortHeaderSize is the length of the short header: the fields up to Service, which
	// every kind has.
	shortHeaderSize = 12
	flagsOffset     = 3
	hintV4          = 4 // address family of a hint's key
	hintV6          = 6
	hintKeyV4Size   = 14 // family, protocol, ports, addresses
	hintKeyV6Size   = 38
	agentIDSize     = 4
)

// Header precedes a client's packet in a UDP datagram between balancers and agents.
type Header struct {
	Kind  Kind
	Hops  uint8 // number of times that an agent has forwarded the packet
	Flags uint8
	// Tried is the number of deliveries of the flow's packets to upstreams that do not hold the flow,
	// or may not, as far as the agents on the packet's way know.
	Tried    uint8
	Class    Class // class of the route's requests
	Service  ServiceID
	Customer uint64         // hash of the customer's account; 0 if unknown
	Origin   netip.AddrPort // address of the balancer to which hints are sent
	// Visited holds the agents that have forwarded the packet, in order. An agent whose offer was
	// declined is removed when the packet is sent back to it; the declining agent stays. Unused
	// entries are 0.
	Visited [MaxHops]AgentID
}

// Put writes the header to the first HeaderSize bytes of b and returns HeaderSize.
func (h *Header) Put(b []byte) int {
	_ = b[HeaderSize-1]
	b[0] = headerVersion
	b[1] = uint8(h.Kind)
	b[2] = h.Hops
	b[flagsOffset] = h.Flags
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

// ReadHeader decodes a header and returns it with the bytes that follow it. All kinds but
// KindData have the short header, which sets only Kind, Hops, Flags and Service. The error
// is ErrTruncated, ErrVersion, ErrKind, or ErrLength for a hop count above MaxHops.
func ReadHeader(b []byte) (Header, []byte, error) {
	var h Header
	if len(b) < shortHeaderSize {
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
	h.Flags = b[flagsOffset]
	h.Service = ServiceID(binary.BigEndian.Uint64(b[4:]))
	if h.Kind != KindData {
		return h, b[shortHeaderSize:], nil
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

// HasVisited reports whether the agent is in Visited.
func (h *Header) HasVisited(id AgentID) bool {
	for _, v := range h.Visited {
		if v == id {
			return true
		}
	}
	return false
}

// PutHint writes to b a hint that owner owns the flow, and returns the hint's length. b
// must have room for HintSize bytes. Hints are most of an agent's control traffic while
// the fleet changes, so a hint has the short header and encodes IPv4 addresses in four
// bytes.
func PutHint(b []byte, service ServiceID, k *Key, owner AgentID) int {
	_ = b[HintSize-1]
	putShortHeader(b, KindHint, service)
	n := shortHeaderSize + putHintKey(b[shortHeaderSize:], k)
	binary.BigEndian.PutUint32(b[n:], uint32(owner))
	return n + agentIDSize
}

// PutWaitingHint writes a hint like PutHint, with FlagWaiting.
func PutWaitingHint(b []byte, service ServiceID, k *Key, owner AgentID) int {
	n := PutHint(b, service, k, owner)
	b[flagsOffset] |= FlagWaiting
	return n
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

// ReadHint decodes the bytes that follow the header of a hint. The error is
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
