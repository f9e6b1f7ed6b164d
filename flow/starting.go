package flow

import (
	"slices"
	"time"
)

// After a power failure the whole fleet starts at once. Its upstreams become ready one by
// one, and the first ones would receive and keep the flows of all clients. Therefore starting
// upstreams also accept flows while less than half of the running upstreams are ready. Until
// an agent has received its peers' digests, it may miss the owner of a flow; this costs at most
// a detour.

// withStarting returns the upstreams with the states used for placement: while the fleet
// starts, running upstreams in state Starting count as ready. Evacuated upstreams don't count, and keep their
// states. The argument is not modified.
func withStarting(list []Upstream) []Upstream {
	ready, starting := 0, 0
	for i := range list {
		switch {
		case list[i].acceptsFlows():
			ready++
		case list[i].runsWhileStarting():
			starting++
		}
	}
	if starting <= ready {
		return list
	}
	out := slices.Clone(list)
	for i := range out {
		if out[i].runsWhileStarting() {
			out[i].State = Ready
		}
	}
	return out
}

// noteStarting records the peers that are in state Starting, and whether any agent restarts as planned, beside a
// running upstream.
func (t *Table) noteStarting(list []Upstream) {
	for i := range list {
		switch {
		case list[i].ID == t.self.ID:
		case list[i].State == Starting:
			t.startedPeers[list[i].ID] = true
		case list[i].State == AgentRestarting:
			t.plannedRestarts = true
		}
	}
}

// forgetStarted removes the records of peers that are not listed any more.
func (t *Table) forgetStarted() {
	for id := range t.startedPeers {
		if t.peers.get(id) == nil {
			delete(t.startedPeers, id)
		}
	}
}

// startedWithFleet reports whether the fleet has started together with this agent, as after a power
// failure: the upstream holds no earlier flows, this agent has started recently, and it has seen
// at least three quarters of its peers start. A single new VM sees its peers ready, or restarting one after the other.
func (t *Table) startedWithFleet(now time.Duration) bool {
	return t.noEarlierFlows && !t.plannedRestarts && t.startedRecently(now) && 4*len(t.startedPeers) >= 3*len(t.peers.list)
}

// startedRecently reports whether the rebuilding phase has begun less than TableConfig.Rebuild ago. Its
// length does not matter to a fleet whose upstreams hold no earlier flows.
func (t *Table) startedRecently(now time.Duration) bool {
	return t.sawAllSince != never && now-t.rebuildStarted < t.cfg.Rebuild
}

// runsWhileStarting reports whether the upstream itself has reported its start while its
// agent is still in state Starting, and is not evacuated.
func (u *Upstream) runsWhileStarting() bool {
	return u.State == Starting && u.Start != 0 && !u.Evacuated
}
