package demo

import (
	"context"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// The store is down in this part of the load, while the fleet goes on changing.
const (
	outageFrom = 0.65
	outageTo   = 0.95
)

// storeOutage lets the store drop all connections for a while.
func (f *fleet) storeOutage(ctx context.Context, start time.Time) error {
	length := f.cfg.Seconds * float64(time.Second)
	if !pause(ctx, time.Until(start.Add(time.Duration(outageFrom*length)))) {
		return context.Cause(ctx)
	}
	f.say("store down")
	if err := f.setStoreFaults(ctx, standin.Faults{Outage: standin.OutageDrop}); err != nil {
		return err
	}
	if !pause(ctx, time.Until(start.Add(time.Duration(outageTo*length)))) {
		return context.Cause(ctx)
	}
	f.say("store up")
	return f.setStoreFaults(ctx, standin.Faults{})
}
