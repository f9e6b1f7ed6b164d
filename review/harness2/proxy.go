package main

import (
	"net"
	"net/netip"
	"sync"
)

// proxyPort is the port at which a machine's proxy accepts calls to its daemon, in a fleet with proxies.
const proxyPort = 7721

// partition cuts one machine off from the calls of all other machines of the system.
type partition struct {
	mu     sync.Mutex
	cut    netip.Addr    // zero without a partition
	healed chan struct{} // closed at its end
}

func (p *partition) begin(a netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.healed = a, make(chan struct{})
}

func (p *partition) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = netip.Addr{}
	close(p.healed)
}

// blocks returns a channel that is closed when the partition between two machines ends, or nil without one.
func (p *partition) blocks(a, b netip.Addr) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut.IsValid() && (a == p.cut || b == p.cut) && a != b {
		return p.healed
	}
	return nil
}

// startProxy passes calls on to the daemon of a machine. Connections over a partition get nothing through. They
// are closed when it ends: callers time out after a second, so that the bytes that were held up are lost.
func (f *fleet) startProxy(m *machine, target netip.AddrPort) error {
	l, err := net.Listen("tcp", m.at(proxyPort).String())
	if err != nil {
		return err
	}
	go func() {
		<-f.done
		_ = l.Close()
	}()
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go f.pass(in, m, target)
		}
	}()
	return nil
}

func (f *fleet) pass(in net.Conn, m *machine, target netip.AddrPort) {
	defer in.Close()
	from := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	if !f.through(from, m.addr) {
		return
	}
	out, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer out.Close()
	var wait sync.WaitGroup
	wait.Go(func() { f.copyBytes(out, in, from, m.addr) })
	f.copyBytes(in, out, from, m.addr)
	wait.Wait()
}

// copyBytes copies until an end closes the connection or a partition has interrupted it, and closes both ends.
func (f *fleet) copyBytes(to, from net.Conn, a, b netip.Addr) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !f.through(a, b) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// through reports whether no partition separates two machines. If one does, it waits for its end.
func (f *fleet) through(a, b netip.Addr) bool {
	healed := f.partition.blocks(a, b)
	if healed == nil {
		return true
	}
	select {
	case <-healed:
	case <-f.done:
	}
	return false
}
