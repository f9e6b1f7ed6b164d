package packetio

import (
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/ipv4"
)

// socketBufferBytes is the requested size of a socket's kernel buffers in bytes. The
// kernel may grant less (net.core.rmem_max). While the process is not scheduled,
// packets that exceed the buffer are lost.
const socketBufferBytes = 4 << 20

// UDP is a UDP socket. Its methods are safe for concurrent use.
type UDP struct {
	conn   *net.UDPConn
	reader *ipv4.PacketConn
	writer *ipv4.PacketConn
	maxAge time.Duration // 0: no limit
}

// ListenUDP opens a socket bound to the address. The socket reaches only peers of the
// address's family; if the address is unspecified (0.0.0.0 or ::), it reaches IPv4 and IPv6
// peers.
func ListenUDP(addr netip.AddrPort) (*UDP, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "packetio: listen on %s", addr)
	}
	// The default size is kept if the kernel refuses a larger one.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &UDP{
		conn:   conn,
		reader: ipv4.NewPacketConn(withoutSender{conn}),
		writer: ipv4.NewPacketConn(conn),
	}, nil
}

// withoutSender makes golang.org/x/net take the socket for a TCP connection, which it
// recognizes by the SetLinger method. ReadBatch then returns no sender addresses, which the
// daemons don't need, and does not allocate one for each packet.
type withoutSender struct {
	*net.UDPConn
}

func (withoutSender) SetLinger(int) error { return errors.New("packetio: not a TCP connection") }

// LocalAddr returns the address that the socket is bound to.
func (u *UDP) LocalAddr() netip.AddrPort {
	local := u.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(local.Addr().Unmap(), local.Port())
}

// Receive implements Source.
func (u *UDP) Receive(in *Inbox) error {
	in.Reset()
	if u.maxAge > 0 {
		in.allocControlBuffers()
	}
	n, err := u.reader.ReadBatch(in.messages, 0)
	if err != nil {
		return err
	}
	in.count = n
	if u.maxAge > 0 {
		in.dropReceivedBefore(time.Now().Add(-u.maxAge))
	}
	return nil
}

// Send implements Sink. A packet that the kernel refuses is skipped, so that one
// unreachable destination does not block the others.
func (u *UDP) Send(out *Outbox) (unsent int) {
	for rest := out.messages[:out.count]; len(rest) > 0; {
		n, err := u.writer.WriteBatch(rest, 0)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return unsent + len(rest)
			}
			if interrupted(err) {
				continue
			}
			unsent++
			n = 1
		}
		rest = rest[n:]
	}
	return unsent
}

func interrupted(err error) bool {
	var call *os.SyscallError
	return errors.As(err, &call) && call.Err == syscall.EINTR
}

// Close implements Source.
func (u *UDP) Close() error { return u.conn.Close() }
