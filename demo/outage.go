package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// The store is down between these fractions of the load's duration, while the fleet
// continues to change.
const (
	outageStart = 0.65
	outageEnd   = 0.95
)

// outageSchedule returns the schedule of the store's outage.
func outageSchedule(length time.Duration, rng *rand.Rand) []scheduledAction {
	return []scheduledAction{{
		at:     time.Duration(outageStart * float64(length)),
		action: action{"store outage", storeOutage},
		rng:    rand.New(rand.NewPCG(rng.Uint64(), 0)),
	}}
}

// storeOutage makes the store drop all connections. The outage begins in the middle of
// an edit; another edit is tried during the outage.
func storeOutage(ctx context.Context, f *fleet, rng *rand.Rand) error {
	length := f.cfg.Seconds * float64(time.Second)
	end := time.Now().Add(time.Duration((outageEnd - outageStart) * length))
	interrupted, err := f.editInterruptedByOutage(ctx, rng)
	if err != nil {
		return err
	}
	f.editDuringOutage(rng)
	if !sleep(ctx, time.Until(end)) {
		return context.Cause(ctx)
	}
	if err := f.setStoreFaults(ctx, standin.StoreFaults{}); err != nil {
		return err
	}
	f.logf("store up")
	return f.resolveEdit(ctx, interrupted, rng)
}
