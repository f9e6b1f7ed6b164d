package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// proberCount is the number of probers: other balancers that are requested to ping a
// suspected process.
const proberCount = 2

// pingAttempts is the number of consecutive pings that must fail before a process is
// considered unreachable. With one ping, false claims were common at a message loss
// of 10%.
const pingAttempts = 2

// failureDetector is the state of a balancer's failure detector.
type failureDetector struct {
	// awaitedSince maps each agent that this balancer watches to the time from which its
	// silence is counted: that of its last sign of life, of the start of the watch by sweep
	// or of the end of the last suspicion. A sign of life is a heartbeat, an answered ping or
	// a prober's verdict that the agent is alive. A balancer watches the agents that it is a
	// home of once sweep has found them or they have given a sign of life, and every other
	// agent that has given one, until that agent has been silent for Config.SuspectAfter.
	awaitedSince map[string]time.Duration
	suspects     map[string]*suspicion
	checks       map[string]*check // by name of the pinged process
	cursor       int               // position of the sweep for unwatched agents
}

// check is a series of up to pingAttempts pings of a process, each sent after the previous one
// has failed. Own suspicion and requests of other balancers share it: two pings at the same
// time would fail together if the process is not scheduled for a moment.
type check struct {
	failed     int              // failed pings
	heard      bool             // the process has given a sign of life since the first ping
	requesters []netip.AddrPort // balancers that requested a probe
}

// suspicion is the state of the check whether a suspected process has failed.
type suspicion struct {
	unreachable     bool // this balancer's own pings have failed
	probesRequested bool
	// deadline is set three times: for this balancer's own pings, then for the probers'
	// verdicts, and after the claim for the process to be marked as failed.
	deadline time.Duration
	// confirmedBy holds the control addresses of the probers that could not reach the
	// process. The claim carries them and this balancer's address as Message.Observers.
	confirmedBy []string
	claimed     bool // the claim has been sent to the arbiter
}

func newFailureDetector() failureDetector {
	return failureDetector{
		awaitedSince: make(map[string]time.Duration),
		suspects:     make(map[string]*suspicion),
		checks:       make(map[string]*check),
	}
}

// markAlive ends any suspicion of a process that has given a sign of life. An agent is
// watched from then on, and its silence is counted from now.
func (n *Node) markAlive(name string) {
	if r, known := n.table.Get(name); known {
		if r.Role == RoleUpstream {
			n.detector.awaitedSince[name] = n.now
		}
		n.table.noteReachable(r.Control)
	}
	delete(n.detector.suspects, name)
	if c := n.detector.checks[name]; c != nil {
		c.heard = true
	}
}

// checkHeartbeats suspects the watched agents whose heartbeats are overdue, and stops
// watching those that this balancer is not a home of.
func (n *Node) checkHeartbeats() {
	n.sweep()
	for _, name := range slices.Sorted(maps.Keys(n.detector.awaitedSince)) {
		if n.now-n.detector.awaitedSince[name] < n.cfg.SuspectAfter || n.detector.suspects[name] != nil {
			continue
		}
		r, known := n.table.Get(name)
		if !known || r.Gone() || !n.isHome(&r) {
			delete(n.detector.awaitedSince, name)
			continue
		}
		if !n.restarting(&r) {
			n.suspect(&r)
		}
	}
}

// sweep scans a part of the table for agents that this balancer is a home of but does
// not watch yet, and starts to watch them. There are such agents after an agent and
// its homes have failed at the same time.
func (n *Node) sweep() {
	n.table.sortEntries()
	all := n.table.order
	stepsPerSweep := int(n.cfg.SweepInterval / (100 * time.Millisecond))
	count := min(len(all), max(16, len(all)/max(1, stepsPerSweep)))
	for range count {
		n.detector.cursor = (n.detector.cursor + 1) % len(all)
		r := &all[n.detector.cursor].record
		_, watched := n.detector.awaitedSince[r.Name]
		if r.Role == RoleUpstream && !watched && !r.Gone() && n.isHome(r) {
			n.detector.awaitedSince[r.Name] = n.now
		}
	}
}

// restarting reports whether an agent has announced that it restarts, and may still do so.
// Its silence proves nothing: its upstream runs and holds its flows. It receives no new flows.
func (n *Node) restarting(r *Record) bool {
	e := n.table.byName[r.Name]
	return e != nil && r.State == flow.AgentRestarting && n.now-e.since < n.cfg.RestartTimeout
}

