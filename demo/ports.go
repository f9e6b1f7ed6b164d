package demo

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports are chosen below the range of ephemeral ports of Linux, so that no outgoing
// connection can use a port before its process starts.
const (
	portLow         = 15000
	portHigh        = 32000
	maxPortAttempts = 1000
)

var loopback = netip.MustParseAddr("127.0.0.1")

// ports allocates addresses on the loopback interface that are free for TCP and UDP.
type ports struct {
	mu        sync.Mutex
	allocated map[uint16]bool
	hostCount int // number of loopback IP addresses allocated to daemons
}

func newPorts() *ports { return &ports{allocated: make(map[uint16]bool)} }

// nextPort returns an address on 127.0.0.1.
func (p *ports) nextPort() (netip.AddrPort, error) { return p.nextPortOn(loopback) }

// nextHost returns an address on a loopback IP address that no other daemon uses.
func (p *ports) nextHost() (netip.AddrPort, error) {
	p.mu.Lock()
	p.hostCount++
	n := p.hostCount + 1 // 127.0.0.1 is shared
	p.mu.Unlock()
	return p.nextPortOn(netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)}))
}

// nextPortOn returns an address on host that was free when it was checked. The choice is not
// seeded, because demos that run at the same time must not try the same ports.
func (p *ports) nextPortOn(host netip.Addr) (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range maxPortAttempts {
		port := uint16(portLow + rand.IntN(portHigh-portLow))
		addr := netip.AddrPortFrom(host, port)
		if !p.allocated[port] && isFree(addr) {
			p.allocated[port] = true
			return addr, nil
		}
	}
	return netip.AddrPort{}, errors.Newf("no free port on %s", host)
}

// nextPorts returns n free addresses.
func (p *ports) nextPorts(n int) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for range n {
		a, err := p.nextPort()
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}

func isFree(addr netip.AddrPort) bool {
	stream, err := net.Listen("tcp", addr.String())
	if err != nil {
		return false
	}
	defer stream.Close()
	packets, err := net.ListenPacket("udp", addr.String())
	if err != nil {
		return false
	}
	defer packets.Close()
	return true
}
