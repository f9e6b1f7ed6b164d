package flow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Table is the agent side of flow placement: it stores the flows that its agent owns and
// decides on each packet. It is not safe for concurrent use.
type Table struct {
	cfg     TableConfig
	self    Upstream
	seed    uint64
	service packet.ServiceID
	rng     *rand.Rand

	flows           flowStore
	lingering       int // number of lingering flows
	waiting         waitingFlows
	ownerRecords    ownerRecords
	peers           peerSet
	inboxes         map[packet.AgentID]*inbox
	filter          digestFilter
	removals        removalQueue
	recentBalancers recentBalancers
	extraHints      []netip.AddrPort       // buffer of Action.ExtraHints
	unknownFlows    map[uint64]unknownFlow // flows that are not in the table, by hash
	lost            lostFlows
	// suspected are the hashes of suspect flows, which may be lost.
	suspected       []uint64
	denials         denials                 // flows that this agent has denied
	inquiries       []*inquiry              // about suspect flows
	lossFindings    []finding               // of the flows that the last call of CheckSuspects has returned
	lastInquiry     uint32                  // number of the latest inquiry
	nextInquiryAt   time.Duration           // earliest time of the next new inquiry
	suspectsChecked time.Duration           // time of the last call of CheckSuspects
	suspectsDue     bool                    // CheckSuspects should be called at once
	peersChecksum   uint64                  // checksum of the upstreams that may hold flows, including this agent's
	startedPeers    map[packet.AgentID]bool // peers that this agent has seen in state Starting
	plannedRestarts bool                    // this agent has seen a peer in state AgentRestarting
	stepDue         bool                    // Step should be called at once
	work            workload
	kept            []*keptList     // lists of flows kept for agents that restart
	outgoing        []*outgoingList // lists that this agent hands to its keepers; its own is the first
	handingOver     bool            // this agent stops, see BeginHandover
	missedFlows     bool            // see noteMissedFlow
	restored        restoredList
	restoredTo      map[endpointKey]packet.Key // see TakeRestored
	check           uint8                      // number of the last check of the upstream, see BeginUpstreamCheck
	listExpected    bool                       // see ExpectList
	predecessor     uint64                     // see SetPredecessor
	refusedFlows    []RefusedFlow              // not yet returned by RefusedFlows

	noEarlierFlows     bool          // the upstream started no earlier than this agent or does not run, so it holds no flows from before
	upstreamStopped    bool          // see SetUpstreamStopped
	acceptsEarly       bool          // flows are accepted although the state is Starting
	rebuildStarted     time.Duration // start of the rebuilding phase; never before the first
	sawAllSince        time.Duration // since then no packet of the upstream is known to have been missed; never: the phase is over
	idleLimit          time.Duration // see SetIdleLimit
	peersIncomplete    bool          // see SetPeersIncomplete
	peersKnown         bool          // a balancer has sent the list of peers
	peerStatesChanged  time.Duration // time of the last change of a peer's state or incarnation, or of the list
	peerListChanged    time.Duration // time at which a peer was last added or removed
	acceptanceChanged  time.Duration // time at which this agent last started or stopped accepting flows; not read
	unsettledUntil     time.Duration // until then, another view may have another first choice
	stateSince         time.Duration // time of the last change of self.State
	reopened           time.Duration // time at which an order to evacuate this agent's upstream was last withdrawn
	loadSent           time.Duration
	lastStep           time.Duration
	resumedAt          time.Duration // end of the last pause of this process
	digestBudget       int           // digest bytes that may be sent now
	sweepFrom          int
	nextDigestPeer     int     // peer at which addDigests starts, so that the budget starves no peer
	meanAccepting      float64 // mean number of open flows of the accepting upstreams
	meanAfterSlowStart float64 // the same of those that have completed slow start
	slowStartApplies   bool    // some upstream has completed slow start, so the slow-start limit applies
	counters           Counters
}

