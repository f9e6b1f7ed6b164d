package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// peer is another upstream of the service as this agent knows it.
type peer struct {
	Upstream
	seed          uint64
	acceptedSince time.Duration // since when it has accepted flows; valid while it accepts
	acceptedUntil time.Duration // when its state last let it accept flows; never if it has not
	load          loadReport
	outbox        outbox
	inbox         *inbox
	message       *Message // being built by Step
	listedSince   time.Duration
	stateChanged  time.Duration // when its state last changed
	listedState   State         // state at the last update of the list of peers
	// unansweredSince is the time of the first of the inquiries that were sent without a gap since
	// the peer was last heard from; never if there is none. inquiredAt is that of the last one.
	unansweredSince, inquiredAt time.Duration
	heardAt                     time.Duration // when it was last heard from; never if it has not
	// restarted says that an earlier process of its agent was heard from, so that it is not a VM that was
	// removed before this agent started.
	restarted bool
	// restartingSince is the time from which its agent has been restarting; never if it is not. A
	// mark as failed does not change it: the upstream of a restarting agent runs on.
	restartingSince time.Duration
}

// loadReport is the last load report of a peer. Flows that Table.receiveFirst has handed off to the
// peer since are added; other hand-offs are not.
type loadReport struct {
	known       bool
	open, limit int
}

// never stands for a time so long ago that every configured period has passed since.
const never = -1 << 62 * time.Nanosecond

func newPeer(now time.Duration, u Upstream) *peer {
	p := &peer{Upstream: u, seed: seedOf(u.ID), acceptedSince: now, acceptedUntil: never, listedSince: now, stateChanged: now, unansweredSince: never, inquiredAt: never, heardAt: never, restartingSince: never}
	if u.State == AgentRestarting {
		p.restartingSince = now
	}
	// A draining upstream may have accepted flows until just now.
	if u.State.Accepts() || u.State == Draining {
		p.acceptedUntil = now
	}
	p.outbox.beginDigest()
	return p
}

// maxInquiryGap is the maximum time between two inquiries without a gap. A longer one means that
// there was nothing to ask or that this process was paused, and says nothing about the peer.
const maxInquiryGap = 2 * inquiryRetryIntervalMax

// noteInquirySent records that an inquiry was sent to the peer.
func (p *peer) noteInquirySent(now time.Duration) {
	if p.unansweredSince == never || now-p.inquiredAt > maxInquiryGap {
		p.unansweredSince = now
	}
	p.inquiredAt = now
}

// noteHeard records that a message, an inquiry or an answer of the peer has arrived.
func (p *peer) noteHeard(now time.Duration) { p.heardAt, p.unansweredSince = now, never }

// silence returns how long inquiries have been sent to the peer without a gap while nothing has
// arrived from it.
func (p *peer) silence(now time.Duration) time.Duration {
	if p.unansweredSince == never || now-p.inquiredAt > maxInquiryGap {
		return 0
	}
	return now - p.unansweredSince
}

// failureConfirmed reports whether the peer was marked as failed failedPeerGracePeriod ago and has
// given no sign of life since.
func (p *peer) failureConfirmed(now time.Duration) bool {
	return p.State == Failed && now-p.stateChanged >= failedPeerGracePeriod && p.heardAt <= p.stateChanged
}

// update replaces the record by a newer one of the same incarnation.
func (p *peer) update(now time.Duration, u Upstream) {
	was, accepted := p.State.Accepts(), p.acceptsFlows()
	if u.State != p.State {
		p.stateChanged = now
		switch u.State {
		case AgentRestarting:
			p.restartingSince = now
		case Failed:
		default:
			p.restartingSince = never
		}
	}
	p.Upstream = u
	if p.acceptsFlows() && !accepted {
		p.acceptedSince = now
	}
	if u.Evacuated {
		p.load = loadReport{} // it reports none, and may have lost its flows when it accepts again
	}
	if u.State.Accepts() || was {
		p.acceptedUntil = now
	}
}

// lastAccepted returns when the peer last accepted flows.
func (p *peer) lastAccepted(now time.Duration) time.Duration {
	if p.State.Accepts() {
		return now
	}
	return p.acceptedUntil
}

// acceptedFor reports whether the peer has accepted flows for at least the given time. After the
// settling time all views show it as accepting.
func (p *peer) acceptedFor(now, d time.Duration) bool {
	return p.acceptsFlows() && now-p.acceptedSince >= d
}

// mayBeSeenAccepting reports whether the peer accepts flows, or would if it were not evacuated, or some view
// may still show it as accepting. Packets of open flows go to it, and new ones only if it is not evacuated.
func (p *peer) mayBeSeenAccepting(now, settling time.Duration) bool {
	return p.State.Accepts() || now-p.acceptedUntil < settling
}

// peerSet is the set of peers, without this agent, in order of ID.
type peerSet struct {
	list        []*peer
	byID        map[packet.AgentID]*peer
	anyStarting bool // a peer is in state Starting
	anyCold     bool // a peer is cold
}

func (s *peerSet) get(id packet.AgentID) *peer { return s.byID[id] }

// sameRecords reports whether the next set has the same peers, with the same incarnations and
// states, as this set, the previous one. Both sets share the records, which already have the new
// states; the state in the previous list is listedState.
func (s *peerSet) sameRecords(other *peerSet) bool {
	if len(s.list) != len(other.list) {
		return false
	}
	for _, p := range s.list {
		if o := other.byID[p.ID]; o == nil || o.Incarnation != p.Incarnation || o.listedState != p.State {
			return false
		}
	}
	return true
}

// sameIDs reports whether both sets have the same peer IDs.
func (s *peerSet) sameIDs(other *peerSet) bool {
	if len(s.list) != len(other.list) {
		return false
	}
	for _, p := range s.list {
		if other.byID[p.ID] == nil {
			return false
		}
	}
	return true
}

// best returns the highest-ranked peer for which include is true, with its score.
func (s *peerSet) best(hash uint64, include func(*peer) bool) (*peer, uint64) {
	var found *peer
	var top uint64
	for _, p := range s.list {
		if !include(p) {
			continue
		}
		if v := score(hash, p.seed); found == nil || v > top {
			found, top = p, v
		}
	}
	return found, top
}
