package member

import (
	"math"
	"time"
)

// warmup is how a service's upstreams start: the rate of requests that a cold one may be given, in
// thousandths of a request a second, and the time in milliseconds for which it is cold, 0 if unknown.
type warmup struct{ rate, time uint32 }

// ResetWarmup removes the rates of all services. Those of newly active routes are then set with SetWarmup.
// Before its first call the node knows nothing about rates, and agents keep those that they have.
func (n *Node) ResetWarmup() { n.warmups = make(map[string]warmup) }

// SetWarmup sets, by the active routes, the rate of requests a second that a cold upstream of a service
// may be given, and the time for which it is cold; 0 if that is unknown. A rate that is not positive means no limit.
func (n *Node) SetWarmup(service string, rate float64, time time.Duration) {
	if n.warmups == nil {
		n.ResetWarmup()
	}
	if !(rate > 0) {
		delete(n.warmups, service)
		return
	}
	// Rounded down, so that the limit holds, but not to 0, which means no limit.
	thousandths := uint32(max(1, math.Floor(min(rate*1000, math.MaxUint32))))
	n.warmups[service] = warmup{rate: thousandths, time: millisecondsUp(time)}
}

// addWarmup adds the rate and the warm-up time of an agent's service to the reply to its heartbeat.
func (n *Node) addWarmup(service string, heartbeat, reply *Message) {
	w := n.warmups[service]
	if w.rate == 0 && n.warmups != nil && heartbeat.WarmupRate > 0 {
		w.time = 1 // any time without a rate means that there is no limit
	}
	reply.WarmupRate, reply.WarmupTime = w.rate, w.time
}

// noteWarmup records the rate and the warm-up time of a balancer's reply. A reply without either is that
// of a balancer that has no routes yet, or the agent knows no rate.
func (a *Announcer) noteWarmup(reply *Message) {
	switch {
	case reply.WarmupRate > 0:
		a.warmup = warmup{rate: reply.WarmupRate, time: reply.WarmupTime}
	case reply.WarmupTime > 0:
		a.warmup = warmup{}
	}
}

// Warmup returns the rate of requests a second that a cold upstream of the service may be given, as a balancer
// last said, 0 if there is no limit, and the time for which an upstream is cold, 0 if unknown.
func (a *Announcer) Warmup() (rate float64, warmTime time.Duration) {
	return float64(a.warmup.rate) / 1000, time.Duration(a.warmup.time) * time.Millisecond
}

// millisecondsUp returns a duration in milliseconds, rounded up.
func millisecondsUp(d time.Duration) uint32 {
	return uint32(min(max(0, math.Ceil(float64(d)/float64(time.Millisecond))), math.MaxUint32))
}
