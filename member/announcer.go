package member

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

const (
	// pushAttempts limits the pushes of one change to one other agent. An agent that
	// receives none of them gets the change from its home balancers.
	pushAttempts = 3
	// homeAvoidTime is how long an unresponsive balancer is not used as a home.
	homeAvoidTime = 5 * time.Second
	// maxHomeFailures is the number of consecutive heartbeats that must fail before a home
	// is avoided. If one lost reply were enough, the home would receive no more
	// heartbeats and would suspect the agent.
	maxHomeFailures = 2
)

// Announcer implements the membership protocol of an agent. It is not safe for
// concurrent use. The caller must call Step about ten times a second.
type Announcer struct {
	cfg              Config
	self             Record
	sum              uint32
	rng              *rand.Rand
	table            *Table // members of the service
	now              time.Duration
	homeCandidates   []netip.AddrPort                 // home balancers followed by spare ones, best first, as last sent by a balancer
	avoidUntil       map[netip.AddrPort]time.Duration // balancers not used as homes, until the given time
	failedHeartbeats map[netip.AddrPort]int           // consecutive failed heartbeats
	confirmedSums    map[netip.AddrPort]uint32        // hash of the record that each balancer has confirmed
	nextHeartbeat    map[netip.AddrPort]time.Duration // time of the next heartbeat
	peerPushes       map[string]*peerPush             // by name of the receiving agent
	revision         int64
	evacuations      evacuations
	grantor          Grantor
	earlierStarts    map[uint64]bool // Record.Start in records of earlier agent processes of this name
	idleLimit        time.Duration   // see IdleLimit
	warmup           warmup          // see Warmup
	listComplete     bool            // a balancer that knew all live processes has answered
	predecessor      Record          // newest record of an earlier agent process of this name; zero if none is known
}

// peerPush is the push of the current record to one other agent of the service.
type peerPush struct {
	attemptsLeft int
	nextAttempt  time.Duration
}

// NewAnnouncer returns an Announcer for the agent with the record self. A zero
// incarnation is replaced by a random one.
func NewAnnouncer(cfg Config, self Record, rng *rand.Rand) *Announcer {
	self.Role = RoleUpstream
	if self.Incarnation == 0 {
		self.Incarnation = rng.Uint64() | 1
	}
	a := &Announcer{
		cfg:              cfg.withDefaults(),
		rng:              rng,
		table:            NewTable(),
		avoidUntil:       make(map[netip.AddrPort]time.Duration),
		failedHeartbeats: make(map[netip.AddrPort]int),
		confirmedSums:    make(map[netip.AddrPort]uint32),
		nextHeartbeat:    make(map[netip.AddrPort]time.Duration),
		peerPushes:       make(map[string]*peerPush),
		earlierStarts:    make(map[uint64]bool),
	}
	a.announce(self)
	return a
}

// announce installs a new version of the agent's own record. The next Step returns a
// push to each other agent of the service whose record is live, and heartbeats with the
// record to the balancers of heartbeatTargets, because all heartbeats become due.
func (a *Announcer) announce(self Record) {
	a.self = self
	a.sum = uint32(self.sum())
	merged := a.table.Merge(self)
	invariant(merged, "own record of %q is not newer than the known one", self.Name)
	clear(a.nextHeartbeat)
	clear(a.peerPushes)
	for _, r := range a.table.ServiceMembers(self.Service) {
		if r.Name != self.Name && !r.Gone() {
			a.peerPushes[r.Name] = &peerPush{attemptsLeft: pushAttempts}
		}
	}
}

// Step advances the protocol to now and returns the calls to send.
func (a *Announcer) Step(now time.Duration) []Call {
	a.advance(now)
	a.table.expire(now, a.cfg.RemoveAfter)
	var out []Call
	for _, home := range a.heartbeatTargets() {
		if now >= a.nextHeartbeat[home] {
			out = append(out, a.heartbeat(home))
		}
	}
	return append(out, a.pushes()...)
}

// heartbeatTargets returns the balancers to send heartbeats to. The places of
// unresponsive homes are filled with the next best balancers and then with seeds. A
// change that no balancer has confirmed is also sent to the spare balancers: if both
// homes have failed, the heartbeats to them time out only after a third of the 3 s
// within which a drain must reach every process.
func (a *Announcer) heartbeatTargets() []netip.AddrPort {
	count := a.cfg.Homes
	if !a.Confirmed() {
		count += spareHomes
	}
	seeds := slices.Clone(a.cfg.Seeds)
	a.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	var out, avoided []netip.AddrPort
	for _, b := range append(slices.Clone(a.homeCandidates), seeds...) {
		switch {
		case slices.Contains(out, b) || slices.Contains(avoided, b):
		case a.now < a.avoidUntil[b]:
			avoided = append(avoided, b)
		case len(out) < count:
			out = append(out, b)
		}
	}
	if len(out) > 0 {
		return out
	}
	// All balancers may have failed at once and may have restarted before homeAvoidTime
	// has passed.
	return avoided[:min(len(avoided), count)]
}

