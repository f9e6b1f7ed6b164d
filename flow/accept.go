package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// takes reports whether this agent takes a new flow whose next choice is given.
func (t *Table) takes(now time.Duration, next *peer) bool {
	if !t.self.State.Accepts() || len(t.flows.entries) >= t.cfg.MaxFlows {
		return false
	}
	if next == nil {
		return true
	}
	if t.Open() >= t.limit(now) {
		return false
	}
	if !next.load.known || next.load.open >= next.load.limit {
		return true
	}
	excess := max(t.cfg.Threshold*t.meanOpen, float64(t.cfg.MinExcess))
	return float64(t.Open()-next.load.open) <= excess
}

// limit returns the number of flows up to which this agent takes new ones. During
// slow start it rises to the mean of the peers that are past theirs; when there
// is no such peer, the fleet itself is starting and nothing is limited.
func (t *Table) limit(now time.Duration) int {
	age := now - t.stateSince
	if t.stateSince == never || age >= t.cfg.SlowStart || !t.slowStarting {
		return t.cfg.MaxFlows
	}
	share := float64(age) / float64(t.cfg.SlowStart)
	return min(t.cfg.MaxFlows, t.cfg.MinExcess+int(share*t.meanOpen))
}

// updateMean recomputes the mean of open flows over the accepting upstreams that
// are past slow start.
func (t *Table) updateMean(now time.Duration) {
	sum, n := 0, 0
	for _, p := range t.peers.list {
		if p.load.known && p.settled(now, t.cfg.SlowStart) {
			sum += p.load.open
			n++
		}
	}
	t.slowStarting = n > 0
	if t.self.State.Accepts() && t.limit(now) == t.cfg.MaxFlows {
		sum += t.Open()
		n++
	}
	t.meanOpen = 0
	if n > 0 {
		t.meanOpen = float64(sum) / float64(n)
	}
}

// take makes this agent the owner of a flow.
func (t *Table) take(now time.Duration, hash uint64, k *packet.Key) {
	e := t.flows.insert(now, hash, k)
	t.handoffs.forget(hash)
	t.retarget(now, e)
	if t.cfg.Observer != nil {
		t.cfg.Observer.FlowTaken(t.self.ID, k)
	}
}
