package packetio

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxConsecutiveFailures is the number of consecutive errors after which Receive
	// gives up.
	maxConsecutiveFailures = 100
	// failureDelay is the delay after an error, so that a failing source does not use a
	// whole core.
	failureDelay = 10 * time.Millisecond
)

// Receive repeatedly receives a batch of packets into in and calls handle, until the source
// is closed; it then returns nil. If receiving fails maxConsecutiveFailures times in a row,
// which takes about a second, it returns the last error.
func Receive(s Source, in *Inbox, handle func()) error {
	for failures := 0; ; {
		err := s.Receive(in)
		switch {
		case err == nil:
			failures = 0
			handle()
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			if failures++; failures == maxConsecutiveFailures {
				return err
			}
			time.Sleep(failureDelay)
		}
	}
}
