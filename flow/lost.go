package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// The flows of an upstream that has ended are lost. A client that is told so at once
// can go on with a new flow, where it would otherwise wait for its deadline. A reset
// must never end a flow that some upstream still holds, so it is sent only when the
// agent knows what every upstream holds.

const (
	// peersQuiet is the time after which a list of peers without a further name counts as
	// whole. A push round takes 200 ms.
	peersQuiet = 250 * time.Millisecond
	// suspectTime is the time after which a suspected flow is not looked at any more
	// without a further packet.
	suspectTime = 5 * time.Second
	// silentPeer is the time after which a peer that has sent nothing counts as gone.
	// Agents that restart are back within a second.
	silentPeer = 5 * time.Second
	// silentPeerFresh is the same time for an agent whose upstream has started with it,
	// as after a power failure: clients wait on lost flows of all upstreams then.
	silentPeerFresh = time.Second
	// awayLimit is the time after which an agent that is away counts as gone with its
	// upstream. It is back within a second or two; the platform kills one that has not
	// ended 6 s after it was told to.
	awayLimit = 8 * time.Second
	// maxDoubtful is the number of peers that are asked for an unknown flow, which is what
	// one packet can visit; with more, agents wait until they know their upstreams' flows.
	maxDoubtful = packet.MaxHops
	// lostMemory is the time for which a lost flow is remembered: clients repeat a
	// packet at least every 1.6 s and give up after some seconds.
	lostMemory = 20 * time.Second
)

// lostFlows remembers, by hash, the flows that ended with the upstream.
type lostFlows struct {
	until map[uint64]time.Duration
	max   int
}

func newLostFlows(max int) lostFlows {
	return lostFlows{until: make(map[uint64]time.Duration), max: max}
}

func (l *lostFlows) remember(now time.Duration, hash uint64) {
	if len(l.until) < l.max {
		l.until[hash] = now + lostMemory
	}
}

func (l *lostFlows) has(now time.Duration, hash uint64) bool {
	if len(l.until) == 0 {
		return false
	}
	until, found := l.until[hash]
	return found && now < until
}

func (l *lostFlows) forget(hash uint64) { delete(l.until, hash) }

func (l *lostFlows) expire(now time.Duration) {
	for hash, until := range l.until {
		if now >= until {
			delete(l.until, hash)
		}
	}
}

// LostFlow is a flow that no upstream holds. Ack is what its client had acknowledged.
type LostFlow struct {
	Key packet.Key
	Ack uint32
}

// suspectLost notes that the upstream does not hold the flow of a packet that arrived
// here.
func (t *Table) suspectLost(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) {
	// Only the flow's first choice is told of it by its holder.
	if !t.firstChoiceOf(hash) {
		return
	}
	tr, known := t.trials[hash]
	if !known && len(t.trials) >= maxTrials {
		return
	}
	if !known || !tr.returned || now-tr.at >= suspectTime {
		tr = trial{at: now, returned: true, key: in.Key}
	}
	tr.ack, tr.mayRepeat = in.Ack, h.Class.Repeatable()
	t.suspect(hash, &tr)
	t.trials[hash] = tr
}

// Suspect is a flow that may be lost, as one agent tells another.
type Suspect struct {
	Flow   LostFlow
	Passed uint8 // agents that have passed it on
	// MayRepeat says that the flow's requests may run more than once.
	MayRepeat bool
}

// maxSuspectPasses ends the way of a suspect between agents whose views differ.
const maxSuspectPasses = 3

// passSuspect tells the flow's first choice of it. An agent that has just started takes
// itself for the first choice of all flows until it knows its peers, and the client may not
// repeat its packet for seconds.
func (t *Table) passSuspect(to packet.AgentID, tr *trial) {
	p := t.peers.get(to)
	if p == nil || tr.passed >= maxSuspectPasses {
		return
	}
	m := t.messageTo(p)
	m.Suspects = append(m.Suspects, Suspect{
		Flow: LostFlow{Key: tr.key, Ack: tr.ack}, Passed: tr.passed + 1, MayRepeat: tr.mayRepeat,
	})
	t.urgent = true
}

// takeSuspect looks after a flow that another agent suspects to be lost.
func (t *Table) takeSuspect(now time.Duration, s *Suspect) {
	hash := s.Flow.Key.Hash()
	if t.self.Start == 0 || !t.whole(now) || t.flows.find(hash, &s.Flow.Key) != nil {
		return
	}
	tr, known := t.trials[hash]
	if known && tr.suspected || !known && len(t.trials) >= maxTrials {
		return
	}
	if !known || !tr.returned || now-tr.at >= suspectTime {
		tr = trial{at: now, returned: true, key: s.Flow.Key}
	}
	tr.ack, tr.passed, tr.mayRepeat = s.Flow.Ack, s.Passed, s.MayRepeat
	t.suspect(hash, &tr)
	t.trials[hash] = tr
}

// Suspects reports whether some flow may turn out to be lost.
func (t *Table) Suspects() bool { return len(t.suspected) > 0 }

