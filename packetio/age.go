package packetio

import (
	"syscall"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"
)

// timestampSpace is the size of the control message that carries the time of arrival.
var timestampSpace = syscall.CmsgSpace(int(unsafe.Sizeof(syscall.Timespec{})))

// LimitAge makes Receive drop packets that have waited in the socket for longer than
// limit, and count them in Inbox.Late. It must be called before the first Receive. A
// process that was paused would otherwise pass on packets whose senders have long
// repeated them.
func (u *UDP) LimitAge(limit time.Duration) error {
	raw, err := u.conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "packetio: time of arrival")
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	u.maxAge = limit
	return errors.Wrap(errors.CombineErrors(err, failed), "packetio: time of arrival")
}

// dropLate removes the packets that arrived before the given time.
func (in *Inbox) dropLate(oldest time.Time) {
	kept := 0
	for i := range in.count {
		m := &in.messages[i]
		if at, known := arrival(m.OOB[:m.NN]); known && at.Before(oldest) {
			in.late++
			continue
		}
		in.buffers[kept], in.buffers[i] = in.buffers[i], in.buffers[kept]
		in.messages[kept], in.messages[i] = in.messages[i], in.messages[kept]
		kept++
	}
	in.count = kept
}

// makeRoomForTimes prepares the inbox for control messages.
func (in *Inbox) makeRoomForTimes() {
	for i := range in.messages {
		if in.messages[i].OOB == nil {
			in.messages[i].OOB = make([]byte, timestampSpace)
		}
	}
}

// arrival reads the time at which the system received a packet.
func arrival(oob []byte) (time.Time, bool) {
	if len(oob) < timestampSpace {
		return time.Time{}, false
	}
	h := (*syscall.Cmsghdr)(unsafe.Pointer(&oob[0]))
	if h.Level != syscall.SOL_SOCKET || h.Type != syscall.SCM_TIMESTAMPNS {
		return time.Time{}, false
	}
	at := (*syscall.Timespec)(unsafe.Pointer(&oob[syscall.CmsgLen(0)]))
	return time.Unix(at.Unix()), true
}