func (n *Node) isHome(r *Record) bool {
	if r.FailureDomain != n.self.FailureDomain && n.table.balancerIndex().domains[r.FailureDomain] != nil {
		return false
	}
	for _, b := range n.table.homes(r.Name, r.FailureDomain, n.cfg.Homes) {
		if b.Name == n.self.Name {
			return true
		}
	}
	return false
}

// suspectPeer suspects the balancer whose control address did not respond.
func (n *Node) suspectPeer(control netip.AddrPort) {
	for _, b := range n.table.Balancers() {
		if b.Control == control && !b.Gone() && n.detector.suspects[b.Name] == nil {
			n.suspect(&b)
		}
	}
}

// suspect starts the check of a process with a ping by this balancer: missing
// heartbeats alone may mean that the agent has chosen other homes.
func (n *Node) suspect(r *Record) {
	n.detector.suspects[r.Name] = &suspicion{deadline: n.now + pingAttempts*n.cfg.VerdictTimeout}
	n.startCheck(r.Name, r.Control)
}

// startCheck returns the check of a process that is in progress, or starts one. It returns nil
// if this balancer can't send pings to the address.
func (n *Node) startCheck(name string, target netip.AddrPort) *check {
	c := n.detector.checks[name]
	if c == nil && target.IsValid() && target != n.self.Control {
		c = &check{}
		n.detector.checks[name] = c
		n.ping(name, target)
	}
	return c
}

func (n *Node) ping(name string, control netip.AddrPort) {
	n.enqueue(control, Message{Kind: KindPing, Name: name})
}

// startProbe pings a process on behalf of another balancer.
func (n *Node) startProbe(m Message) {
	if c := n.startCheck(m.Name, m.Target); c != nil {
		c.requesters = append(c.requesters, m.From)
	}
}

// handlePingResult processes the outcome of a ping.
func (n *Node) handlePingResult(c Call, answered bool) {
	name := c.Request.Name
	progress, s := n.detector.checks[name], n.detector.suspects[name]
	if progress == nil {
		return
	}
	if !answered && !progress.heard {
		progress.failed++
		if s != nil && !s.probesRequested {
			// The probers' pings run in parallel with this balancer's second ping.
			s.probesRequested = true
			n.requestProbes(name, c.To)
		}
		if progress.failed < pingAttempts {
			n.ping(name, c.To)
			return
		}
	}
	delete(n.detector.checks, name)
	alive := answered || progress.heard
	for _, requester := range progress.requesters {
		n.enqueue(requester, Message{Kind: KindVerdict, From: n.self.Control, Name: name, Alive: alive})
	}
	switch {
	case answered:
		n.markAlive(name)
	case !alive:
		if r, known := n.table.Get(name); known && r.Role == RoleBalancer {
			n.table.noteUnreachable(c.To)
		}
		if s != nil && !s.unreachable {
			s.unreachable = true
			s.deadline = n.now + n.cfg.VerdictTimeout
		}
	}
}

func (n *Node) requestProbes(name string, target netip.AddrPort) {
	for _, o := range n.chooseProbers(name) {
		n.enqueue(o, Message{Kind: KindProbe, From: n.self.Control, Name: name, Target: target})
	}
}

// chooseProbers picks random live balancers, preferably of other failure domains.
func (n *Node) chooseProbers(suspect string) []netip.AddrPort {
	var otherDomains, ownDomain []netip.AddrPort
	for _, b := range n.table.LiveBalancers() {
		switch {
		case b.Name == n.self.Name || b.Name == suspect:
		case b.FailureDomain != n.self.FailureDomain:
			otherDomains = append(otherDomains, b.Control)
		default:
			ownDomain = append(ownDomain, b.Control)
		}
	}
	chosen := n.sample(otherDomains, proberCount)
	return append(chosen, n.sample(ownDomain, proberCount-len(chosen))...)
}

// handleVerdict processes the verdict of a prober. If the prober reached the process, the
// suspicion ends.
func (n *Node) handleVerdict(m Message) {
	s := n.detector.suspects[m.Name]
	switch {
	case s == nil:
	case m.Alive:
		n.markAlive(m.Name)
	case !slices.Contains(s.confirmedBy, m.From.String()):
		s.confirmedBy = append(s.confirmedBy, m.From.String())
	}
}

