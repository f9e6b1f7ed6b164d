package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// expiryInterval is the interval between scans of the table for records to remove.
const expiryInterval = 10 * time.Second

// Node implements the balancer's side of the membership protocol; Announcer is the
// agent's side. It is not safe for concurrent use. The caller must call Step about
// ten times a second.
type Node struct {
	cfg           Config
	self          Record
	rng           *rand.Rand
	table         *Table
	now           time.Duration
	out           []Call // queued by enqueue; returned and cleared by Step
	pushes        map[string]*pushState
	lists         latestVersion // revision of the active lists
	routes        latestVersion // version of the routes
	routesChecked time.Duration // when the store last confirmed that the version of the routes is the newest
	idle          idleLimits
	evacuations   evacuations
	warmups       map[string]warmup // by service, if it has a rate; nil before ResetWarmup
	detector      failureDetector
	nextExchange  time.Duration // time of the next anti-entropy exchange
	behind        bool          // the last exchange reply had maxRecords records, so more may be missing; only shortens the exchange interval
	synced        bool          // a complete balancer has sent its whole table
	loaded        bool          // the records in the store have been read
	nextExpiry    time.Duration // time of the next scan for records to remove
	grantors      map[string]Grantor
	relays        map[string]map[string]bool // by service: names of upstreams whose records are to be relayed to agents

	verdicts        []Verdict // not yet taken by TakeVerdicts
	verdictsDropped int
}

// latestVersion is the highest known version of the lists or of the routes, which all
// balancers must have, and the control address of a process that has it.
type latestVersion struct {
	version int64
	source  netip.AddrPort
	push    pushState
}

// note records that the process at source has a version, and starts to push the
// version if it is the highest so far.
func (v *latestVersion) note(version int64, source netip.AddrPort, rounds int) {
	if version > v.version {
		*v = latestVersion{version: version, source: source, push: pushState{roundsLeft: rounds}}
	}
}

// NewNode returns a Node for the balancer with the record self. A zero incarnation
// is replaced by a random one.
func NewNode(cfg Config, self Record, rng *rand.Rand) *Node {
	self.Role = RoleBalancer
	if self.Incarnation == 0 {
		self.Incarnation = rng.Uint64() | 1
	}
	n := &Node{
		cfg:      cfg.withDefaults(),
		rng:      rng,
		table:    NewTable(),
		pushes:   make(map[string]*pushState),
		relays:   make(map[string]map[string]bool),
		detector: newFailureDetector(),
	}
	n.announce(self)
	return n
}

// Step advances the protocol to now and returns the calls to send.
func (n *Node) Step(now time.Duration) []Call {
	n.advance(now)
	n.sendRelays()
	n.sendEvacuations()
	n.sendPushes()
	n.startExchange()
	n.checkHeartbeats()
	n.resolveSuspicions()
	if now >= n.nextExpiry {
		n.table.expire(now, n.cfg.RemoveAfter)
		n.table.forgetUnreachable()
		n.nextExpiry = now + expiryInterval
	}
	out := n.out
	n.out = nil
	for i := range out {
		n.addVersions(&out[i].Request)
		n.evacuations.addTo(&out[i].Request)
	}
	return out
}

// Handle processes a request and returns the reply.
func (n *Node) Handle(now time.Duration, m Message) Message {
	n.advance(now)
	n.table.noteReachable(m.From)
	n.noteVersions(&m, m.From)
	reply := n.serve(m)
	n.addVersions(&reply)
	if m.Kind != KindHeartbeat || m.EvacuationRevision < n.evacuations.Set().Revision {
		n.evacuations.addTo(&reply)
	}
	return reply
}

func (n *Node) serve(m Message) Message {
	switch m.Kind {
	case KindHeartbeat:
		return n.serveHeartbeat(m)
	case KindPush:
		n.mergeAndPushAll(m.Records)
		for _, c := range m.Changes {
			n.mergeChange(c)
		}
	case KindDigest:
		return n.reconcile(m)
	case KindProbe:
		n.startProbe(m)
	case KindVerdict:
		n.handleVerdict(m)
	case KindClaim:
		n.decideClaim(m)
	}
	return Message{}
}

// Reply processes the reply to a call.
func (n *Node) Reply(now time.Duration, c Call, m Message) {
	n.advance(now)
	n.table.noteReachable(c.To)
	n.noteVersions(&m, c.To)
	switch c.Request.Kind {
	case KindDigest:
		n.continueExchange(c, m)
	case KindPing:
		n.handlePingResult(c, true)
	}
}

// Unreachable processes the failure or timeout of a call.
func (n *Node) Unreachable(now time.Duration, c Call) {
	n.advance(now)
	switch c.Request.Kind {
	case KindPush:
		n.pushToOtherPeer(c)
		n.suspectPeer(c.To)
	case KindDigest:
		n.suspectPeer(c.To)
	case KindPing:
		n.handlePingResult(c, false)
	case KindClaim:
		n.handleClaimFailure(c)
	}
}

