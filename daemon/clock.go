package daemon

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the clock was created, which is at the start of the process. It never goes back.
type Clock func() time.Duration

// suspensionCheckInterval is the interval between two looks at the time for which the VM was suspended. Each takes two
// system calls.
const suspensionCheckInterval = 50 * time.Millisecond

// NewClock returns a clock that starts at 0. It counts the time for which the VM was suspended, which the runtime's
// monotonic time does not: other processes go on counting the lifetime of what they have granted to this one. A
// suspension is counted up to suspensionCheckInterval late.
func NewClock() Clock {
	start := time.Now()
	return newClock(func() time.Duration { return time.Since(start) }, suspendedTime)
}

func newClock(running, suspended func() time.Duration) Clock {
	// Each look may be too low, see suspendedTime.
	before := max(suspended(), suspended(), suspended())
	var counted, lookedAt atomic.Int64
	return func() time.Duration {
		now := running()
		last := lookedAt.Load()
		if now-time.Duration(last) >= suspensionCheckInterval && lookedAt.CompareAndSwap(last, int64(now)) {
			raise(&counted, int64(suspended()-before))
		}
		return now + time.Duration(counted.Load())
	}
}

// raise sets a value unless it is higher already.
func raise(v *atomic.Int64, to int64) {
	for old := v.Load(); to > old && !v.CompareAndSwap(old, to); old = v.Load() {
	}
}

// suspendedTime returns the time for which the VM has been suspended since its boot. It is too low by the time that
// passes between the two readings.
func suspendedTime() time.Duration {
	var sinceBoot, running unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &running) != nil {
		return 0 // a system without these clocks
	}
	return time.Duration(sinceBoot.Nano() - running.Nano())
}
