package packet

import (
	"encoding/binary"
)

// Bits of Info.Flags, the TCP flags byte.
const (
	FlagFIN uint8 = 1 << iota
	FlagSYN
	FlagRST
	FlagPSH
	FlagACK
)

const (
	ipv4MinHeader = 20
	ipv6Header    = 40
	tcpMinHeader  = 20
	udpHeader     = 8
	icmpHeader    = 8
	// maxExtensionHeaders is the maximum number of IPv6 extension headers in a packet.
	maxExtensionHeaders = 8

	extHopByHop    = 0
	extRouting     = 43
	extFragment    = 44
	extDestOptions = 60
)

// Info holds the fields of one packet that the packet path uses.
type Info struct {
	Key Key
	// V6 is set for IPv6 packets.
	V6 bool
	// First is set for packets that may open a flow: a TCP packet with SYN and neither
	// ACK nor RST, or any UDP packet.
	First bool
	// FIN and RST mirror the TCP flags.
	FIN, RST bool
	// ICMPError is set for an ICMP error message; Key is then the key of the quoted
	// flow in the direction from the client to the service.
	ICMPError bool
	// Flags holds the TCP flags byte.
	Flags uint8
	// Numbered is set for first packets of formats that number the retransmissions
	// of a first packet; Repeat is then that number, 0 for the original. Repeat is also 0
	// for packets that are not numbered.
	Numbered bool
	Repeat   uint8
	// Returned is set for a packet that the upstream returned because it does not
	// hold the flow or does not accept it.
	Returned bool
	// Seq and Ack are the TCP sequence and acknowledgement numbers.
	Seq, Ack uint32
	// Payload is the transport payload; it aliases the input of Parse.
	Payload []byte
}

// Parse reads the headers of one IP packet into in, which it overwrites. The error
// is one of the package's error variables; after an error in is undefined.
func Parse(b []byte, in *Info) error {
	*in = Info{}
	if len(b) == 0 {
		return ErrTruncated
	}
	switch b[0] >> 4 {
	case 4:
		return parseIPv4(b, in)
	case 6:
		return parseIPv6(b, in)
	}
	return ErrIPVersion
}

func parseIPv4(b []byte, in *Info) error {
	headerLen, err := checkIPv4(b)
	if err != nil {
		return err
	}
	total := int(binary.BigEndian.Uint16(b[2:]))
	if total < headerLen || total > len(b) {
		return ErrLength
	}
	putMapped(&in.Key.Src, b[12:16])
	putMapped(&in.Key.Dst, b[16:20])
	return parseTransport(b[9], b[headerLen:total], in)
}

// checkIPv4 verifies an IPv4 header and returns its length in bytes.
func checkIPv4(b []byte) (int, error) {
	if len(b) < ipv4MinHeader {
		return 0, ErrTruncated
	}
	headerLen := int(b[0]&0x0f) * 4
	if headerLen < ipv4MinHeader || headerLen > len(b) {
		return 0, ErrLength
	}
	if checksum(b[:headerLen], 0) != 0 {
		return 0, ErrChecksum
	}
	// Only the first fragment carries ports, and its transport checksum covers
	// the whole datagram, so a fragment cannot be assigned to a flow safely.
	if binary.BigEndian.Uint16(b[6:])&0x3fff != 0 {
		return 0, ErrFragment
	}
	return headerLen, nil
}

func parseIPv6(b []byte, in *Info) error {
	if len(b) < ipv6Header {
		return ErrTruncated
	}
	payload := int(binary.BigEndian.Uint16(b[4:]))
	if ipv6Header+payload > len(b) {
		return ErrLength
	}
	in.V6 = true
	copy(in.Key.Src[:], b[8:24])
	copy(in.Key.Dst[:], b[24:40])
	// With IPv4-mapped addresses, the packet would have the key of an IPv4 flow that it
	// does not belong to.
	if isMapped(&in.Key.Src) || isMapped(&in.Key.Dst) {
		return ErrAddress
	}
	proto, rest, err := skipExtensions(b[6], b[ipv6Header:ipv6Header+payload])
	if err != nil {
		return err
	}
	return parseTransport(proto, rest, in)
}

// skipExtensions skips the IPv6 extension headers. It returns the transport protocol and
// the bytes from the transport header on.
func skipExtensions(next uint8, b []byte) (uint8, []byte, error) {
	for range maxExtensionHeaders {
		switch next {
		case extHopByHop, extRouting, extDestOptions:
			if len(b) < 8 {
				return 0, nil, ErrTruncated
			}
			size := (int(b[1]) + 1) * 8
			if size > len(b) {
				return 0, nil, ErrLength
			}
			next, b = b[0], b[size:]
		case extFragment:
			return 0, nil, ErrFragment
		default:
			return next, b, nil
		}
	}
	return 0, nil, ErrExtensions
}