// suspect lists a trial that is not listed yet.
func (t *Table) suspect(hash uint64, tr *trial) {
	if !tr.suspected {
		tr.suspected, tr.inquiry = true, 0
		t.suspected = append(t.suspected, hash)
		t.restless = true
	}
}

// takeLost returns the flows that have turned out to be lost. Later packets of them are
// answered by Receive.
func (t *Table) takeLost(now time.Duration) (out []LostFlow) {
	mayBeLost := t.flowsMayBeLost(now)
	notHeld := t.heldByNobody(now)
	kept := t.suspected[:0]
	for _, hash := range t.suspected {
		tr, known := t.trials[hash]
		switch {
		case !known || !tr.returned:
		case now-tr.at >= suspectTime || t.knownElsewhere(now, hash):
			tr.suspected = false
			t.trials[hash] = tr
		case t.peersKnown && !t.firstChoiceOf(hash):
			to, _ := t.targets(hash)
			t.passSuspect(to, &tr)
			tr.suspected = false
			t.trials[hash] = tr
		case !mayBeLost || !notHeld[hash]:
			kept = append(kept, hash)
		default:
			delete(t.trials, hash)
			t.lost.remember(now, hash)
			t.counters.Reset++
			out = append(out, LostFlow{Key: tr.key, Ack: tr.ack})
		}
	}
	t.suspected = kept
	return out
}

// knownElsewhere reports whether the flow is here after all, or at a peer.
func (t *Table) knownElsewhere(now time.Duration, hash uint64) bool {
	return t.holder(now, hash, &packet.Header{}) != nil
}

// heldByNobody returns the flows of which all peers are known not to hold them.
func (t *Table) heldByNobody(now time.Duration) map[uint64]bool {
	out := make(map[uint64]bool)
	for _, q := range t.inquiries {
		for i, notHeld := range t.notHeld(now, q) {
			out[q.flows[i]] = notHeld
		}
	}
	return out
}

// flowsMayBeLost reports whether this agent knows its upstream and its peers well enough to
// call a flow lost.
func (t *Table) flowsMayBeLost(now time.Duration) bool {
	return t.cfg.Rebuild != 0 && t.self.Start != 0 && t.peersKnown && now-t.namesChanged >= peersQuiet
}

// firstChoiceOf reports whether this agent is the flow's first choice.
func (t *Table) firstChoiceOf(hash uint64) bool {
	target, _ := t.targets(hash)
	return target == 0
}

// doubtful returns up to maxDoubtful+1 peers that may hold flows which this agent does
// not know of, and whether a peer is away that may. The result is valid until the next
// call.
func (t *Table) doubtful(now time.Duration) (list []*peer, away bool) {
	list = t.doubt[:0]
	for _, p := range t.peers.list {
		switch {
		case p.accountedFor(now) || t.silentFor(now, p):
		case p.State == Away:
			away = true
		case len(list) <= maxDoubtful:
			list = append(list, p)
		}
	}
	t.doubt = list
	return list, away
}

// askDoubtful returns the next doubtful peer to which a packet of an unknown flow is
// passed on, or nil. A peer that holds the flow tells of it. One that does not shows the
// packet to its upstream, which returns it, and passes it on to the next; it then answers
// inquiries about the flow. Silence is no answer: the packet may be lost.
func (t *Table) askDoubtful(now time.Duration, hash uint64, h *packet.Header) *peer {
	if t.cfg.Rebuild == 0 || h.Hops >= packet.MaxHops {
		return nil
	}
	// Only the flow's first choice makes use of the answers.
	if first, _ := t.targets(hash); first != 0 && !h.HasVisited(first) {
		return nil
	}
	doubtful, away := t.doubtful(now)
	if away || len(doubtful) > maxDoubtful {
		return nil
	}
	for _, p := range doubtful {
		if h.HasVisited(p.ID) || t.hasDenied(hash, p.ID) {
			continue
		}
		h.Flags |= packet.FlagTryAll
		return p
	}
	return nil
}

// accountedFor reports whether the peer's digest names all flows of its upstream that
// rank this agent first. An upstream that has ended holds none, and neither does one
// whose agent has been away for much longer than a restart takes.
func (p *peer) accountedFor(now time.Duration) bool {
	if p.State == Away {
		return now-p.changed >= awayLimit
	}
	return p.State.Gone() || p.in.whole && p.in.complete
}

// silentFor reports whether the peer has been listed for a while and has sent nothing,
// where a running agent sends its digest to each peer that starts. Such a record may be
// that of a VM that was removed before this agent started.
func (t *Table) silentFor(now time.Duration, p *peer) bool {
	limit := silentPeer
	if t.fresh {
		limit = silentPeerFresh
	}
	return p.State != Away && p.in.incarnation != p.Incarnation && now-p.listedSince >= limit
}

// resetLost answers a packet of a lost flow.
func (t *Table) resetLost(in *packet.Info) Action {
	if in.RST {
		return t.drop(ReasonFlowLost)
	}
	t.counters.Reset++
	return Action{Kind: Reset, Reason: ReasonFlowLost}
}