// resolveSuspicions decides each suspicion whose deadline has passed, or that both this
// balancer's pings and proberCount probers have confirmed. It drops the suspicion if this
// balancer's pings have not failed, no prober has confirmed it, the claim has already been
// sent, or the process is gone or unknown. Otherwise it sends the claim.
func (n *Node) resolveSuspicions() {
	for _, name := range slices.Sorted(maps.Keys(n.detector.suspects)) {
		s := n.detector.suspects[name]
		if n.now < s.deadline && (!s.unreachable || len(s.confirmedBy) < proberCount) {
			continue
		}
		r, known := n.table.Get(name)
		if !known || r.Gone() || s.claimed || !s.unreachable || len(s.confirmedBy) == 0 {
			n.dropSuspicion(name)
			continue
		}
		s.claimed = true
		s.deadline = n.now + n.cfg.VerdictTimeout
		n.claim(r, append([]string{n.self.Control.String()}, s.confirmedBy...))
	}
}

// dropSuspicion ends a suspicion. A watched agent is suspected again if no heartbeat
// arrives for another Config.SuspectAfter.
func (n *Node) dropSuspicion(name string) {
	delete(n.detector.suspects, name)
	if _, watched := n.detector.awaitedSince[name]; watched {
		n.detector.awaitedSince[name] = n.now
	}
}

// claim sends the evidence to the arbiter. While the balancers agree on the arbiter, one
// balancer decides all claims for a service, so that concurrent claims cannot exceed the
// limit of failed processes. Balancers with different tables, such as the two sides of a
// partition, may choose different arbiters, each of which applies the limit by itself.
func (n *Node) claim(r Record, observers []string) {
	m := Message{Kind: KindClaim, From: n.self.Control, Records: []Record{r}, Name: r.Name, Observers: observers}
	arbiter := n.arbiter(&r)
	n.noteVerdict(&r, false, observers, arbiter)
	if arbiter == n.self.Control {
		n.decideClaim(m)
		return
	}
	n.enqueue(arbiter, m)
}

// handleClaimFailure suspects an arbiter that did not respond. The claim is repeated
// after the process has been suspected again. It goes to another arbiter if the first
// has been marked as failed by then.
func (n *Node) handleClaimFailure(c Call) {
	n.suspectPeer(c.To)
	n.dropSuspicion(c.Request.Name)
}

// arbiter returns the control address of the balancer that decides claims for the
// record's service or, if the record is a balancer's, for all balancers, as selected from
// this balancer's table.
func (n *Node) arbiter(r *Record) netip.AddrPort {
	key := "arbiter of " + r.Service
	if r.Role == RoleBalancer {
		key = "arbiter of balancers"
	}
	for _, b := range n.table.balancerIndex().live.rank(key, 2) {
		if b.Name != r.Name {
			return b.Control
		}
	}
	return n.self.Control
}

// unreachableMarkAfter is how long the arbiter itself must have been unable to reach a balancer
// to mark it beyond the limit of failed balancers. It exceeds the time in which a fleet that has
// lost power is back.
const unreachableMarkAfter = 30 * time.Second

// decideClaim marks a process as failed if at least two balancers could not reach it, it is
// not restarting, the claim is based on the record in this balancer's table and the limit of
// failed processes allows it. A balancer that this one has been unable to reach for
// unreachableMarkAfter is marked beyond the limit: after the loss of most balancers the others
// would otherwise keep the records of the lost ones for good. A live one refutes the mark. Otherwise the claim is ignored and must be repeated. It does not check that
// this balancer is the arbiter.
func (n *Node) decideClaim(m Message) {
	slices.Sort(m.Observers)
	if len(slices.Compact(m.Observers)) < 2 || len(m.Records) != 1 {
		return
	}
	r, known := n.table.Get(m.Name)
	if !known || r.Gone() || Compare(&r, &m.Records[0]) != 0 || n.restarting(&r) {
		return
	}
	if !n.failureAllowed(&r) && n.table.UnreachableFor(r.Control) < unreachableMarkAfter {
		return
	}
	n.noteVerdict(&r, true, m.Observers, m.From)
	r.State = flow.Failed
	r.raiseVersion()
	n.mergeAndPush(r)
}

// failureAllowed reports whether a process may be marked as failed: afterwards at most half
// of the ready and failed upstreams of its service, or of all ready and failed balancers,
// may be failed. A process that is not ready receives no new work and may always be marked.
func (n *Node) failureAllowed(r *Record) bool {
	if r.State != flow.Ready {
		return true
	}
	peers := n.table.Balancers()
	if r.Role == RoleUpstream {
		peers = n.table.ServiceMembers(r.Service)
	}
	ready, failed := 0, 0
	for i := range peers {
		switch peers[i].State {
		case flow.Ready:
			ready++
		case flow.Failed:
			failed++
		}
	}
	return 2*(failed+1) <= failed+ready
}
