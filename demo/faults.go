package demo

import (
	"math/rand/v2"
	"time"
)

// faultActions are the temporary faults of a run. They occur in random order while the
// fleet and the lists change.
var faultActions = []action{
	{"balancer frozen", freezeBalancer},
	{"agent frozen", freezeAgent},
	{"failure domain cut off", partitionDomain},
}

// faultSchedule spreads the faults over the part of the load in which the fleet changes.
func faultSchedule(length time.Duration, rng *rand.Rand) []scheduledAction {
	return newSchedule(faultActions, length, rng)
}
