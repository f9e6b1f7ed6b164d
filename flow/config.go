package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/load"
)

// TableConfig configures a Table. A zero field takes its default.
type TableConfig struct {
	MaxFlows      int           // flows held; default 65536
	MaxDigest     int           // fingerprints held from peers; default 262144
	MaxHandoffs   int           // hand-offs remembered; default 65536
	HandoffMemory time.Duration // default 5 s
	Settling      time.Duration // time until all views agree, with a margin; default 15 s
	Linger        time.Duration // flow end to removal; default 2 s
	SlowStart     time.Duration // ramp of a newly ready upstream; default 30 s
	IdleTCP       time.Duration // default 24 h
	IdleUDP       time.Duration // default 3 min
	Threshold     float64       // excess over the next choice that causes a hand-off, share of the mean; default 0.05
	MinExcess     int           // least such excess in flows; default 8
	LoadPeers     int           // peers that are sent the load each interval; default 8
	LoadInterval  time.Duration // default 1 s
	CheckInterval time.Duration // between digest checks; default 10 s
	ResyncDelay   time.Duration // between requests to resend a digest; default 3 s
	DigestDelay   time.Duration // that additions to a digest wait to share a message; default 2 s
	HintFanOut    int           // balancers that are told of a displaced flow at once; default 8, at most 8
	DigestRate    int           // digest bytes per second; default 3072
	Observer      Observer      // may be nil
	Admission     Admission     // may be nil: all flows are admitted
	MaxWaiting    int           // flows that wait for the admission; default 1024
	MaxWait       time.Duration // default 900 ms
	// Gate keeps new flows from an upstream whose slots are taken; nil: every flow is
	// taken that the limits allow.
	Gate *load.Gate
	// Worked is told of the time that the upstream took for each request; may be nil.
	Worked func(time.Duration)
	// Rebuild is the time after the start in which packets of unknown flows are shown
	// to the upstream, which returns those of flows that it does not hold. Flows that
	// the upstream's packets show are adopted at any time. Default 0: the upstream
	// returns nothing, and the table begins empty.
	Rebuild time.Duration
}

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c TableConfig) withDefaults() TableConfig {
	orDefault(&c.MaxFlows, 1<<16)
	orDefault(&c.MaxDigest, 1<<18)
	orDefault(&c.MaxHandoffs, 1<<16)
	orDefault(&c.HandoffMemory, 20*time.Second)
	orDefault(&c.Settling, 15*time.Second)
	orDefault(&c.Linger, 2*time.Second)
	orDefault(&c.SlowStart, 30*time.Second)
	orDefault(&c.IdleTCP, 24*time.Hour)
	orDefault(&c.IdleUDP, 3*time.Minute)
	orDefault(&c.Threshold, 0.05)
	orDefault(&c.MinExcess, 8)
	orDefault(&c.LoadPeers, 8)
	orDefault(&c.LoadInterval, time.Second)
	orDefault(&c.CheckInterval, 10*time.Second)
	orDefault(&c.ResyncDelay, 3*time.Second)
	orDefault(&c.DigestDelay, 2*time.Second)
	orDefault(&c.HintFanOut, maxOrigins)
	c.HintFanOut = min(c.HintFanOut, maxOrigins)
	orDefault(&c.DigestRate, 3072)
	orDefault(&c.MaxWaiting, 1024)
	// A TCP client repeats its SYN after 1 s (RFC 6298), and the repeated SYN may
	// open the flow at another agent. The first one must have been dropped by then.
	orDefault(&c.MaxWait, 900*time.Millisecond)
	return c
}