// Confirmed reports whether a balancer has the current record. A leaving agent
// waits for this before it exits.
func (a *Announcer) Confirmed() bool {
	for _, sum := range a.confirmedSums {
		if sum == a.sum {
			return true
		}
	}
	return false
}

func (a *Announcer) heartbeat(home netip.AddrPort) Call {
	m := Message{
		Kind: KindHeartbeat, ID: nameHash(a.self.Name), Sum: a.sum, Revision: a.revision,
		Members: a.table.membersSum(a.self.Service), HomeSum: hashHomes(a.homeCandidates), Term: a.grantor.Term,
		EvacuationRevision: a.evacuations.Set().Revision, WarmupRate: a.warmup.rate,
	}
	wait := a.cfg.HeartbeatInterval
	if a.confirmedSums[home] != a.sum {
		m.Records = []Record{a.self}
		a.evacuations.addTo(&m)
		wait = a.cfg.RetryInterval
	}
	a.nextHeartbeat[home] = a.now + wait
	return Call{To: home, Request: m}
}

func (a *Announcer) pushes() []Call {
	var out []Call
	for _, name := range slices.Sorted(maps.Keys(a.peerPushes)) {
		push := a.peerPushes[name]
		r, known := a.table.Get(name)
		if !known || push.attemptsLeft == 0 {
			delete(a.peerPushes, name)
			continue
		}
		if a.now < push.nextAttempt {
			continue
		}
		push.attemptsLeft--
		push.nextAttempt = a.now + a.cfg.RetryInterval
		out = append(out, Call{To: r.Control, Request: Message{Kind: KindPush, Name: name, Records: []Record{a.self}}})
	}
	return out
}

// Handle processes a balancer's ping, or a push from another agent or from a balancer
// that watches this agent, and returns the reply.
func (a *Announcer) Handle(now time.Duration, m Message) Message {
	a.advance(now)
	a.evacuations.learn(&m, m.From)
	if m.Kind == KindPush {
		a.mergeOrRefute(m.Records)
		// Only the push of an agent, which carries its own record, names its receiver.
		if m.Name != "" && len(m.Records) == 1 {
			a.table.noteOwnWord(&m.Records[0])
		}
	}
	return Message{Revision: a.revision}
}

// Reply processes the reply to a call.
func (a *Announcer) Reply(now time.Duration, c Call, m Message) {
	a.advance(now)
	a.revision = max(a.revision, m.Revision)
	a.evacuations.learn(&m, c.To)
	switch c.Request.Kind {
	case KindPush:
		if push := a.peerPushes[c.Request.Name]; push != nil && c.Request.Records[0].Version == a.self.Version {
			delete(a.peerPushes, c.Request.Name)
		}
	case KindHeartbeat:
		a.handleHeartbeatReply(c, m)
	}
}

func (a *Announcer) handleHeartbeatReply(c Call, m Message) {
	delete(a.avoidUntil, c.To)
	delete(a.failedHeartbeats, c.To)
	a.confirmedSums[c.To] = c.Request.Sum
	a.noteGrantor(m.Grantor)
	if m.Resend {
		delete(a.confirmedSums, c.To)
		a.nextHeartbeat[c.To] = min(a.nextHeartbeat[c.To], a.now+a.cfg.RetryInterval)
	} else if c.Request.Sum == a.sum {
		a.nextHeartbeat[c.To] = a.now + a.cfg.HeartbeatInterval
		if !a.listComplete && m.Incomplete {
			a.nextHeartbeat[c.To] = a.now + a.cfg.JoinInterval
		}
	}
	a.listComplete = a.listComplete || !m.Incomplete
	if m.IdleLimit > 0 {
		a.idleLimit = time.Duration(m.IdleLimit) * time.Second
	}
	a.noteWarmup(&m)
	if len(m.Homes) > 0 {
		a.homeCandidates = m.Homes
		a.forgetFormerHomes()
	}
	a.mergeOrRefute(m.Records)
}

// forgetFormerHomes deletes the state of balancers that are neither home candidates nor seeds.
func (a *Announcer) forgetFormerHomes() {
	former := func(p netip.AddrPort) bool {
		return !slices.Contains(a.homeCandidates, p) && !slices.Contains(a.cfg.Seeds, p)
	}
	maps.DeleteFunc(a.confirmedSums, func(p netip.AddrPort, _ uint32) bool { return former(p) })
	maps.DeleteFunc(a.nextHeartbeat, func(p netip.AddrPort, _ time.Duration) bool { return former(p) })
	maps.DeleteFunc(a.failedHeartbeats, func(p netip.AddrPort, _ int) bool { return former(p) })
	maps.DeleteFunc(a.avoidUntil, func(p netip.AddrPort, _ time.Duration) bool { return former(p) })
}

