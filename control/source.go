package control

import (
	"net"
	"net/netip"
)

// localAddr returns the local address of a connection, or nil to let the system
// choose: an unspecified source names no address, and one of another IP version or
// of the loopback interface cannot reach the destination.
func localAddr(source, to netip.Addr) net.Addr {
	source, to = source.Unmap(), to.Unmap()
	if !source.IsValid() || source.IsUnspecified() {
		return nil
	}
	if source.Is4() != to.Is4() || source.IsLoopback() != to.IsLoopback() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
}
