package member

import (
	"net/netip"
	"time"
)

// Config holds the parameters of the protocol. Zero fields take the default.
type Config struct {
	Seeds       []netip.AddrPort // control addresses that are tried when no balancer is known
	Heartbeat   time.Duration    // between heartbeats of an agent; default 1 s
	Silence     time.Duration    // without a heartbeat until a home balancer suspects; default 3 s
	Retry       time.Duration    // before an unconfirmed state change is sent again; default 200 ms
	Exchange    time.Duration    // between anti-entropy exchanges; default 500 ms
	Push        time.Duration    // between the push rounds of a new record; default 200 ms
	FanOut      int              // peers in each push round; default 3
	Rounds      int              // push rounds for each new record; default 2
	Homes       int              // home balancers of an agent; default 2
	ProbeWait   time.Duration    // wait for other observers' verdicts; default 3 s
	RemoveAfter time.Duration    // from failed or leaving until removal; default 2 h
	Sweep       time.Duration    // to check every record for a missing watcher; default 5 s
}

func (c Config) withDefaults() Config {
	setDuration(&c.Heartbeat, time.Second)
	setDuration(&c.Silence, 3*time.Second)
	setDuration(&c.Retry, 200*time.Millisecond)
	// With 1 s, 9 of 4,400 drains under two faults reached a process after more than
	// 3 s; a third push round helps as much but costs three times the traffic.
	setDuration(&c.Exchange, 500*time.Millisecond)
	setDuration(&c.Push, 200*time.Millisecond)
	// An observer answers after two pings of up to 1 s each.
	setDuration(&c.ProbeWait, 3*time.Second)
	// Longer than the hour for which regions may lose contact, so that a record
	// is not removed on one side while the other still shows it as alive.
	setDuration(&c.RemoveAfter, 2*time.Hour)
	setDuration(&c.Sweep, 5*time.Second)
	setInt(&c.FanOut, 3)
	setInt(&c.Rounds, 2)
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