// Counters are totals since the creation of the table.
type Counters struct {
	Delivered, Forwarded, HandedOff, Offered, Hints uint64
	Waited                                          uint64 // flows that waited for the verdict of the Admission
	Held                                            uint64 // flows that waited for a slot, in the Gate; unrelated to packet.Held
	Refused                                         uint64 // flows that the Gate refused at once because too many were waiting
	EvacuatedHandedOff                              uint64 // flows of HandedOff that left because this agent's upstream is evacuated
	EvacuatedRefused                                uint64 // first packets refused because all upstreams are evacuated
	ColdPassed                                      uint64 // flows passed on because only the limit of the cold upstream kept them from being accepted
	ColdRefused                                     uint64 // flows refused for the same reason; Refused includes them
	Reset                                           uint64 // TCP resets decided on for lost flows
	Tried                                           uint64 // probes: packets of unknown flows delivered to the upstream
	Returned                                        uint64 // packets that the upstream sent back
	Adopted                                         uint64 // flows adopted from the upstream's own packets
	Missed                                          uint64 // times that the table counted as complete and lacked a flow of the upstream
	FalselyDenied                                   uint64 // flows that this agent has denied although its upstream holds them
	Restored                                        uint64 // flows of an earlier process of this agent, as listed by its keepers
	Asked                                           uint64 // inquiries sent, counted per peer
	Found                                           uint64 // flows that a peer owns according to its answer
	Dropped                                         [reasonCount]uint64
}

// NewTable returns the table of the agent self, which serves one service.
func NewTable(cfg TableConfig, self Upstream, service packet.ServiceID, rng *rand.Rand) *Table {
	cfg = cfg.withDefaults()
	return &Table{
		cfg:          cfg,
		self:         self,
		seed:         seedOf(self.ID),
		service:      service,
		rng:          rng,
		flows:        newFlowStore(),
		waiting:      newWaitingFlows(),
		ownerRecords: newOwnerRecords(cfg.RecordRetention, cfg.MaxOwnerRecords),
		peers:        peerSet{byID: make(map[packet.AgentID]*peer)},
		inboxes:      make(map[packet.AgentID]*inbox),
		unknownFlows: make(map[uint64]unknownFlow),
		lost:         newLostFlows(cfg.MaxFlows),
		denials:      denials{byHash: make(map[uint64]denial)},
		// Answers name an inquiry by its number alone, so the numbers of this agent's processes must differ: a peer
		// may answer an inquiry of an earlier process seconds late.
		lastInquiry:       uint32(rendezvous.Mix(self.Incarnation)),
		startedPeers:      make(map[packet.AgentID]bool),
		restoredTo:        make(map[endpointKey]packet.Key),
		loadSent:          never,
		stateSince:        never,
		reopened:          never,
		rebuildStarted:    never,
		sawAllSince:       never,
		resumedAt:         never,
		acceptanceChanged: never,
	}
}

// SetState sets the state of this agent's own upstream.
func (t *Table) SetState(now time.Duration, s State) {
	if s == t.self.State {
		return
	}
	t.self.State = s
	t.stateSince, t.acceptanceChanged = now, now
	t.unsettledUntil = now + t.cfg.Settling
	t.retargetAll(now)
}

// StartRebuild starts the rebuilding phase. Call it when packets may arrive.
func (t *Table) StartRebuild(now time.Duration) { t.rebuildStarted, t.sawAllSince = now, now }

// Peers returns the number of peers and the time of the last change of the list of peers or
// of a peer's state.
func (t *Table) Peers() (n int, changed time.Duration) { return len(t.peers.list), t.peerStatesChanged }

// AddrOf returns the data address of a peer.
func (t *Table) AddrOf(id packet.AgentID) (netip.AddrPort, bool) {
	p := t.peers.get(id)
	if p == nil {
		return netip.AddrPort{}, false
	}
	return p.Addr, true
}

// StepDue reports, once, whether Step should be called at once: a peer must be notified of an
// accepted or suspect flow, or waiting flows were evicted.
func (t *Table) StepDue() bool {
	due := t.stepDue
	t.stepDue = false
	return due
}

// accepts reports whether this agent accepts new flows.
func (t *Table) accepts() bool {
	return t.self.acceptsFlows() || t.acceptsEarly && t.self.runsWhileStarting()
}

// UpstreamStart returns the start ID of the upstream, or 0 when it is unknown.
func (t *Table) UpstreamStart() uint64 { return t.self.Start }

// State returns the state of this agent's own upstream.
func (t *Table) State() State { return t.self.State }

