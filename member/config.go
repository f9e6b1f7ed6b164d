package member

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Config holds the parameters of the protocol. Zero fields take the default.
type Config struct {
	Seeds             []netip.AddrPort // control addresses to contact when no balancer is known
	HeartbeatInterval time.Duration    // interval between an agent's heartbeats; default 1 s
	// JoinInterval replaces HeartbeatInterval until a balancer that knows all live processes has answered;
	// default HeartbeatInterval.
	JoinInterval time.Duration
	SuspectAfter time.Duration // time without a heartbeat before a home balancer suspects the agent; default 3 s
	// RetryInterval is the interval between retransmissions of an unconfirmed change, and
	// between the exchanges of a balancer that has just started or is behind; default 200 ms.
	RetryInterval    time.Duration
	ExchangeInterval time.Duration // interval between anti-entropy exchanges; default 500 ms
	PushInterval     time.Duration // interval between the push rounds of a new record; default 200 ms
	FanOut           int           // peers per push round; default 3
	PushRounds       int           // push rounds per new record; default 2
	Homes            int           // home balancers per agent; default 2
	// VerdictTimeout is the timeout for the verdicts of the probers and, after a
	// claim, for the process to be marked as failed. The balancer's own pings, which precede
	// both, have twice as long. Default 3 s.
	VerdictTimeout time.Duration
	// RestartTimeout is the time from the announcement of an agent's restart during which
	// the agent is not suspected or marked as failed; default flow.AgentRestartTimeout.
	RestartTimeout time.Duration
	RemoveAfter    time.Duration // time a record stays after its process failed or left; default 2 h
	SweepInterval  time.Duration // period in which a balancer checks all records for agents that it should watch but does not; default 5 s
}

func (c Config) withDefaults() Config {
	setDuration(&c.HeartbeatInterval, time.Second)
	setDuration(&c.JoinInterval, c.HeartbeatInterval)
	setDuration(&c.SuspectAfter, 3*time.Second)
	setDuration(&c.RetryInterval, 200*time.Millisecond)
	// A drain must reach every process within 3 s. With an interval of 1 s, 9 of 4,400
	// drains (0.2%) under two simultaneous faults missed this limit. A third push round
	// is as effective, but adds three times as much traffic as the shorter interval.
	setDuration(&c.ExchangeInterval, 500*time.Millisecond)
	setDuration(&c.PushInterval, 200*time.Millisecond)
	// A prober sends its verdict after two pings of up to 1 s each.
	setDuration(&c.VerdictTimeout, 3*time.Second)
	setDuration(&c.RestartTimeout, flow.AgentRestartTimeout)
	// Longer than the one hour that a partition between regions may last, so that
	// one side does not remove a record that the other side still lists as live.
	setDuration(&c.RemoveAfter, 2*time.Hour)
	setDuration(&c.SweepInterval, 5*time.Second)
	setInt(&c.FanOut, 3)
	setInt(&c.PushRounds, 2)
	setInt(&c.Homes, 2)
	return c
}

func setDuration(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}
