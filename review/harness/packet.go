//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// The head of a packet, as PROTOCOL.md specifies it.
const headSize = 32

const (
	flagACK     = 4
	flagBounced = 8
	flagSYN     = 16
	flagRST     = 32
	flagFIN     = 64
)

type packet struct {
	echo     uint32
	seq, ack uint32
	dst, src netip.AddrPort
	sum      uint32
	flags    uint8
	data     []byte
}

func (p *packet) is(flag uint8) bool { return p.flags&flag != 0 }

// flowKey is the client's and the route's end of a flow.
type flowKey struct{ client, route netip.AddrPort }

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

func (p *packet) encode() []byte {
	b := make([]byte, headSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[6:], p.seq)
	binary.BigEndian.PutUint32(b[10:], p.ack)
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[14:], dst[:])
	copy(b[18:], src[:])
	binary.BigEndian.PutUint16(b[22:], p.dst.Port())
	binary.BigEndian.PutUint16(b[24:], p.src.Port())
	b[30] = p.flags
	copy(b[headSize:], p.data)
	binary.BigEndian.PutUint32(b[26:], keyedSum(b))
	return b
}

// keyedSum covers all fields except echo, pad, the sum itself and BOUNCED.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("review"))
	_, _ = h.Write(b[4:26])
	_, _ = h.Write([]byte{b[30] &^ flagBounced})
	_, _ = h.Write(b[headSize:])
	return h.Sum32() | 1
}

func decode(b []byte) (*packet, error) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[4:])) != len(b)-headSize {
		return nil, fmt.Errorf("malformed packet of %d bytes", len(b))
	}
	end := func(addr, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[addr:addr+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return &packet{
		echo: binary.BigEndian.Uint32(b), seq: binary.BigEndian.Uint32(b[6:]), ack: binary.BigEndian.Uint32(b[10:]),
		dst: end(14, 22), src: end(18, 24), sum: binary.BigEndian.Uint32(b[26:]), flags: b[30], data: append([]byte(nil), b[headSize:]...),
	}, nil
}
