package packetio

import (
	"syscall"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"
)

// timestampMessageBytes is the size in bytes of the control message with the receive
// timestamp.
var timestampMessageBytes = syscall.CmsgSpace(int(unsafe.Sizeof(syscall.Timespec{})))

// SetMaxAge makes Receive drop packets that were queued in the socket for longer than
// limit, and count them in Inbox.Late. Without the limit, a process that was paused
// forwards packets that their senders have meanwhile retransmitted. SetMaxAge must be
// called before the first Receive.
func (u *UDP) SetMaxAge(limit time.Duration) error {
	raw, err := u.conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "packetio: enable receive timestamps")
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	u.maxAge = limit
	return errors.Wrap(errors.CombineErrors(err, optionErr), "packetio: enable receive timestamps")
}

// dropReceivedBefore removes and counts the packets that the kernel received before limit.
func (in *Inbox) dropReceivedBefore(limit time.Time) {
	kept := 0
	for i := range in.count {
		m := &in.messages[i]
		if at, known := receiveTime(m.OOB[:m.NN]); known && at.Before(limit) {
			in.late++
			continue
		}
		in.buffers[kept], in.buffers[i] = in.buffers[i], in.buffers[kept]
		in.messages[kept], in.messages[i] = in.messages[i], in.messages[kept]
		kept++
	}
	in.count = kept
}

// allocControlBuffers allocates the buffers for control messages on first use.
func (in *Inbox) allocControlBuffers() {
	for i := range in.messages {
		if in.messages[i].OOB == nil {
			in.messages[i].OOB = make([]byte, timestampMessageBytes)
		}
	}
}

// receiveTime returns the time at which the kernel received a packet, from its control
// message.
func receiveTime(oob []byte) (time.Time, bool) {
	if len(oob) < timestampMessageBytes {
		return time.Time{}, false
	}
	h := (*syscall.Cmsghdr)(unsafe.Pointer(&oob[0]))
	if h.Level != syscall.SOL_SOCKET || h.Type != syscall.SCM_TIMESTAMPNS {
		return time.Time{}, false
	}
	at := (*syscall.Timespec)(unsafe.Pointer(&oob[syscall.CmsgLen(0)]))
	return time.Unix(at.Unix()), true
}
