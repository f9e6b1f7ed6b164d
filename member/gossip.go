package member

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// maxPush limits the records in one push. The others wait for the next round.
const maxPush = 64

// anyPeerOdds sets how often an exchange goes to any known balancer, including failed
// ones, or to a seed: one exchange in anyPeerOdds on average. Such exchanges rejoin the
// two sides of a healed partition.
const anyPeerOdds = 8

// joinPhase is how long after its start a balancer runs exchanges more often, so
// that it soon receives the changes that were made while it was starting.
const joinPhase = 5 * time.Second

// pushState is the progress of pushing a record, the version of the lists or of the
// routes, or the evacuated domains, to random peers in a limited number of rounds.
type pushState struct {
	roundsLeft int           // remaining rounds
	nextRound  time.Duration // time of the next round
	fullRecord bool          // the full record is pushed instead of a Change
}

// due reports whether a push round is due.
func (p *pushState) due(now time.Duration) bool { return p.roundsLeft > 0 && now >= p.nextRound }

// pushed records a completed push round and schedules the next.
func (p *pushState) pushed(next time.Duration) {
	p.roundsLeft--
	p.nextRound = next
}

// mergeOrRefute merges a record, or refutes it if it has this balancer's name and conflicts
// with its own record. It reports whether the record was merged.
func (n *Node) mergeOrRefute(r Record) bool {
	if r.Name == n.self.Name {
		if own, needed := refute(n.self, &r); needed {
			n.announce(own)
		}
		return false
	}
	return n.table.Merge(r)
}

// announce installs a new version of this balancer's own record and starts to push
// it.
func (n *Node) announce(self Record) {
	old := n.self
	n.self = self
	merged := n.table.Merge(self)
	invariant(merged, "own record of %q is not newer than the known one", self.Name)
	n.startPush(old, self)
}

// PushCompleted reports whether the current record has been pushed in all its rounds,
// or there is no other balancer and no seed to push it to. A leaving balancer waits for this before
// it exits.
func (n *Node) PushCompleted() bool {
	_, pending := n.pushes[n.self.Name]
	alone := len(n.cfg.Seeds) == 0 && !slices.ContainsFunc(n.table.LiveBalancers(), func(b Record) bool { return b.Name != n.self.Name })
	return !pending || alone
}

// mergeAndPush merges a record and, if it was new, starts to push it to balancers and
// relays it to agents.
func (n *Node) mergeAndPush(r Record) bool {
	old, _ := n.table.Get(r.Name)
	if !n.mergeOrRefute(r) {
		return false
	}
	n.startPush(old, r)
	n.queueRelay(r)
	return true
}

// mergeChange applies a change to this balancer's copy of the record. It ignores
// the change if the result does not have the expected hash.
func (n *Node) mergeChange(c Change) {
	e := n.table.byHash[c.ID]
	if e == nil {
		return
	}
	r := e.record
	r.Epoch, r.Version, r.State = c.Epoch, c.Version, flow.State(c.State)
	if uint32(r.sum()) == c.Sum {
		n.mergeAndPush(r)
	}
}

func (n *Node) mergeAndPushAll(records []Record) {
	for _, r := range records {
		n.mergeAndPush(r)
	}
}

// startPush starts to push a record. If an earlier version is still being pushed as a
// full record, some peers do not have it yet, so the new version is pushed as a full
// record too.
func (n *Node) startPush(old, r Record) {
	earlier := n.pushes[r.Name]
	full := !isChange(old, r) || earlier != nil && earlier.fullRecord
	n.pushes[r.Name] = &pushState{roundsLeft: n.cfg.PushRounds, fullRecord: full}
}

