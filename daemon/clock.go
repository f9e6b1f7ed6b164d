package daemon

import "time"

// Clock returns the monotonic time since the start of the process.
type Clock func() time.Duration

// NewClock returns a clock that starts now.
func NewClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
