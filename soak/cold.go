package soak

import (
	"fmt"
	"time"
)

// With Config.Cold, each server is cold after its start. The bound on what it is given is that of the
// platform's sites: the rate times coldExcess plus coldSlack.
const (
	coldTime   = 3 * time.Second
	coldExcess = 1.5
	coldSlack  = 5
)

// warmup returns how long a server is cold after its start.
func (c *Config) warmup() time.Duration {
	if c.Cold <= 0 {
		return 0
	}
	return coldTime
}

// coldBound returns the number of new flows that a cold server may get within a second, or 0 without a limit.
func (c *Config) coldBound() int {
	if c.Cold <= 0 {
		return 0
	}
	return int(c.Cold*coldExcess + coldSlack)
}

// documentServices returns the services of the operators' document.
func (c *Config) documentServices() []map[string]any {
	out := []map[string]any{}
	for _, s := range services {
		if c.Cold > 0 {
			out = append(out, map[string]any{"name": s, "warmup-s": coldTime.Seconds(), "warmup-per-s": c.Cold})
		}
	}
	return out
}

// warmupSettings returns the part of an agent's settings that switches on the limit.
func (c *Config) warmupSettings() string {
	if c.Cold <= 0 {
		return ""
	}
	return fmt.Sprintf(`"warmup_excess": %g, "warmup_slack": %d,`, coldExcess, coldSlack)
}
