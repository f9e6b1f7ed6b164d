package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// link holds the faults that a proxy applies to its traffic.
type link struct {
	blackholed      atomic.Bool  // all data is discarded; connections stay open
	lossPerThousand atomic.Int64 // datagrams lost per 1,000
	delayNs         atomic.Int64
}

// udpProxy forwards datagrams to one address.
type udpProxy struct {
	link
	conn *net.UDPConn
	to   netip.AddrPort
}

func newUDPProxy(at, to netip.AddrPort, random func(int) int) (*udpProxy, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "soak: proxy")
	}
	p := &udpProxy{conn: conn, to: to}
	go p.run(random)
	return p, nil
}

func (p *udpProxy) run(random func(int) int) {
	b := make([]byte, 1<<16)
	for {
		n, err := p.conn.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.blackholed.Load() || random(1000) < int(p.lossPerThousand.Load()) {
			continue
		}
		packet := append([]byte(nil), b[:n]...)
		send := func() { _, _ = p.conn.WriteToUDPAddrPort(packet, p.to) }
		if d := time.Duration(p.delayNs.Load()); d > 0 {
			time.AfterFunc(d, send)
		} else {
			send()
		}
	}
}

func (p *udpProxy) close() { _ = p.conn.Close() }

// tcpProxy forwards connections to one address.
type tcpProxy struct {
	link
	listener net.Listener
	to       netip.AddrPort
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newTCPProxy(at, to netip.AddrPort) (*tcpProxy, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Wrap(err, "soak: proxy")
	}
	p := &tcpProxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *tcpProxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *tcpProxy) serve(from net.Conn) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", p.to.String(), time.Second)
	if err != nil {
		// Reset the connection, as a port without a listener does.
		_ = from.(*net.TCPConn).SetLinger(0)
		return
	}
	defer to.Close()
	p.track(from, true)
	defer p.track(from, false)
	ended := make(chan struct{}, 2)
	pass := func(dst, src net.Conn) {
		_, _ = io.Copy(&linkWriter{dst: dst, link: &p.link}, src)
		ended <- struct{}{}
	}
	go pass(to, from)
	go pass(from, to)
	<-ended
}

func (p *tcpProxy) track(c net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// reset resets all connections.
func (p *tcpProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// linkWriter delays or discards the data written, according to a link's faults.
type linkWriter struct {
	dst  io.Writer
	link *link
}

func (w *linkWriter) Write(b []byte) (int, error) {
	if d := time.Duration(w.link.delayNs.Load()); d > 0 {
		time.Sleep(d)
	}
	if w.link.blackholed.Load() {
		return len(b), nil
	}
	return w.dst.Write(b)
}
