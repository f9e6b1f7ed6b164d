package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/load"
)

// TableConfig configures a Table. Zero fields take their defaults.
type TableConfig struct {
	MaxFlows        int           // maximum number of flows; default 65536
	MaxDigest       int           // maximum number of fingerprints stored from peers; default 262144
	MaxOwnerRecords int           // maximum number of records of flows' owners, each renewal counted as one; default 65536
	RecordRetention time.Duration // time for which the record of a flow's owner, since its last use, and the record of an unknown flow are kept; default 20 s
	Settling        time.Duration // time until all processes have the same view, with a margin; default 15 s
	Linger          time.Duration // time from a flow's end to its removal; default 2 s
	SlowStart       time.Duration // ramp-up time of an upstream that has become ready; default 30 s
	IdleTCP         time.Duration // default 24 h
	IdleUDP         time.Duration // default 3 min
	Threshold       float64       // excess over the next choice that causes a hand-off, as a share of the mean; default 0.05
	MinExcess       int           // minimum of that excess in flows; default 8
	LoadPeers       int           // number of peers to which the load is sent per interval; default 8
	LoadInterval    time.Duration // default 1 s
	CheckInterval   time.Duration // interval between digest checks; default 10 s
	ResyncDelay     time.Duration // minimum time between two requests to resend a digest; default 3 s
	DigestDelay     time.Duration // maximum delay of additions to a digest, which lets them share a message; default 2 s
	HintFanOut      int           // maximum number of balancers sent a hint for one packet of a displaced flow; default and maximum 8
	DigestRate      int           // digest bytes sent per second; default 3072
	Observer        Observer      // may be nil
	Admission       Admission     // may be nil: all flows are admitted
	MaxWaiting      int           // number of waiting flows, for admission or for a slot, from which on no flow is passed to the Admission; default 1024
	MaxWait         time.Duration // maximum time that a flow waits for the Admission; default 900 ms
	// Gate limits new flows by the upstream's free slots. With a nil Gate only the other
	// limits apply.
	Gate *load.Gate
	// Warmup limits the requests that the upstream is given while it is cold; nil: no limit. It needs a Gate.
	Warmup *load.Warmup
	// OnRequestDone is called with the upstream's processing time of each request; may be nil.
	OnRequestDone func(time.Duration)
	// OnRemoved is called with each flow that leaves the table, except those that both ends have closed; may be
	// nil. It must not call the table, and the flow is valid only during the call.
	OnRemoved func(*RemovedFlow)
	// OnFalseDenial is called with each flow that this table has denied although the upstream holds it; may be nil.
	// It must not call the table, and the argument is valid only during the call.
	OnFalseDenial func(*FalseDenial)
	// Rebuild is the minimum length of the rebuilding phase after the start. In this phase packets of
	// unknown flows are delivered to the upstream, which returns those of flows that it does
	// not hold. Flows that appear in the upstream's own packets are adopted at any time. A
	// positive value also says that flows survive a restart of the agent. The digest that was
	// received from a peer before its restart is kept for the length of the phase. Default 0: the upstream
	// returns no packets, and the table starts empty.
	Rebuild time.Duration
	// AwaitIdleLimit says that SetIdleLimit will be called. Until then the rebuilding phase lasts for
	// MaxFlowAge, and afterwards for as long as an open flow may be idle. By default it lasts for Rebuild.
	AwaitIdleLimit bool
}

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

func (c TableConfig) withDefaults() TableConfig {
	orDefault(&c.MaxFlows, 1<<16)
	orDefault(&c.MaxDigest, 1<<18)
	orDefault(&c.MaxOwnerRecords, 1<<16)
	orDefault(&c.RecordRetention, 20*time.Second)
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
	orDefault(&c.HintFanOut, maxRecentBalancers)
	c.HintFanOut = min(c.HintFanOut, maxRecentBalancers)
	orDefault(&c.DigestRate, 3072)
	orDefault(&c.MaxWaiting, 1024)
	// A client other than the platform's retransmits its SYN after 1 s (RFC 6298), and the
	// retransmission may open the flow at another agent. The first SYN must have been dropped
	// by then.
	orDefault(&c.MaxWait, 900*time.Millisecond)
	return c
}
