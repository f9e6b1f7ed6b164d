package packet

import "github.com/cockroachdb/errors"

// Reasons for which Parse, ReadHeader and ReadKey reject their input. They are
// variables so that the per-packet path allocates nothing.
var (
	ErrTruncated  = errors.New("packet: truncated")
	ErrIPVersion  = errors.New("packet: IP version is neither 4 nor 6")
	ErrLength     = errors.New("packet: length field does not match the packet")
	ErrChecksum   = errors.New("packet: wrong IPv4 header checksum")
	ErrFragment   = errors.New("packet: fragment without transport header")
	ErrProtocol   = errors.New("packet: unsupported transport protocol")
	ErrExtensions = errors.New("packet: too many IPv6 extension headers")
	ErrAddress    = errors.New("packet: IPv4-mapped address in an IPv6 packet")
	ErrICMPType   = errors.New("packet: ICMP message quotes no flow")
	ErrVersion    = errors.New("packet: unknown encapsulation version")
	ErrKind       = errors.New("packet: unknown encapsulation kind")
)
