// Package tun opens a Linux TUN device to receive and send IP packets. Daemons on a VM
// use it; the loopback setup uses UDP datagrams instead.
//
// The device is created if it does not exist, which requires CAP_NET_ADMIN. A persistent
// device that is owned by the daemon's user requires no privilege:
//
//	ip tuntap add dev nutmeg0 mode tun user nutmegtrack
//	ip link set nutmeg0 up
//
// The package configures no addresses and no routes. CI does not run it, since it has no
// network privileges.
package tun
