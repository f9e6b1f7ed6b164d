package packetio

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxFailures of Receive in a row are taken as the end of the source.
	maxFailures = 100
	// failurePause keeps a failing source from occupying a core.
	failurePause = 10 * time.Millisecond
)

// Receive calls handle for each filled inbox until the source is closed, and then
// returns nil. It returns the source's error when that persists for about a second.
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
			if failures++; failures == maxFailures {
				return err
			}
			time.Sleep(failurePause)
		}
	}
}
