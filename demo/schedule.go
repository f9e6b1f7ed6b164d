package demo

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// rampUp is the time over which the clients open their first flows.
	rampUp = time.Second
	// roundDuration is the time for one round of all actions. A run has one round for each
	// full roundDuration, and at least one.
	roundDuration = 30 * time.Second
	// Actions are scheduled between these fractions of the load's duration. The time
	// before changesStart serves to measure the balance without changes, and the time
	// after changesEnd lets the last change take effect.
	changesStart = 0.2
	changesEnd   = 0.9
)

// scheduledAction is an action that is scheduled for a time after the start of the load.
type scheduledAction struct {
	at time.Duration
	action
	rng *rand.Rand // for random choices of the action
}

// newSchedule spreads rounds of the actions over the load. The order in a round and the
// times are drawn from rng.
func newSchedule(actions []action, length time.Duration, rng *rand.Rand) []scheduledAction {
	rounds := max(1, int(length/roundDuration))
	var all []scheduledAction
	for range rounds {
		for _, i := range rng.Perm(len(actions)) {
			all = append(all, scheduledAction{action: actions[i], rng: rand.New(rand.NewPCG(rng.Uint64(), 0))})
		}
	}
	first := time.Duration(changesStart * float64(length))
	slot := time.Duration((changesEnd-changesStart)*float64(length)) / time.Duration(len(all))
	for i := range all {
		all[i].at = first + time.Duration(i)*slot + time.Duration(rng.Float64()*float64(slot)/2)
	}
	return all
}

// runSchedule runs the actions of a schedule one after the other at their times. An action
// that takes longer than its slot delays the following ones.
func (f *fleet) runSchedule(ctx context.Context, start time.Time, schedule []scheduledAction) error {
	for _, p := range schedule {
		if !sleep(ctx, time.Until(start.Add(p.at))) {
			return context.Cause(ctx)
		}
		if err := p.run(ctx, f, p.rng); err != nil {
			return err
		}
	}
	return nil
}
