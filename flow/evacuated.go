package flow

import "time"

// An upstream whose failure domain operators have ordered to be evacuated accepts no new flow, whatever its
// state. The order changes nothing for open flows: their packets are still placed among all upstreams, and
// digests go to the first choices of that placement, so that neither an order nor its withdrawal causes a
// detour or a digest. The owner of a new flow whose first choice is evacuated sends that peer its fingerprint,
// like that of any other flow that was handed off.

// SetEvacuated sets whether operators have ordered the failure domain of this agent's own upstream to be
// evacuated. Call NextWaiting afterwards if WaitingDue: flows that wait are handed off.
func (t *Table) SetEvacuated(now time.Duration, evacuated bool) {
	if evacuated == t.self.Evacuated {
		return
	}
	t.self.Evacuated = evacuated
	t.acceptanceChanged = now
	if !evacuated {
		t.reopened = now
	}
	t.retargetAll(now) // for an upstream that accepts flows in state Starting
}

// allEvacuated reports whether at least one upstream of the service, this agent's own included, is not gone
// and each of these is evacuated.
func (t *Table) allEvacuated() bool {
	all := false
	for _, p := range t.peers.list {
		if p.State.Gone() {
			continue
		}
		if !p.Evacuated {
			return false
		}
		all = true
	}
	if t.self.State.Gone() {
		return all
	}
	return t.self.Evacuated
}

// refuseUnplaced returns the action for a first packet whose flow this agent neither accepts nor can hand
// off. If all upstreams are evacuated, the client receives a reset if mayReset is true: its flow cannot be
// open elsewhere.
func (t *Table) refuseUnplaced(mayReset bool) Action {
	if !t.allEvacuated() {
		return t.drop(ReasonNoUpstream)
	}
	t.counters.EvacuatedRefused++
	if mayReset {
		return Action{Kind: Reset, Reason: ReasonEvacuated}
	}
	return t.drop(ReasonEvacuated)
}
