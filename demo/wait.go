package demo

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

const (
	pollInterval = 50 * time.Millisecond
	startTimeout = 15 * time.Second
	// dumpTimeout is the timeout for one dump of a daemon.
	dumpTimeout = 3 * time.Second
)

// poll calls check until it returns nil or limit has passed. It returns the last error of
// check, or the cause of the end of ctx.
func poll(ctx context.Context, limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "timed out after %s", limit)
		}
		if !sleep(ctx, pollInterval) {
			return context.Cause(ctx)
		}
	}
}

// sleep waits for d. It returns false if ctx ends earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForHealthy waits until the fabric considers all live balancers healthy and sends them
// packets.
func (f *fleet) waitForHealthy(ctx context.Context) error {
	return poll(ctx, startTimeout, func() error {
		var r standin.FabricReport
		if err := getJSON(ctx, f.fabric.control, "/report", &r); err != nil {
			return err
		}
		if want := len(f.liveBalancers()); len(r.Healthy) < want {
			return errors.Newf("%d of %d balancers are healthy: %v", len(r.Healthy), want, r.Healthy)
		}
		return nil
	})
}

// waitForHTTP waits until a stand-in serves its HTTP endpoint.
func (f *fleet) waitForHTTP(ctx context.Context, p *process, addr netip.AddrPort, path string) error {
	var ignored any
	err := poll(ctx, startTimeout, func() error { return getJSON(ctx, addr, path, &ignored) })
	if err != nil && ctx.Err() == nil {
		return errors.WithSecondaryError(p.failure("HTTP endpoint not ready: "+err.Error()), err)
	}
	return err
}
