package packet

import "net/netip"

// Format is the wire format of the packets between clients and upstreams. Parse
// overwrites in; after an error its contents are undefined.
type Format interface {
	Parse(b []byte, in *Info) error
}

// IP is the format in which each packet is one whole IPv4 or IPv6 packet.
type IP struct{}

// Parse implements Format.
func (IP) Parse(b []byte, in *Info) error { return Parse(b, in) }

// Datagram is a format whose packets travel as UDP datagrams with a header of their
// own, and whose upstreams return the packets of flows that they do not hold.
type Datagram interface {
	Format
	// SetTag writes four bytes that the upstream sends back with a returned packet.
	SetTag(b []byte, tag uint32)
	// Tag returns what SetTag wrote.
	Tag(b []byte) uint32
	// Forget removes what the path of a packet has left in it, the mark of a returned
	// packet included, so that another upstream may receive it.
	Forget(b []byte)
	// AppendReset appends a packet that ends the flow of a client's packet, or
	// nothing when the packet cannot be answered with one.
	AppendReset(dst []byte, in *Info) []byte
	// ClientAddress returns where a packet for the client of the key goes; the key is
	// that of the flow, from the client to the service.
	ClientAddress(k *Key) netip.AddrPort
}