// sendPushes sends a push to FanOut random peers if a round is due for any record, the
// version of the lists, that of the routes or the evacuated domains.
func (n *Node) sendPushes() {
	due := n.duePushes()
	lists, routes, evacuations := n.lists.push.due(n.now), n.routes.push.due(n.now), n.evacuations.push.due(n.now)
	if len(due) == 0 && !lists && !routes && !evacuations {
		return
	}
	peers := n.randomPeers(n.cfg.FanOut)
	if len(peers) == 0 {
		return
	}
	// Step adds the versions of the lists and of the routes and the evacuated domains to
	// every message, so only the rounds are counted here.
	if lists {
		n.lists.push.pushed(n.now + n.cfg.PushInterval)
	}
	if routes {
		n.routes.push.pushed(n.now + n.cfg.PushInterval)
	}
	if evacuations {
		n.evacuations.push.pushed(n.now + n.cfg.PushInterval)
	}
	for _, p := range peers {
		n.enqueue(p, n.push(due))
	}
	n.finishRound(due)
}

// push returns a push message with the named records.
func (n *Node) push(names []string) Message {
	m := Message{Kind: KindPush, From: n.self.Control}
	for _, name := range names {
		e := n.table.byName[name]
		if n.pushes[name].fullRecord {
			m.Records = append(m.Records, e.record)
		} else {
			m.Changes = append(m.Changes, changeOf(e))
		}
	}
	return m
}

func (n *Node) duePushes() []string {
	var due []string
	// Ordered by name, so that runs with the same random seed are reproducible.
	for _, name := range slices.Sorted(maps.Keys(n.pushes)) {
		if n.table.byName[name] == nil {
			delete(n.pushes, name)
			continue
		}
		if n.now >= n.pushes[name].nextRound && len(due) < maxPush {
			due = append(due, name)
		}
	}
	return due
}

func (n *Node) finishRound(pushed []string) {
	for _, name := range pushed {
		state := n.pushes[name]
		state.roundsLeft--
		state.nextRound = n.now + n.cfg.PushInterval
		if state.roundsLeft <= 0 {
			delete(n.pushes, name)
		}
	}
}

// pushToOtherPeer resends a failed push to another random peer. If no other balancer can be reached, it
// does not: each of several pushes to unreachable ones would fail and be sent again to several.
func (n *Node) pushToOtherPeer(c Call) {
	if !n.isBalancer(c.To) || len(n.table.LiveBalancers()) <= 1 {
		return
	}
	for _, p := range n.randomPeers(1) {
		if p != c.To {
			n.enqueue(p, c.Request)
		}
	}
}

// randomPeers returns the control addresses of up to count other live balancers. If there
// is none, it returns all seeds and up to count of the balancers that are unreachable, which may
// be this balancer's own fault.
func (n *Node) randomPeers(count int) []netip.AddrPort {
	live := n.table.LiveBalancers()
	var out []netip.AddrPort
	// Drawing at random avoids copying all addresses. Draws that hit this balancer or
	// a chosen peer may leave fewer than count peers; later rounds make up for that.
	for range 3 * count {
		if len(live) == 0 || len(out) == count {
			break
		}
		p := live[n.rng.IntN(len(live))].Control
		if p != n.self.Control && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	if len(out) == 0 && len(live) <= 1 {
		return append(slices.Clone(n.cfg.Seeds), n.sample(n.unreachablePeers(), count)...)
	}
	return out
}

// unreachablePeers returns the control addresses of the balancers that this one cannot reach
// and that are not gone.
func (n *Node) unreachablePeers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range n.table.Balancers() {
		if !b.Gone() && n.table.isUnreachable(b.Control) {
			out = append(out, b.Control)
		}
	}
	return out
}

// anyPeer returns a random seed or balancer, including failed balancers.
func (n *Node) anyPeer() netip.AddrPort {
	all := n.table.Balancers()
	i := n.rng.IntN(len(all) + len(n.cfg.Seeds))
	if i < len(all) {
		return all[i].Control
	}
	return n.cfg.Seeds[i-len(all)]
}

// sample moves count randomly chosen elements to the front of all and returns them.
func (n *Node) sample(all []netip.AddrPort, count int) []netip.AddrPort {
	count = min(count, len(all))
	for i := range count {
		j := i + n.rng.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:count]
}

