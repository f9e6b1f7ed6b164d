package flow

import "slices"

// After a power failure the whole fleet starts at once. Its upstreams become ready one by
// one, and the first ones would receive and keep the flows of all clients. Therefore starting
// upstreams also accept flows while less than half of the running upstreams are ready. Until
// an agent has received its peers' digests, it may miss the owner of a flow; this costs at most
// a detour.

// withStarting returns the upstreams with the states used for placement: while the fleet
// starts, running upstreams in state Starting count as ready. The argument is not modified.
func withStarting(list []Upstream) []Upstream {
	ready, starting := 0, 0
	for i := range list {
		switch {
		case list[i].State.Accepts():
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

// runsWhileStarting reports whether the upstream itself has reported its start while its
// agent is still in state Starting.
func (u *Upstream) runsWhileStarting() bool { return u.State == Starting && u.Start != 0 }
