package demo

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// Config says what a demo runs. Zero fields get defaults.
type Config struct {
	Seconds     float64 // length of the load
	Seed        uint64
	Flows       int      // open flows for each service
	Deployments []string // all when empty
	Executable  string   // nutmegtrack itself, started again for each process
	Progress    io.Writer
	Keep        bool // keep the temporary directory with settings and logs
	// KillUpstream adds the unplanned loss of an upstream to the changes.
	KillUpstream bool
	// Fault makes one upstream of each service misbehave, to prove that the
	// checks fail when they should.
	Fault standin.Fault
}

const (
	defaultSeconds = 20
	defaultFlows   = 300
	minSeconds     = 5
)

func (c *Config) complete() error {
	if c.Seconds == 0 {
		c.Seconds = defaultSeconds
	}
	if c.Seconds < minSeconds {
		return errors.Newf("the demo needs at least %d seconds", minSeconds)
	}
	if c.Flows == 0 {
		c.Flows = defaultFlows
	}
	if c.Flows < 0 {
		return errors.New("the number of flows is negative")
	}
	if len(c.Deployments) == 0 {
		c.Deployments = Deployments()
	}
	for _, name := range c.Deployments {
		if _, err := loadSpec(name); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) length() time.Duration {
	return time.Duration(c.Seconds * float64(time.Second))
}

// rng returns the random numbers of one deployment's schedule.
func (c *Config) rng(deployment int) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, uint64(deployment)))
}
