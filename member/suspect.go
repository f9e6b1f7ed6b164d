package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// observers is the number of other balancers that probe a suspected process.
const observers = 2

// pingAttempts is the number of consecutive pings that must fail before a process is
// considered unreachable. With one ping, false claims were common at a message loss
// of 10%.
const pingAttempts = 2

// watch is the state of a balancer's failure detector.
type watch struct {
	heard    map[string]time.Duration // time of the last heartbeat or ping reply of each watched agent
	suspects map[string]*suspicion
	probes   map[string][]netip.AddrPort // balancers that requested a probe of the named process
	missed   map[string]int              // consecutive failed pings
	cursor   int                         // position of the sweep for unwatched agents
}

// suspicion is the state of the check whether a suspected process has failed.
type suspicion struct {
	pinged   bool          // this balancer's own pings have failed
	deadline time.Duration // for the other observers' verdicts
	dead     []string      // control addresses of observers that could not reach the process
	claimed  bool          // the claim has been sent to the arbiter
}

func newWatch() watch {
	return watch{
		heard:    make(map[string]time.Duration),
		suspects: make(map[string]*suspicion),
		probes:   make(map[string][]netip.AddrPort),
		missed:   make(map[string]int),
	}
}

// heard records that a process is alive and ends any suspicion of it.
func (n *Node) heard(name string) {
	if r, known := n.table.Get(name); known && r.Role == RoleUpstream {
		n.watch.heard[name] = n.now
	}
	delete(n.watch.suspects, name)
}

// checkSilence suspects the watched agents whose heartbeats are overdue.
func (n *Node) checkSilence() {
	n.sweep()
	for _, name := range slices.Sorted(maps.Keys(n.watch.heard)) {
		if n.now-n.watch.heard[name] < n.cfg.Silence || n.watch.suspects[name] != nil {
			continue
		}
		r, known := n.table.Get(name)
		if !known || r.Gone() || !n.isHome(&r) {
			delete(n.watch.heard, name)
			continue
		}
		n.suspect(&r)
	}
}

// sweep scans a part of the table for agents that this balancer is a home of but does
// not watch yet, and starts to watch them. There are such agents after an agent and
// its homes have failed at the same time.
func (n *Node) sweep() {
	n.table.sortEntries()
	all := n.table.order
	stepsPerSweep := int(n.cfg.Sweep / (100 * time.Millisecond))
	count := min(len(all), max(16, len(all)/max(1, stepsPerSweep)))
	for range count {
		n.watch.cursor = (n.watch.cursor + 1) % len(all)
		r := &all[n.watch.cursor].record
		_, watched := n.watch.heard[r.Name]
		if r.Role == RoleUpstream && !watched && !r.Gone() && n.isHome(r) {
			n.watch.heard[r.Name] = n.now
		}
	}
}

func (n *Node) isHome(r *Record) bool {
	if r.FailureDomain != n.self.FailureDomain && n.table.balancerLists().domains[r.FailureDomain] != nil {
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
		if b.Control == control && !b.Gone() && n.watch.suspects[b.Name] == nil {
			n.suspect(&b)
		}
	}
}

// suspect starts the check of a process with a ping by this balancer: missing
// heartbeats alone may mean that the agent has chosen other homes.
func (n *Node) suspect(r *Record) {
	n.watch.suspects[r.Name] = &suspicion{deadline: n.now + pingAttempts*n.cfg.ProbeWait}
	n.ping(r.Name, r.Control)
}

func (n *Node) ping(name string, control netip.AddrPort) {
	n.send(control, Message{Kind: KindPing, Name: name})
}

// startProbe pings a process on behalf of another balancer.
func (n *Node) startProbe(m Message) {
	if len(n.watch.probes[m.Name]) == 0 {
		n.ping(m.Name, m.Target)
	}
	n.watch.probes[m.Name] = append(n.watch.probes[m.Name], m.From)
}

// pinged processes the outcome of a ping.
func (n *Node) pinged(c Call, alive bool) {
	name := c.Request.Name
	s := n.watch.suspects[name]
	if !alive {
		n.watch.missed[name]++
		if s != nil && n.watch.missed[name] == 1 {
			// The observers' pings run in parallel with this balancer's second ping.
			n.askObservers(name, c.To)
		}
		if n.watch.missed[name] < pingAttempts {
			n.ping(name, c.To)
			return
		}
	}
	delete(n.watch.missed, name)
	for _, asker := range n.watch.probes[name] {
		n.send(asker, Message{Kind: KindVerdict, From: n.self.Control, Name: name, Alive: alive})
	}
	delete(n.watch.probes, name)
	switch {
	case alive:
		n.heard(name)
	case s != nil && !s.pinged:
		s.pinged = true
		s.deadline = n.now + n.cfg.ProbeWait
	}
}

