package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// takes reports whether this agent takes a new flow that has made a number of hops
// and whose next choice is given.
func (t *Table) takes(now time.Duration, hops uint8, next *peer) bool {
	if !t.accepts() || len(t.flows.entries)+len(t.waiting.byNumber) >= t.cfg.MaxFlows {
		return false
	}
	// The next choice may be draining unknown to this agent and needs a hop to pass
	// the packet on.
	if next == nil || hops+2 > packet.MaxHops {
		return true
	}
	if t.Open() >= t.limit(now) {
		return false
	}
	if !next.load.known || next.load.open >= next.load.limit {
		return true
	}
	// An agent near the mean keeps its flows although a peer has fewer: a hand-off
	// from it would cost a detour and not lower the greatest load.
	excess := max(t.cfg.Threshold*t.meanReady, float64(t.cfg.MinExcess))
	own := float64(t.Open())
	return own-float64(next.load.open) <= excess || own-t.meanReady <= excess
}

// limit returns the number of flows up to which this agent takes new ones. During
// slow start it rises to the mean of the peers that are past theirs; when there
// is no such peer, the fleet itself is starting and nothing is limited.
func (t *Table) limit(now time.Duration) int {
	age := now - t.stateSince
	if t.stateSince == never || age >= t.cfg.SlowStart || !t.slowStart {
		return t.cfg.MaxFlows
	}
	share := float64(age) / float64(t.cfg.SlowStart)
	return min(t.cfg.MaxFlows, t.cfg.MinExcess+int(share*t.meanSettled))
}

// updateMeans recomputes the means of open flows: over all accepting upstreams, and
// over those that are past slow start.
func (t *Table) updateMeans(now time.Duration) {
	var ready, settled mean
	for _, p := range t.peers.list {
		if !p.load.known || !p.State.Accepts() {
			continue
		}
		ready.add(p.load.open)
		if p.settled(now, t.cfg.SlowStart) {
			settled.add(p.load.open)
		}
	}
	t.slowStart = settled.n > 0
	if t.accepts() {
		ready.add(t.Open())
		if t.limit(now) == t.cfg.MaxFlows {
			settled.add(t.Open())
		}
	}
	t.meanReady, t.meanSettled = ready.value(), settled.value()
}

// mean accumulates an average.
type mean struct{ sum, n int }

func (m *mean) add(v int) { m.sum, m.n = m.sum+v, m.n+1 }

func (m *mean) value() float64 { return float64(m.sum) / float64(max(m.n, 1)) }

// take makes this agent the owner of a flow and returns its entry.
func (t *Table) take(now time.Duration, hash uint64, k *packet.Key) *entry {
	e := t.flows.insert(now, hash, k)
	t.handoffs.forget(hash)
	t.lost.forget(hash)
	delete(t.trials, hash)
	t.retarget(now, e)
	t.announceTaken(e)
	if t.cfg.Observer != nil {
		t.cfg.Observer.FlowTaken(t.self.ID, k)
	}
	return e
}

// announceTaken makes the flow's first choice learn of it with the next Step: packets of
// the flow may reach that agent through another balancer within milliseconds.
func (t *Table) announceTaken(e *entry) {
	p := t.peers.get(e.target)
	if p == nil {
		return
	}
	t.urgent = true
	// Without Rebuild nothing is reset, and additions share messages.
	p.out.urgent = t.cfg.Rebuild > 0
}
