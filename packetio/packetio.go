package packetio

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"
)

const (
	// BatchSize is the maximum number of packets in one system call.
	BatchSize = 64
	// MaxPacket is the maximum size in bytes of a packet that is forwarded, in either
	// packet.Format: the payload of a jumbo frame. The kernel truncates a longer packet to
	// the size of the Inbox, and the reader of the Inbox drops it as malformed.
	MaxPacket = 9216
	// MaxAge is the maximum time that a packet on its way to an upstream may wait in a
	// socket's queue. It equals the minimum retransmission timeout of TCP: after a longer
	// wait, the sender has probably sent the packet again, and a UDP request that is
	// delivered after its retransmission may run twice.
	MaxAge = 200 * time.Millisecond
)

// Source receives packets.
type Source interface {
	// Receive waits for packets and fills the inbox. It returns net.ErrClosed
	// after Close; after any other error it may be called again.
	Receive(in *Inbox) error
	// Close closes the source. A blocked Receive then returns net.ErrClosed.
	Close() error
}

// Sink sends packets.
type Sink interface {
	// Send sends the packets of the outbox and returns the number of those that could not
	// be sent.
	Send(out *Outbox) (unsent int)
}

// Conn receives and sends packets on one socket or device.
type Conn interface {
	Source
	Sink
}

// Inbox holds the packets of one Receive. It is not safe for concurrent use.
type Inbox struct {
	headroom int
	count    int
	late     int // packets that the last Receive dropped because of their age
	buffers  [][]byte
	messages []ipv4.Message
}

// NewInbox returns an inbox for up to BatchSize packets of up to size bytes each, with
// headroom bytes free in front of each for a header.
func NewInbox(headroom, size int) *Inbox {
	in := &Inbox{
		headroom: headroom,
		buffers:  make([][]byte, BatchSize),
		messages: make([]ipv4.Message, BatchSize),
	}
	for i := range in.buffers {
		in.buffers[i] = make([]byte, headroom+size)
		in.messages[i].Buffers = [][]byte{in.buffers[i][headroom:]}
	}
	return in
}

// Len returns the number of packets received.
func (in *Inbox) Len() int { return in.count }

// Late returns the number of packets that the last Receive dropped because they exceeded
// the maximum age (see UDP.SetMaxAge).
func (in *Inbox) Late() int { return in.late }

// Packet returns packet i.
func (in *Inbox) Packet(i int) []byte {
	return in.buffers[i][in.headroom : in.headroom+in.messages[i].N]
}

// WithHeadroom returns packet i with the headroom in front of it.
func (in *Inbox) WithHeadroom(i int) []byte {
	return in.buffers[i][:in.headroom+in.messages[i].N]
}

// Reset removes all packets.
func (in *Inbox) Reset() { in.count, in.late = 0, 0 }

// Put appends a copy of b. It returns false if the inbox is full or b exceeds its packet
// size. Sources use it for packets that they hold in a buffer of their own.
func (in *Inbox) Put(b []byte) bool {
	if in.count == len(in.buffers) || len(b) > len(in.messages[in.count].Buffers[0]) {
		return false
	}
	in.messages[in.count].N = copy(in.messages[in.count].Buffers[0], b)
	in.count++
	return true
}

// Outbox collects packets for one Send. It is not safe for concurrent use. Packets are
// not copied: their bytes must not change until Send returns.
type Outbox struct {
	count    int
	messages []ipv4.Message
	to       []netip.AddrPort // destinations
	addrs    []net.UDPAddr    // the same in the form that messages need; their IPs point into ips
	ips      [][16]byte
}

// NewOutbox returns an outbox for up to size packets.
func NewOutbox(size int) *Outbox {
	out := &Outbox{
		messages: make([]ipv4.Message, size),
		to:       make([]netip.AddrPort, size),
		addrs:    make([]net.UDPAddr, size),
		ips:      make([][16]byte, size),
	}
	for i := range out.messages {
		out.messages[i].Buffers = make([][]byte, 1)
		out.messages[i].Addr = &out.addrs[i]
	}
	return out
}

// Add appends a packet for the given destination, which devices ignore. It returns false
// if the outbox is full.
func (out *Outbox) Add(b []byte, to netip.AddrPort) bool {
	if out.count == len(out.messages) {
		return false
	}
	i := out.count
	out.count++
	out.messages[i].Buffers[0] = b
	out.to[i] = to
	out.ips[i] = to.Addr().As16()
	out.addrs[i].IP = out.ips[i][:]
	out.addrs[i].Port = int(to.Port())
	return true
}

// Len returns the number of packets.
func (out *Outbox) Len() int { return out.count }

// Packet returns packet i and its destination.
func (out *Outbox) Packet(i int) ([]byte, netip.AddrPort) {
	return out.messages[i].Buffers[0], out.to[i]
}

// Reset removes all packets.
func (out *Outbox) Reset() { out.count = 0 }
