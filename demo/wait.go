package demo

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

const (
	waitEvery  = 50 * time.Millisecond
	startLimit = 15 * time.Second
	// dumpTimeout is the timeout for one dump of a daemon.
	dumpTimeout = 3 * time.Second
)

// until calls check until it returns nil or limit has passed. It returns the last error of
// check, or the cause of the end of ctx.
func until(ctx context.Context, limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "timed out after %s", limit)
		}
		if !pause(ctx, waitEvery) {
			return context.Cause(ctx)
		}
	}
}

// pause waits for d. It returns false if ctx ends earlier.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// untilHealthy waits until the fabric considers all live balancers healthy and sends them
// packets.
func (f *fleet) untilHealthy(ctx context.Context) error {
	return until(ctx, startLimit, func() error {
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

// untilServing waits until a stand-in serves its HTTP endpoint.
func (f *fleet) untilServing(ctx context.Context, p *process, addr netip.AddrPort, path string) error {
	var ignored any
	err := until(ctx, startLimit, func() error { return getJSON(ctx, addr, path, &ignored) })
	if err != nil && ctx.Err() == nil {
		return errors.WithSecondaryError(p.failed("HTTP endpoint not ready: "+err.Error()), err)
	}
	return err
}
