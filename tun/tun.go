//go:build linux

package tun

import (
	"os"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const clonePath = "/dev/net/tun"

// Device is an open TUN device. Each Read returns one IP packet and each Write
// sends one. Close ends a blocked Read.
type Device struct {
	file *os.File
	name string
}

// Open attaches to the TUN device with the given name of at most 15 bytes.
func Open(name string) (*Device, error) {
	ifreq, err := unix.NewIfreq(name)
	if err != nil {
		return nil, errors.Wrapf(err, "tun: device name %q", name)
	}
	ifreq.SetUint16(unix.IFF_TUN | unix.IFF_NO_PI)
	fd, err := unix.Open(clonePath, unix.O_RDWR|unix.O_CLOEXEC|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Wrapf(err, "tun: open %s", clonePath)
	}
	if err := unix.IoctlIfreq(fd, unix.TUNSETIFF, ifreq); err != nil {
		unix.Close(fd)
		return nil, errors.Wrapf(err, "tun: attach to %q", name)
	}
	// The runtime's poller handles a non-blocking descriptor, so that Close ends a
	// blocked Read.
	return &Device{file: os.NewFile(uintptr(fd), clonePath), name: ifreq.Name()}, nil
}

// Name returns the device's name.
func (d *Device) Name() string { return d.name }

// Read reads one IP packet into b. A packet longer than b is truncated.
func (d *Device) Read(b []byte) (int, error) { return d.file.Read(b) }

// Write sends one IP packet.
func (d *Device) Write(b []byte) (int, error) { return d.file.Write(b) }

// Close detaches from the device.
func (d *Device) Close() error { return d.file.Close() }
