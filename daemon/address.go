package daemon

import (
	"net"
	"net/netip"
)

// Advertised returns the control address that a process announces to others: the
// configured one if it is valid, otherwise the listener's.
func Advertised(configured netip.AddrPort, l net.Listener) netip.AddrPort {
	if configured.IsValid() || l == nil {
		return configured
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