func parseTransport(proto uint8, b []byte, in *Info) error {
	in.Key.Proto = proto
	switch proto {
	case ProtoTCP:
		return parseTCP(b, in)
	case ProtoUDP:
		return parseUDP(b, in)
	case ProtoICMP:
		return parseICMP(b, in, isICMPv4Error)
	case ProtoICMPv6:
		return parseICMP(b, in, isICMPv6Error)
	}
	return ErrProtocol
}

func parseTCP(b []byte, in *Info) error {
	if len(b) < tcpMinHeader {
		return ErrTruncated
	}
	offset := int(b[12]>>4) * 4
	if offset < tcpMinHeader || offset > len(b) {
		return ErrLength
	}
	in.Key.SrcPort = binary.BigEndian.Uint16(b[0:])
	in.Key.DstPort = binary.BigEndian.Uint16(b[2:])
	in.Seq = binary.BigEndian.Uint32(b[4:])
	in.Ack = binary.BigEndian.Uint32(b[8:])
	in.Flags = b[13]
	in.First = in.Flags&(FlagSYN|FlagACK|FlagRST) == FlagSYN
	in.FIN = in.Flags&FlagFIN != 0
	in.RST = in.Flags&FlagRST != 0
	in.Payload = b[offset:]
	return nil
}

func parseUDP(b []byte, in *Info) error {
	if len(b) < udpHeader {
		return ErrTruncated
	}
	length := int(binary.BigEndian.Uint16(b[4:]))
	if length < udpHeader || length > len(b) {
		return ErrLength
	}
	in.Key.SrcPort = binary.BigEndian.Uint16(b[0:])
	in.Key.DstPort = binary.BigEndian.Uint16(b[2:])
	in.First = true
	in.Payload = b[udpHeader:length]
	return nil
}

// parseICMP parses an ICMP error message. The packet that it quotes travelled from the
// service to the client, so the quoted key is reversed.
func parseICMP(b []byte, in *Info, isError func(uint8) bool) error {
	if len(b) < icmpHeader {
		return ErrTruncated
	}
	if !isError(b[0]) {
		return ErrICMPType
	}
	quoted, err := parseQuoted(b[icmpHeader:])
	if err != nil {
		return err
	}
	in.ICMPError = true
	in.Key = quoted.Reverse()
	in.Payload = b[icmpHeader:]
	return nil
}

func isICMPv4Error(t uint8) bool { return t == 3 || t == 11 || t == 12 }

func isICMPv6Error(t uint8) bool { return t >= 1 && t <= 4 }

// parseQuoted reads the flow key of a packet quoted in an ICMP error message, which is
// guaranteed to contain only the first eight bytes after the IP header.
func parseQuoted(b []byte) (Key, error) {
	var k Key
	if len(b) == 0 {
		return k, ErrTruncated
	}
	var ports []byte
	switch b[0] >> 4 {
	case 4:
		headerLen, err := checkIPv4(b)
		if err != nil {
			return k, err
		}
		putMapped(&k.Src, b[12:16])
		putMapped(&k.Dst, b[16:20])
		k.Proto, ports = b[9], b[headerLen:]
	case 6:
		if len(b) < ipv6Header {
			return k, ErrTruncated
		}
		copy(k.Src[:], b[8:24])
		copy(k.Dst[:], b[24:40])
		if isMapped(&k.Src) || isMapped(&k.Dst) {
			return k, ErrAddress
		}
		var err error
		k.Proto, ports, err = skipExtensions(b[6], b[ipv6Header:])
		if err != nil {
			return k, err
		}
	default:
		return k, ErrIPVersion
	}
	if k.Proto != ProtoTCP && k.Proto != ProtoUDP {
		return k, ErrProtocol
	}
	if len(ports) < 4 {
		return k, ErrTruncated
	}
	k.SrcPort = binary.BigEndian.Uint16(ports[0:])
	k.DstPort = binary.BigEndian.Uint16(ports[2:])
	return k, nil
}

func putMapped(dst *[16]byte, v4 []byte) {
	dst[10], dst[11] = 0xff, 0xff
	copy(dst[12:], v4)
}

// checksum returns the Internet checksum (RFC 1071) of b, continuing from sum.
func checksum(b []byte, sum uint32) uint16 {
	for len(b) >= 2 {
		sum += uint32(binary.BigEndian.Uint16(b))
		b = b[2:]
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}