// SetLoaded records that the records of all failure domains have been read from the store.
func (n *Node) SetLoaded() { n.loaded = true }

// Complete reports whether this balancer knows the records of all live processes: a balancer that did has
// sent it its table, or processes that the store did not list have had the time to announce themselves.
// An agent takes the list of a balancer that is not complete for no proof that a flow has no owner.
func (n *Node) Complete() bool {
	return n.synced || n.loaded && n.now >= n.cfg.HeartbeatInterval/2 || n.now >= n.cfg.SuspectAfter
}

// SetState changes the balancer's state and announces it.
func (n *Node) SetState(now time.Duration, s flow.State) {
	n.advance(now)
	if s == n.self.State {
		return
	}
	self := n.self
	self.State = s
	self.raiseVersion()
	n.announce(self)
}

// SetRevision announces that this balancer has the given revision of the lists.
func (n *Node) SetRevision(rev int64) {
	n.lists.note(rev, n.self.Control, n.cfg.PushRounds)
}

// SetRoutes announces that this balancer has the given version of the routes. The
// store confirmed at the time checked that this version was the newest.
func (n *Node) SetRoutes(version int64, checked time.Duration) {
	n.noteRoutes(version, checked, n.self.Control)
}

// noteRoutes records that the process at source has a version of the routes and when the store
// confirmed it. The time of an earlier version is not kept: a store that has returned from an
// older copy confirms that version although a later one exists.
func (n *Node) noteRoutes(version int64, checked time.Duration, source netip.AddrPort) {
	switch {
	case version > n.routes.version:
		n.routesChecked = checked
	case version > 0 && version == n.routes.version:
		n.routesChecked = max(n.routesChecked, checked)
	}
	n.routes.note(version, source, n.cfg.PushRounds)
}

// RoutesChecked returns the last known time at which the store confirmed to any process
// that the version returned by Routes was the newest. A peer reports a confirmation that is
// older than maxRoutesAge as that old, so the time may be later than the confirmation, but
// is then at least maxRoutesAge ago when the message arrives.
func (n *Node) RoutesChecked() time.Duration { return n.routesChecked }

// Routes returns the highest known version of the routes and the control address of a
// process that has it. The address may be zero.
func (n *Node) Routes() (int64, netip.AddrPort) { return n.routes.version, n.routes.source }

// addVersions adds the highest known versions of the lists and the routes to a message, and a former
// idle limit.
func (n *Node) addVersions(m *Message) {
	m.Revision, m.Routes = n.lists.version, n.routes.version
	if m.Routes > 0 {
		m.RoutesAge = uint32(min((n.now - n.routesChecked).Milliseconds(), maxRoutesAge))
	}
	n.addIdleLimits(m)
}

// maxRoutesAge is the upper limit of Message.RoutesAge, in milliseconds.
const maxRoutesAge = 60_000

func (n *Node) noteVersions(m *Message, source netip.AddrPort) {
	n.noteIdleLimits(m)
	n.noteEvacuations(m, source)
	n.lists.note(m.Revision, source, n.cfg.PushRounds)
	n.noteRoutes(m.Routes, n.now-time.Duration(m.RoutesAge)*time.Millisecond, source)
}

// Revision returns the highest known revision of the lists and the control address
// of a process that has it. The address is zero if the revision was received in a
// request without a sender address.
func (n *Node) Revision() (int64, netip.AddrPort) {
	return n.lists.version, n.lists.source
}

// SetSeeds replaces the seed addresses.
func (n *Node) SetSeeds(seeds []netip.AddrPort) { n.cfg.Seeds = seeds }

// Table returns the table of all records. The caller must not merge records into it;
// use Load instead.
func (n *Node) Table() *Table { return n.table }

// Self returns the balancer's record as last announced.
func (n *Node) Self() Record { return n.self }

// Load merges records that were read from the store's shards. They are neither pushed to
// balancers nor relayed to agents; balancers that lack some of them receive them by
// anti-entropy, and agents with the replies to their heartbeats.
func (n *Node) Load(now time.Duration, records []Record) {
	n.advance(now)
	for _, r := range records {
		n.mergeOrRefute(r)
	}
}

func (n *Node) advance(now time.Duration) {
	invariant(now >= n.now, "time went from %v back to %v", n.now, now)
	n.now, n.table.now = now, now
}

// enqueue queues a call. The current Step returns it if enqueue is called from Step;
// otherwise the next Step does. Calls to this balancer or to no address are dropped.
func (n *Node) enqueue(to netip.AddrPort, m Message) {
	if to.IsValid() && to != n.self.Control {
		n.out = append(n.out, Call{To: to, Request: m})
	}
}