// SetPeers replaces the list of the service's upstreams. The entry for this agent is ignored,
// since its current state comes from SetState.
func (t *Table) SetPeers(now time.Duration, upstreams []Upstream) {
	next := peerSet{byID: make(map[packet.AgentID]*peer, len(upstreams))}
	accepted := t.accepts()
	t.acceptsEarly = false
	t.noteStarting(upstreams)
	for _, u := range withStarting(upstreams) {
		if u.ID == t.self.ID {
			t.acceptsEarly = u.State.Accepts()
		}
		if u.ID != t.self.ID && next.byID[u.ID] == nil {
			p := t.mergePeer(now, u)
			next.byID[u.ID] = p
			next.list = append(next.list, p)
			next.anyStarting = next.anyStarting || p.State == Starting
			next.anyCold = next.anyCold || p.Cold
		}
	}
	slices.SortFunc(next.list, func(a, b *peer) int { return int(int64(a.ID) - int64(b.ID)) })
	if !t.peers.sameRecords(&next) {
		t.peerStatesChanged = now
	}
	if !t.peers.sameIDs(&next) {
		t.peerListChanged = now
	}
	if t.accepts() != accepted {
		t.acceptanceChanged = now
	}
	for id := range t.peers.byID {
		if next.byID[id] == nil {
			t.inbox(id).clear()
			delete(t.inboxes, id)
		}
	}
	t.peers = next
	t.forgetStarted()
	t.peersChecksum = t.computePeersChecksum()
	for _, p := range next.list {
		p.listedState = p.State
	}
	t.retargetAll(now)
	t.queueDigestsForNewPeers(now)
}

// SetPeersKnown records that a balancer has sent the list of peers. Before that, an empty list
// has no meaning.
func (t *Table) SetPeersKnown(now time.Duration) {
	if !t.peersKnown {
		t.peersKnown, t.peerStatesChanged, t.peerListChanged = true, now, now
	}
}

// SetPeersIncomplete records whether the list of peers comes from balancers that may lack live upstreams.
// Such a list proves nothing about a flow: the peer that owns it may be missing.
func (t *Table) SetPeersIncomplete(now time.Duration, incomplete bool) {
	if t.peersIncomplete != incomplete {
		t.peersIncomplete, t.peerListChanged = incomplete, now
	}
}

// mergePeer returns the new or updated record of an upstream.
func (t *Table) mergePeer(now time.Duration, u Upstream) *peer {
	old := t.peers.get(u.ID)
	if old == nil || old.Incarnation != u.Incarnation {
		p := newPeer(now, u)
		p.inbox = t.inbox(u.ID)
		p.restarted = old != nil && (old.restarted || old.heardAt != never)
		t.noteSuccessor(u.ID, u.Incarnation)
		if old != nil && t.cfg.Rebuild > 0 && (u.Start == 0 || u.Start == old.Start) {
			p.acceptedUntil = max(p.acceptedUntil, old.lastAccepted(now))
		}
		t.unsettledUntil = now + t.cfg.Settling
		return p
	}
	if old.State != u.State || old.Evacuated != u.Evacuated {
		t.unsettledUntil = now + t.cfg.Settling
	}
	old.update(now, u)
	return old
}

// queueDigestsForNewPeers queues the whole digest for newly listed peers.
func (t *Table) queueDigestsForNewPeers(now time.Duration) {
	for _, p := range t.peers.list {
		if p.outbox.seq == 0 && p.outbox.newDigest {
			t.queueWholeDigest(now, p)
		}
	}
}

// inbox returns the digest received from an agent. It may exist before the agent is listed as
// a peer, because the sender may know of this agent first.
func (t *Table) inbox(from packet.AgentID) *inbox {
	b := t.inboxes[from]
	if b == nil {
		b = &inbox{filter: &t.filter, resendRequested: never}
		t.inboxes[from] = b
	}
	return b
}

// Open returns the number of open flows. Lingering flows are not counted.
func (t *Table) Open() int { return len(t.flows.entries) - t.lingering }

// Counters returns the totals since the creation of the table.
func (t *Table) Counters() Counters { return t.counters }

// MayBecomeReady reports whether an agent in state Starting may become Ready: the digests
// of all ready and draining peers are verified, or the settling time has passed. An agent
// that becomes ready earlier may accept a packet of a flow that a peer owns.
func (t *Table) MayBecomeReady(now time.Duration) bool {
	if t.stateSince != never && now-t.stateSince >= t.cfg.Settling {
		return true
	}
	for _, p := range t.peers.list {
		if (p.State == Ready || p.State == Draining) && !p.inbox.verified {
			return false
		}
	}
	return true
}

// Drained reports whether a draining agent may stop: it has no flows and has been draining
// for so long that all views show it and its digests are not needed any more.
func (t *Table) Drained(now time.Duration) bool {
	return t.self.State == Draining && len(t.flows.entries) == 0 && now-t.stateSince >= t.cfg.Settling
}
