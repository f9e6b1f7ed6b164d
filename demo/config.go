package demo

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// Config configures a run of the demo. Zero fields are set to defaults.
type Config struct {
	Seconds     float64 // duration of the load
	Seed        uint64
	Flows       int      // open flows for each service
	Deployments []string // all when empty
	Executable  string   // path of nutmegtrack, which is started for each process
	Progress    io.Writer
	Keep        bool // keep the temporary directory with settings and logs
	// KillUpstream adds the killing of an upstream to the changes.
	KillUpstream bool
	// Fault is a fault of one upstream of each service, to test that the checks
	// detect it.
	Fault standin.UpstreamFault
}

const (
	defaultSeconds = 20
	defaultFlows   = 300
	minSeconds     = 5
)

func (c *Config) setDefaults() error {
	if c.Seconds == 0 {
		c.Seconds = defaultSeconds
	}
	if c.Seconds < minSeconds {
		return errors.Newf("the load must last at least %d seconds", minSeconds)
	}
	if c.Flows == 0 {
		c.Flows = defaultFlows
	}
	if c.Flows < 0 {
		return errors.New("the number of flows must not be negative")
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

func (c *Config) duration() time.Duration {
	return time.Duration(c.Seconds * float64(time.Second))
}

// rng returns the random number generator for the schedules of one deployment.
func (c *Config) rng(deployment int) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, uint64(deployment)))
}
