// Package tun opens a Linux TUN device as a source and sink of IP packets. It is
// the packet input and output of a daemon on a VM, where the loopback setup uses
// UDP datagrams instead.
//
// The device is created when it does not exist, which needs CAP_NET_ADMIN; a
// persistent device that belongs to the daemon's user needs no privilege:
//
//	ip tuntap add dev nutmeg0 mode tun user nutmegtrack
//	ip link set nutmeg0 up
//
// The package sets no address and no route. It is not run in CI, which has no
// network privileges.
package tun
