package daemon

import (
	"net"
	"net/netip"
)

// Advertised returns the control address to announce: the configured one, or the
// address that the listener got.
func Advertised(configured netip.AddrPort, l net.Listener) netip.AddrPort {
	if configured.IsValid() || l == nil {
		return configured
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
