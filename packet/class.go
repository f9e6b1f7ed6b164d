package packet

import "time"

// Class is the request class of a route. The upper three bits hold the priority, the next
// bit is set if requests may run more than once, and the other bits hold the latency
// objective in units of objectiveUnit.
type Class uint16

const (
	objectiveBits = 12
	objectiveMax  = 1<<objectiveBits - 1
	repeatable    = 1 << objectiveBits
	// objectiveUnit is the resolution of latency objectives. The maximum objective is 20.475 s.
	objectiveUnit = 5 * time.Millisecond
	priorityMax   = 1<<(15-objectiveBits) - 1
)

// NewClass returns the class for a priority (0 is the highest), a latency objective (0 for
// none) and whether requests may run more than once. Both numbers are limited to the range
// of a class: priorities to 7, objectives to 20.475 s.
func NewClass(priority int, objective time.Duration, mayRepeat bool) Class {
	priority = min(max(priority, 0), priorityMax)
	c := Class(priority<<(objectiveBits+1) | min(max(int(objective/objectiveUnit), 0), objectiveMax))
	if mayRepeat {
		c |= repeatable
	}
	return c
}

// Priority returns the priority; 0 is the highest.
func (c Class) Priority() uint8 { return uint8(c >> (objectiveBits + 1)) }

// Repeatable reports whether the requests may run more than once.
func (c Class) Repeatable() bool { return c&repeatable != 0 }

// LatencyObjective returns the latency objective, rounded down to a multiple of
// objectiveUnit; 0 means none.
func (c Class) LatencyObjective() time.Duration { return time.Duration(c&objectiveMax) * objectiveUnit }
