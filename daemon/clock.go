package daemon

import "time"

// Clock returns the monotonic time since the clock was created, which is at the start of
// the process.
type Clock func() time.Duration

// NewClock returns a clock that starts at 0.
func NewClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
