package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// IP protocol numbers that Parse accepts. Flows use TCP or UDP; of ICMP, only error
// messages are accepted.
const (
	ProtoICMP   = 1
	ProtoTCP    = 6
	ProtoUDP    = 17
	ProtoICMPv6 = 58
)

// AgentID identifies the agent on one upstream VM. It is derived from the VM's
// name, so that it is unchanged after a restart and equal in every process.
type AgentID uint32

// AgentIDOf returns the identifier of the agent on the named upstream VM. It is
// never zero, which marks an unused field.
func AgentIDOf(name string) AgentID {
	id := AgentID(xxhash.Sum64String(name))
	if id == 0 {
		return 1
	}
	return id
}

// ServiceID identifies a service. It is derived from the service's name.
type ServiceID uint64

// ServiceIDOf returns the identifier of the named service. It is never zero.
func ServiceIDOf(name string) ServiceID {
	id := ServiceID(xxhash.Sum64String(name))
	if id == 0 {
		return 1
	}
	return id
}

// KeySize is the length of an encoded Key in bytes.
const KeySize = 37

// Key identifies a flow by its client (source), the service's address (destination)
// and the IP protocol. IPv4 addresses are stored in IPv4-mapped IPv6 form.
type Key struct {
	Src, Dst         [16]byte
	SrcPort, DstPort uint16
	Proto            uint8
}

// KeyOf builds a key from a source, a destination and an IP protocol number.
func KeyOf(src, dst netip.AddrPort, proto uint8) Key {
	return Key{
		Src:     src.Addr().As16(),
		Dst:     dst.Addr().As16(),
		SrcPort: src.Port(),
		DstPort: dst.Port(),
		Proto:   proto,
	}
}

// Source returns the client's address and port.
func (k *Key) Source() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Src).Unmap(), k.SrcPort)
}

// Destination returns the service's address and port.
func (k *Key) Destination() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Dst).Unmap(), k.DstPort)
}

// Reverse returns the key of the opposite direction.
func (k *Key) Reverse() Key {
	return Key{Src: k.Dst, Dst: k.Src, SrcPort: k.DstPort, DstPort: k.SrcPort, Proto: k.Proto}
}

// Put writes the key to the first KeySize bytes of b and returns KeySize.
func (k *Key) Put(b []byte) int {
	_ = b[KeySize-1]
	copy(b[0:16], k.Src[:])
	copy(b[16:32], k.Dst[:])
	binary.BigEndian.PutUint16(b[32:], k.SrcPort)
	binary.BigEndian.PutUint16(b[34:], k.DstPort)
	b[36] = k.Proto
	return KeySize
}

// ReadKey decodes a key written by Put. It returns ErrTruncated when b is
// shorter than KeySize.
func ReadKey(b []byte) (Key, error) {
	var k Key
	if len(b) < KeySize {
		return k, ErrTruncated
	}
	copy(k.Src[:], b[0:16])
	copy(k.Dst[:], b[16:32])
	k.SrcPort = binary.BigEndian.Uint16(b[32:])
	k.DstPort = binary.BigEndian.Uint16(b[34:])
	k.Proto = b[36]
	return k, nil
}

// Hash returns a 64-bit hash of the key, which is the same in every process.
func (k *Key) Hash() uint64 {
	var b [KeySize]byte
	k.Put(b[:])
	return xxhash.Sum64(b[:])
}