func (n *Node) askObservers(name string, target netip.AddrPort) {
	for _, o := range n.chooseObservers(name) {
		n.send(o, Message{Kind: KindProbe, From: n.self.Control, Name: name, Target: target})
	}
}

// chooseObservers picks random live balancers, preferably of other failure domains.
func (n *Node) chooseObservers(suspect string) []netip.AddrPort {
	var far, near []netip.AddrPort
	for _, b := range n.table.liveBalancers() {
		switch {
		case b.Name == n.self.Name || b.Name == suspect:
		case b.FailureDomain != n.self.FailureDomain:
			far = append(far, b.Control)
		default:
			near = append(near, b.Control)
		}
	}
	chosen := n.sample(far, observers)
	return append(chosen, n.sample(near, observers-len(chosen))...)
}

// takeVerdict processes the verdict of another observer. If that observer reached the
// process, the suspicion ends.
func (n *Node) takeVerdict(m Message) {
	s := n.watch.suspects[m.Name]
	switch {
	case s == nil:
	case m.Alive:
		n.heard(m.Name)
	case !slices.Contains(s.dead, m.From.String()):
		s.dead = append(s.dead, m.From.String())
	}
}

// settleSuspicions sends the claim for each suspected process once all observers have
// reported or the deadline has passed. It drops suspicions that no other observer
// confirmed.
func (n *Node) settleSuspicions() {
	for _, name := range slices.Sorted(maps.Keys(n.watch.suspects)) {
		s := n.watch.suspects[name]
		if n.now < s.deadline && (!s.pinged || len(s.dead) < observers) {
			continue
		}
		r, known := n.table.Get(name)
		if !known || r.Gone() || s.claimed || !s.pinged || len(s.dead) == 0 {
			n.dropSuspicion(name)
			continue
		}
		s.claimed = true
		s.deadline = n.now + n.cfg.ProbeWait
		n.claim(r, append([]string{n.self.Control.String()}, s.dead...))
	}
}

// dropSuspicion ends a suspicion. A watched agent is suspected again if no heartbeat
// arrives for another Config.Silence.
func (n *Node) dropSuspicion(name string) {
	delete(n.watch.suspects, name)
	if _, watched := n.watch.heard[name]; watched {
		n.watch.heard[name] = n.now
	}
}

// claim sends the evidence to the arbiter. One balancer decides all claims for a
// service, so that concurrent claims cannot exceed the limit of failed processes.
func (n *Node) claim(r Record, observers []string) {
	m := Message{Kind: KindClaim, From: n.self.Control, Records: []Record{r}, Name: r.Name, Observers: observers}
	arbiter := n.arbiter(&r)
	if arbiter == n.self.Control {
		n.decideClaim(m)
		return
	}
	n.send(arbiter, m)
}

// claimElsewhere suspects an arbiter that did not respond. The claim is repeated
// after the process has been suspected again; by then the arbiter has a successor.
func (n *Node) claimElsewhere(c Call) {
	n.suspectPeer(c.To)
	n.dropSuspicion(c.Request.Name)
}

// arbiter returns the control address of the balancer that decides claims for the
// record's service or, if the record is a balancer's, for all balancers.
func (n *Node) arbiter(r *Record) netip.AddrPort {
	key := "arbiter of " + r.Service
	if r.Role == RoleBalancer {
		key = "arbiter of balancers"
	}
	for _, b := range n.table.balancerLists().live.rank(key, 2) {
		if b.Name != r.Name {
			return b.Control
		}
	}
	return n.self.Control
}

// decideClaim marks a process as failed if two observers agree, the claim is based on
// the current record and the limit of failed processes allows it. Otherwise the claim
// is ignored and must be repeated.
func (n *Node) decideClaim(m Message) {
	slices.Sort(m.Observers)
	if len(slices.Compact(m.Observers)) < 2 || len(m.Records) != 1 {
		return
	}
	r, known := n.table.Get(m.Name)
	if !known || r.Gone() || Compare(&r, &m.Records[0]) != 0 || !n.mayFail(&r) {
		return
	}
	r.State = flow.Failed
	r.Version++
	n.merge(r)
}

// mayFail reports whether a process may be marked as failed: afterwards at most half
// of the ready and failed processes of its group may be failed. A process that is not
// ready receives no new work and may always be marked.
func (n *Node) mayFail(r *Record) bool {
	if r.State != flow.Ready {
		return true
	}
	group := n.table.Balancers()
	if r.Role == RoleUpstream {
		group = n.table.ServiceMembers(r.Service)
	}
	ready, failed := 0, 0
	for i := range group {
		switch group[i].State {
		case flow.Ready:
			ready++
		case flow.Failed:
			failed++
		}
	}
	return 2*(failed+1) <= failed+ready
}
