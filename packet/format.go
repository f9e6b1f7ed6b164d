package packet

import "net/netip"

// Format is the wire format of the packets between clients and upstreams. Parse
// overwrites in, which is undefined after an error.
//
// There are two kinds. With IP, each packet is a complete IP packet, first packets are not
// numbered, and upstreams return no packets. With a Datagram format, each packet is the payload
// of a UDP datagram and starts with the format's own header; platform.Packets is the only Datagram
// format. It reports all flows as TCP and numbers every SYN: Info.Repeat is 0 for the original and
// n for its n-th retransmission. Three features need a Datagram format: the agent rebuilds its flow
// table after a restart, with the help of returned packets and for the time set by
// settings.Agent.RebuildSeconds; new flows wait for a slot of the upstream; and agents and balancers
// send resets.
type Format interface {
	Parse(b []byte, in *Info) error
}

// IP is the format in which each packet is one complete IPv4 or IPv6 packet.
type IP struct{}

// Parse implements Format.
func (IP) Parse(b []byte, in *Info) error { return Parse(b, in) }

// Datagram is a format whose packets are sent as UDP datagrams with their own header.
// Its upstreams return the packets of flows that they do not hold.
type Datagram interface {
	Format
	// SetTag writes a four-byte tag into the packet. The upstream leaves the tag in a
	// packet that it returns.
	SetTag(b []byte, tag uint32)
	// Tag returns the tag that SetTag wrote.
	Tag(b []byte) uint32
	// ClearTransitFields clears the fields that agents and upstreams set in a packet on
	// its way, including the mark of a returned packet, so that it can be sent to another
	// upstream.
	ClearTransitFields(b []byte)
	// AppendReset appends a reset packet that answers a client's packet and ends its
	// flow. It appends nothing when the packet must not be answered with a reset.
	AppendReset(dst []byte, in *Info) []byte
	// ClientAddress returns the address to which packets for the flow's client are sent.
	// The key has the direction from the client to the service.
	ClientAddress(k *Key) netip.AddrPort
}
