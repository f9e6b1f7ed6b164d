package control

import (
	"net"
	"net/netip"
)

// localAddr returns the local address for a connection to the given destination, or nil
// to let the system choose. It returns nil for an unspecified source, for a source of
// another IP version than the destination, and if only one of the two is a loopback
// address, because such a source cannot reach the destination.
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
