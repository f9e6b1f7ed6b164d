package demo

import (
	"math/rand/v2"
	"time"
)

// faultActions are the temporary faults of a run, which come in random order while
// the fleet and the lists change.
var faultActions = []action{
	{"balancer frozen", freezeBalancer},
	{"agent frozen", freezeAgent},
	{"failure domain cut off", partitionDomain},
}

// faultSchedule spreads the faults over the part of the load with changes.
func faultSchedule(length time.Duration, rng *rand.Rand) []planned {
	return scheduleOf(faultActions, length, rng)
}
