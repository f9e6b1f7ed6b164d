package control

import (
	"context"
	"net"
	"time"
)

// dialAttemptInterval is the time without a result after which another connection attempt
// is started in parallel. TCP retransmits a lost SYN only after 1 s, and a SYN sent to a
// VM that is about to start is always lost. A round trip within a region takes a few
// milliseconds.
const dialAttemptInterval = 100 * time.Millisecond

// dialParallel opens one connection. It starts a dial call at once and another one after
// each interval, and returns the result of the first call that ends. Connections opened
// by the other calls are closed.
func dialParallel(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	type outcome struct {
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	outcomes := make(chan outcome)
	pending := 0
	start := func() {
		pending++
		go func() {
			conn, err := dial(ctx)
			outcomes <- outcome{conn, err}
		}()
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	start()
	for {
		select {
		case <-ticker.C:
			start()
		case first := <-outcomes:
			cancel()
			go func() {
				for range pending - 1 {
					if late := <-outcomes; late.conn != nil {
						_ = late.conn.Close()
					}
				}
			}()
			return first.conn, first.err
		}
	}
}
