package packetio

import (
	"io"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Device makes a Conn of an open TUN device (tun.Device), or of anything else that
// transfers one IP packet with each Read and Write. Receive must be called by one
// goroutine at a time.
type Device struct {
	rw io.ReadWriteCloser
}

// NewDevice returns a Device that reads and writes packets through rw.
func NewDevice(rw io.ReadWriteCloser) *Device { return &Device{rw: rw} }

// Receive implements Source.
func (d *Device) Receive(in *Inbox) error {
	in.Reset()
	n, err := d.rw.Read(in.messages[0].Buffers[0])
	if errors.Is(err, os.ErrClosed) {
		return net.ErrClosed
	}
	if err != nil {
		return err
	}
	in.messages[0].N = n
	in.count = 1
	return nil
}

// Send implements Sink; destinations are ignored.
func (d *Device) Send(out *Outbox) (unsent int) {
	for i := range out.count {
		if _, err := d.rw.Write(out.messages[i].Buffers[0]); err != nil {
			unsent++
		}
	}
	return unsent
}

// Close implements Source.
func (d *Device) Close() error { return d.rw.Close() }
