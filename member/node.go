package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// expiryPause is the time between two looks through the whole table.
const expiryPause = 10 * time.Second

// Node is the membership protocol of a balancer. It is not safe for concurrent
// use. The daemon calls Step about ten times a second.
type Node struct {
	cfg      Config
	self     Record
	rng      *rand.Rand
	table    *Table
	now      time.Duration
	out      []Call // waiting for the next Step
	rumours  map[string]*rumour
	revision revision
	watch    watch
	exchange time.Duration // time of the next anti-entropy exchange
	behind   bool          // the last exchange brought as many records as one may
	expiry   time.Duration // time of the next look for records to remove
	grantors map[string]Grantor
}

// revision is the highest revision of the active lists that is known, and a
// process that has it.
type revision struct {
	number int64
	source netip.AddrPort
	rumour rumour
}

// NewNode returns the protocol of the balancer self. A zero incarnation is
// replaced with a random one.
func NewNode(cfg Config, self Record, rng *rand.Rand) *Node {
	self.Role = RoleBalancer
	if self.Incarnation == 0 {
		self.Incarnation = rng.Uint64() | 1
	}
	n := &Node{
		cfg:     cfg.withDefaults(),
		rng:     rng,
		table:   NewTable(),
		rumours: make(map[string]*rumour),
		watch:   newWatch(),
	}
	n.announce(self)
	return n
}

// Step advances the protocol to now and returns the calls to make.
func (n *Node) Step(now time.Duration) []Call {
	n.advance(now)
	n.pushRumours()
	n.startExchange()
	n.checkSilence()
	n.settleSuspicions()
	if now >= n.expiry {
		n.table.expire(now, n.cfg.RemoveAfter)
		n.expiry = now + expiryPause
	}
	out := n.out
	n.out = nil
	for i := range out {
		out[i].Request.Revision = n.revision.number
	}
	return out
}

// Handle serves a request and returns the reply.
func (n *Node) Handle(now time.Duration, m Message) Message {
	n.advance(now)
	n.noteRevision(m.Revision, m.From)
	reply := n.serve(m)
	reply.Revision = n.revision.number
	return reply
}

func (n *Node) serve(m Message) Message {
	switch m.Kind {
	case KindHeartbeat:
		return n.serveHeartbeat(m)
	case KindPush:
		n.mergeAll(m.Records)
		for _, c := range m.Changes {
			n.mergeChange(c)
		}
	case KindDigest:
		return n.reconcile(m)
	case KindProbe:
		n.startProbe(m)
	case KindVerdict:
		n.takeVerdict(m)
	case KindClaim:
		n.decideClaim(m)
	}
	return Message{}
}

// Reply takes the answer to a call.
func (n *Node) Reply(now time.Duration, c Call, m Message) {
	n.advance(now)
	n.noteRevision(m.Revision, c.To)
	switch c.Request.Kind {
	case KindDigest:
		n.continueExchange(c, m)
	case KindPing:
		n.pinged(c, true)
	}
}

// Unreachable says that a call failed or timed out.
func (n *Node) Unreachable(now time.Duration, c Call) {
	n.advance(now)
	switch c.Request.Kind {
	case KindPush:
		n.pushElsewhere(c)
		n.suspectPeer(c.To)
	case KindDigest:
		n.suspectPeer(c.To)
	case KindPing:
		n.pinged(c, false)
	case KindClaim:
		n.claimElsewhere(c)
	}
}

// SetState announces a new state of this balancer.
func (n *Node) SetState(now time.Duration, s flow.State) {
	n.advance(now)
	if s == n.self.State {
		return
	}
	self := n.self
	self.State = s
	self.Version++
	n.announce(self)
}

// SetRevision announces that this balancer has the given revision of the lists.
func (n *Node) SetRevision(rev int64) {
	n.noteRevision(rev, n.self.Control)
}

// Revision returns the highest known revision of the lists and the control
// address of a process that knows it. The address is zero when it came with a
// request that names no sender.
func (n *Node) Revision() (int64, netip.AddrPort) {
	return n.revision.number, n.revision.source
}

// Table returns the records. The caller must not merge into it; use Load.
func (n *Node) Table() *Table { return n.table }

// Self returns this balancer's record as announced.
func (n *Node) Self() Record { return n.self }

// Load merges records that were read from the store's shards. They are not
// pushed: all running balancers know them already.
func (n *Node) Load(now time.Duration, records []Record) {
	n.advance(now)
	for _, r := range records {
		n.take(r)
	}
}

func (n *Node) advance(now time.Duration) {
	invariant(now >= n.now, "time went from %v back to %v", n.now, now)
	n.now, n.table.now = now, now
}

func (n *Node) send(to netip.AddrPort, m Message) {
	if to.IsValid() && to != n.self.Control {
		n.out = append(n.out, Call{To: to, Request: m})
	}
}
