package packetio

import (
	"net"
	"net/netip"
	"sync"
)

// Datagram is a packet that was sent, with its destination.
type Datagram struct {
	Data []byte
	To   netip.AddrPort
}

// Pipe is an in-memory Conn for tests: Receive returns the packets passed to Inject, and
// Sent returns copies of the packets passed to Send.
type Pipe struct {
	in     chan []byte
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex
	sent []Datagram
}

// NewPipe returns a pipe that queues up to size injected packets.
func NewPipe(size int) *Pipe {
	return &Pipe{in: make(chan []byte, size), closed: make(chan struct{})}
}

// Inject queues a packet for Receive. It blocks while the queue is full.
func (p *Pipe) Inject(b []byte) { p.in <- b }

// Receive implements Source.
func (p *Pipe) Receive(in *Inbox) error {
	in.Reset()
	select {
	case b := <-p.in:
		in.Put(b)
		return nil
	case <-p.closed:
		return net.ErrClosed
	}
}

// Send implements Sink.
func (p *Pipe) Send(out *Outbox) (unsent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range out.Len() {
		b, to := out.Packet(i)
		p.sent = append(p.sent, Datagram{Data: append([]byte(nil), b...), To: to})
	}
	return 0
}

// Sent returns the packets sent since the last call.
func (p *Pipe) Sent() []Datagram {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent := p.sent
	p.sent = nil
	return sent
}

// Close implements Source.
func (p *Pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}