// Unreachable processes the failure or timeout of a call.
func (a *Announcer) Unreachable(now time.Duration, c Call) {
	a.advance(now)
	if c.Request.Kind != KindHeartbeat {
		return
	}
	delete(a.nextHeartbeat, c.To)
	a.failedHeartbeats[c.To]++
	if a.failedHeartbeats[c.To] >= maxHomeFailures {
		a.avoidUntil[c.To] = now + homeAvoidTime
		delete(a.failedHeartbeats, c.To)
	}
}

// mergeOrRefute merges the records of the service's other upstreams. If a record under
// this agent's name conflicts with its own record, it refutes it.
func (a *Announcer) mergeOrRefute(records []Record) {
	for i := range records {
		r := &records[i]
		if r.Name != a.self.Name {
			if r.Service == a.self.Service && r.Role == RoleUpstream {
				a.table.Merge(*r)
			}
			continue
		}
		if r.Incarnation != a.self.Incarnation {
			a.earlierStarts[r.Start] = true
			if r.valid() && (a.predecessor.Name == "" || Compare(r, &a.predecessor) > 0) {
				a.predecessor = *r
			}
		}
		if own, needed := refute(a.self, r); needed {
			a.announce(own)
		}
	}
}

// RanBefore reports whether a record of an earlier agent process is known that may have run
// beside the same run of the upstream, which then may hold flows that this process has not seen.
// An earlier process that had received no announcement may have run beside any: while the whole
// fleet starts, agents accept flows before the first announcement.
func (a *Announcer) RanBefore(startID uint64) bool {
	return a.earlierStarts[startID] || a.earlierStarts[0]
}

// ListComplete reports whether a balancer that knew all live processes has answered a heartbeat.
func (a *Announcer) ListComplete() bool { return a.listComplete }

// Predecessor returns the incarnation of the latest earlier process of this agent that is known, or 0.
func (a *Announcer) Predecessor() uint64 { return a.predecessor.Incarnation }

// PredecessorEndpoints returns the endpoints that the latest earlier process of this agent has announced, if it may have
// run beside the run of the upstream with the given start ID.
func (a *Announcer) PredecessorEndpoints(startID uint64) []flow.Endpoint {
	if p := &a.predecessor; p.Start == startID || p.Start == 0 || startID == 0 {
		return p.Endpoints
	}
	return nil
}

// PredecessorStopped reports whether that process is known to have announced that it restarts.
func (a *Announcer) PredecessorStopped() bool { return a.predecessor.State == flow.AgentRestarting }

// SetState changes the agent's state and announces it.
func (a *Announcer) SetState(now time.Duration, s flow.State) {
	a.advance(now)
	if s == a.self.State {
		return
	}
	self := a.self
	self.State = s
	self.raiseVersion()
	a.announce(self)
}

// Upstream is what an agent announces about its upstream.
type Upstream struct {
	StartID   uint64 // identifies the current run of the upstream's process (Record.Start); 0 if unknown
	Slots     int
	Endpoints []flow.Endpoint // service addresses at which the upstream is known to receive flows
	State     flow.State
	Cold      bool // the rate of its requests is limited because it has started lately
}

// SetUpstream announces the upstream's current values if they have changed.
func (a *Announcer) SetUpstream(now time.Duration, u Upstream) {
	a.advance(now)
	self := a.self
	self.Start, self.Slots, self.Endpoints, self.State = u.StartID, u.Slots, u.Endpoints, u.State
	self.Cold = u.Cold
	if self.sum() == a.self.sum() {
		return
	}
	self.raiseVersion()
	a.announce(self)
}

// ServiceUpstreams returns all upstreams of the service, this one included, ordered by name.
func (a *Announcer) ServiceUpstreams() []flow.Upstream {
	for _, s := range a.table.View().Services {
		return slices.Clone(s.Upstreams)
	}
	return nil
}

// SetSeeds replaces the seed addresses.
func (a *Announcer) SetSeeds(seeds []netip.AddrPort) { a.cfg.Seeds = seeds }

// Self returns the agent's record as last announced.
func (a *Announcer) Self() Record { return a.self }

// Table returns the table of the service's records. The caller must not modify it.
func (a *Announcer) Table() *Table { return a.table }

// Revision returns the highest revision of the lists that this agent has received.
func (a *Announcer) Revision() int64 { return a.revision }

func (a *Announcer) advance(now time.Duration) {
	invariant(now >= a.now, "time went from %v back to %v", a.now, now)
	a.now, a.table.now = now, now
}
