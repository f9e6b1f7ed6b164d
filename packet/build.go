package packet

import (
	"encoding/binary"
)

const defaultTTL = 64

// TCPSegment describes a TCP packet to build. Key holds the addresses and ports in
// the packet's direction; Key.Proto is ignored.
type TCPSegment struct {
	Key      Key
	Seq, Ack uint32
	Flags    uint8
	Payload  []byte
}

// AppendTCP appends an IP packet with the segment to dst and returns it. The packet is
// IPv4 if both addresses are IPv4-mapped, otherwise IPv6.
func AppendTCP(dst []byte, s *TCPSegment) []byte {
	size := tcpMinHeader + len(s.Payload)
	dst, start := appendIP(dst, &s.Key, ProtoTCP, size)
	transport := len(dst)
	dst = binary.BigEndian.AppendUint16(dst, s.Key.SrcPort)
	dst = binary.BigEndian.AppendUint16(dst, s.Key.DstPort)
	dst = binary.BigEndian.AppendUint32(dst, s.Seq)
	dst = binary.BigEndian.AppendUint32(dst, s.Ack)
	dst = append(dst, tcpMinHeader/4<<4, s.Flags, 0xff, 0xff, 0, 0, 0, 0)
	dst = append(dst, s.Payload...)
	sum := transportChecksum(&s.Key, ProtoTCP, dst[transport:])
	binary.BigEndian.PutUint16(dst[transport+16:], sum)
	finishIP(dst[start:])
	return dst
}

// AppendUDP appends an IP packet with one UDP datagram to dst and returns it.
func AppendUDP(dst []byte, k *Key, payload []byte) []byte {
	size := udpHeader + len(payload)
	dst, start := appendIP(dst, k, ProtoUDP, size)
	transport := len(dst)
	dst = binary.BigEndian.AppendUint16(dst, k.SrcPort)
	dst = binary.BigEndian.AppendUint16(dst, k.DstPort)
	dst = binary.BigEndian.AppendUint16(dst, uint16(size))
	dst = append(dst, 0, 0)
	dst = append(dst, payload...)
	sum := transportChecksum(k, ProtoUDP, dst[transport:])
	if sum == 0 {
		sum = 0xffff // zero means "no checksum" in UDP
	}
	binary.BigEndian.PutUint16(dst[transport+6:], sum)
	finishIP(dst[start:])
	return dst
}

// appendIP appends an IP header for size bytes of transport data. It returns dst and the
// offset of the header.
func appendIP(dst []byte, k *Key, proto uint8, size int) ([]byte, int) {
	start := len(dst)
	if isMapped(&k.Src) && isMapped(&k.Dst) {
		dst = append(dst, 0x45, 0)
		dst = binary.BigEndian.AppendUint16(dst, uint16(ipv4MinHeader+size))
		dst = append(dst, 0, 0, 0x40, 0, defaultTTL, proto, 0, 0)
		dst = append(dst, k.Src[12:]...)
		dst = append(dst, k.Dst[12:]...)
		return dst, start
	}
	dst = append(dst, 0x60, 0, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, uint16(size))
	dst = append(dst, proto, defaultTTL)
	dst = append(dst, k.Src[:]...)
	dst = append(dst, k.Dst[:]...)
	return dst, start
}

// finishIP sets the IPv4 header checksum; IPv6 has none.
func finishIP(b []byte) {
	if b[0]>>4 == 4 {
		binary.BigEndian.PutUint16(b[10:], checksum(b[:ipv4MinHeader], 0))
	}
}

func isMapped(a *[16]byte) bool {
	for _, v := range a[:10] {
		if v != 0 {
			return false
		}
	}
	return a[10] == 0xff && a[11] == 0xff
}

// transportChecksum returns the checksum of the pseudo-header and b. For IPv4-mapped
// addresses it must leave out the mapping prefix; the sums of the IPv4 and IPv6
// pseudo-headers differ by that prefix alone.
func transportChecksum(k *Key, proto uint8, b []byte) uint16 {
	var pseudo [36]byte
	n := 0
	if isMapped(&k.Src) && isMapped(&k.Dst) {
		n += copy(pseudo[n:], k.Src[12:])
		n += copy(pseudo[n:], k.Dst[12:])
	} else {
		n += copy(pseudo[n:], k.Src[:])
		n += copy(pseudo[n:], k.Dst[:])
	}
	binary.BigEndian.PutUint16(pseudo[n:], uint16(proto))
	binary.BigEndian.PutUint16(pseudo[n+2:], uint16(len(b)))
	return checksum(b, uint32(^checksum(pseudo[:n+4], 0)))
}
