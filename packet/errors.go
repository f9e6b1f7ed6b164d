package packet

import "github.com/cockroachdb/errors"

// Errors of the parse and read functions. They are variables so that the per-packet path
// does not allocate.
var (
	ErrTruncated  = errors.New("packet: truncated")
	ErrIPVersion  = errors.New("packet: IP version is neither 4 nor 6")
	ErrLength     = errors.New("packet: invalid length or count field")
	ErrChecksum   = errors.New("packet: wrong IPv4 header checksum")
	ErrFragment   = errors.New("packet: fragmented IP packet")
	ErrProtocol   = errors.New("packet: unsupported transport protocol")
	ErrExtensions = errors.New("packet: too many IPv6 extension headers")
	ErrAddress    = errors.New("packet: IPv4-mapped address in an IPv6 packet")
	ErrICMPType   = errors.New("packet: ICMP message is not an error message")
	ErrVersion    = errors.New("packet: unknown encapsulation version")
	ErrKind       = errors.New("packet: unknown encapsulation kind")
)