// startExchange starts an anti-entropy exchange with one random peer if one is due.
func (n *Node) startExchange() {
	if n.now < n.nextExchange {
		return
	}
	n.nextExchange = n.now + n.cfg.ExchangeInterval
	if n.now < joinPhase || n.behind {
		n.nextExchange = n.now + n.cfg.RetryInterval
	}
	peers := n.randomPeers(1)
	if n.rng.IntN(anyPeerOdds) == 0 {
		peers = []netip.AddrPort{n.anyPeer()}
	}
	for _, p := range n.sample(peers, 1) {
		n.enqueue(p, Message{Kind: KindDigest, From: n.self.Control, Digests: []Digest{n.table.Digest()}, Incomplete: !n.Complete(), ShortHistory: true})
	}
}

func (n *Node) continueExchange(c Call, m Message) {
	n.behind = len(m.Records) >= maxRecords
	next := n.reconcile(m)
	// Without further digests the reply has held all records that the peer has and this balancer lacked.
	wholeTable := len(c.Request.Digests) == 1 && c.Request.Digests[0].Part == 0
	if wholeTable && m.Kind == KindDigest && !m.Incomplete && len(m.Digests) == 0 && !n.behind {
		n.synced = true
	}
	if len(next.Records) > 0 || len(next.Digests) > 0 || len(next.Want) > 0 {
		next.From = n.self.Control
		n.enqueue(c.To, next)
	}
}

// reconcile performs one step of an exchange: it merges the peer's records and compares
// the peer's digests with the own ones. The returned message holds the records that the
// peer requested, the removed records whose tombstones suppress records of the peer, and
// for the parts that differ their records or the next digests. Unlike mergeAndPush, it
// relays the merged records to agents only and does not push them to balancers, which
// receive them in their own exchanges.
func (n *Node) reconcile(m Message) Message {
	out := Message{Kind: KindDigest, Incomplete: !n.Complete(), ShortHistory: true}
	n.answerWants(&out, m)
	for _, r := range m.Records {
		if n.mergeOrRefute(r) {
			n.queueRelay(r)
		}
	}
	out.Records = append(out.Records, n.removedRecords(m.Records)...)
	for _, d := range m.Digests {
		n.descend(&out, d)
	}
	return out
}

// removedRecords returns the removed records whose tombstones suppress any of the given
// records.
func (n *Node) removedRecords(records []Record) []Record {
	var out []Record
	for i := range records {
		if r, removed := n.table.removedRecord(&records[i]); removed {
			out = append(out, r)
		}
	}
	return out
}

// answerWants adds the records of the parts that the peer requested, except those that
// are not newer than the peer's.
func (n *Node) answerWants(out *Message, m Message) {
	peerRecords := make(map[string]*Record, len(m.Records))
	for i := range m.Records {
		peerRecords[m.Records[i].Name] = &m.Records[i]
	}
	for _, part := range m.Want {
		if !validPart(part) {
			continue
		}
		for _, e := range n.table.part(part) {
			known := peerRecords[e.record.Name]
			if len(out.Records) < maxRecords && (known == nil || Compare(&e.record, known) > 0) {
				out.Records = append(out.Records, e.record)
			}
		}
	}
}

// descend compares the peer's digest of a part with the own one. For each child that
// differs it adds the child's digest or, if the child is small or at the maximum depth,
// the child's records and a request for the peer's.
func (n *Node) descend(out *Message, d Digest) {
	if !validPart(d.Part) || partDepth(d.Part) >= maxDepth {
		return
	}
	own := n.table.digest(d.Part)
	for i := range own.Sums {
		if own.Sums[i] == d.Sums[i] || len(out.Records) >= maxRecords {
			continue
		}
		child := childPart(d.Part, i)
		entries := n.table.part(child)
		if len(entries) > leafRecords && partDepth(child) < maxDepth {
			out.Digests = append(out.Digests, n.table.digest(child))
			continue
		}
		out.Records = appendRecords(out.Records, entries)
		out.Want = append(out.Want, child)
	}
}
