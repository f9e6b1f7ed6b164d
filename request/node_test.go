package request

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// cluster is a set of nodes whose messages are lost, duplicated and reordered as drawn by
// rapid.
type cluster struct {
	t        *rapid.T
	now      time.Duration
	nodes    map[int]*Node
	inFlight []Message
	runs     map[Key]int
	outcomes map[submittedRequest]Outcome
	sent     map[submittedRequest]bool
	keys     map[submittedRequest]Key
	// failed holds the agents that are marked as failed; they may be running. rejoins counts how
	// often each agent was marked by mistake and has rejoined.
	failed   map[int]bool
	rejoins  map[int]uint64
	isolated map[int]bool // agents whose messages are lost; used by deliverAll only
}

type submittedRequest struct {
	node   *Node
	ticket Ticket
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, nodes: make(map[int]*Node), runs: make(map[Key]int), outcomes: make(map[submittedRequest]Outcome),
		sent: make(map[submittedRequest]bool), keys: make(map[submittedRequest]Key),
		failed: make(map[int]bool), rejoins: make(map[int]uint64)}
	for i := range 5 {
		c.nodes[i] = newTestNode(i, NodeConfig{Registrar: RegistrarConfig{NewService: true}}, 0, 1, 2, 3, 4)
	}
	return c
}

// flush collects messages and processes events: a started request runs immediately.
func (c *cluster) flush() {
	for i := range 5 {
		n := c.nodes[i]
		if n == nil {
			continue
		}
		messages, events := n.Take(c.now)
		c.inFlight = append(c.inFlight, messages...)
		for _, e := range events {
			at := submittedRequest{n, e.Ticket}
			if !e.Start {
				c.outcomes[at] = e.Outcome
				continue
			}
			n.Sent(e.Ticket)
			c.sent[at] = true
			c.runs[c.keys[at]]++
		}
	}
}

func (c *cluster) advance(d time.Duration) {
	c.now += d
	for i := range 5 {
		if n := c.nodes[i]; n != nil {
			n.Step(c.now)
		}
	}
	c.flush()
}

// deliver delivers a random message, and sometimes keeps a copy or drops it.
func (c *cluster) deliver() {
	if len(c.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.inFlight)-1).Draw(c.t, "message")
	m := c.inFlight[i]
	fate := rapid.IntRange(0, 39).Draw(c.t, "fate")
	if fate != 0 {
		c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	}
	if n := c.nodes[int(m.To.ID)-1]; n != nil && fate != 1 {
		n.Handle(c.now, m)
		c.flush()
	}
}

func (c *cluster) submit() {
	i := rapid.IntRange(0, 4).Draw(c.t, "agent")
	n := c.nodes[i]
	if n == nil {
		return
	}
	key := KeyOf("s", "c", string(rune('a'+rapid.IntRange(0, 2).Draw(c.t, "key"))))
	t := n.Submit(c.now, Request{Deadline: c.now + 10*time.Second, Key: key, Keyed: true})
	c.keys[submittedRequest{n, t}] = key
	c.flush()
}

// finish ends all running requests.
func (c *cluster) finish() {
	for at := range c.sent {
		if _, ended := c.outcomes[at]; !ended && c.nodes[int(at.node.self.ID)-1] == at.node {
			at.node.Finish(c.now, at.ticket, Done, ReasonNone, &Answer{Status: 200})
			at.node.Free(c.now, at.ticket)
		}
	}
	c.flush()
}

// changeMembership kills an agent, marks a running one as failed by mistake, lets such an agent
// rejoin, or lets one agent adopt the present membership.
func (c *cluster) changeMembership() {
	i := rapid.IntRange(0, 4).Draw(c.t, "changed")
	switch kind := rapid.IntRange(0, 11).Draw(c.t, "kind"); {
	case kind == 0 && len(c.nodes) > 3:
		delete(c.nodes, i)
		c.failed[i] = true
	case kind == 1 && len(c.failed) < 2:
		c.failed[i] = true
	case kind == 2 && c.failed[i] && c.nodes[i] != nil:
		delete(c.failed, i)
		c.rejoins[i]++
	default:
		c.adopt(i)
	}
}

// adopt lets an agent adopt the present membership. An agent always counts itself as running.
func (c *cluster) adopt(i int) {
	n := c.nodes[i]
	if n == nil {
		return
	}
	var list []Member
	for j := range 5 {
		if !c.failed[j] || j == i {
			m := member(j)
			m.Version = c.rejoins[j]
			list = append(list, m)
		}
	}
	n.SetMembers(c.now, list)
	c.flush()
}

// Guards against a key that runs twice, and against "not run" for a request that ran,
// under any order of messages, losses, duplicates, agent failures and membership changes, among
// them marks of running agents as failed.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.advance(ms)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 14).Draw(t, "action") {
			case 0:
				c.submit()
			case 1:
				c.changeMembership()
			case 2:
				c.finish()
			case 3, 4:
				c.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms)
			default:
				for range rapid.IntRange(1, 12).Draw(t, "messages") {
					c.deliver()
				}
			}
		}
		for key, n := range c.runs {
			if n > 1 {
				t.Fatalf("key %x ran %d times", key, n)
			}
		}
		for at, outcome := range c.outcomes {
			if outcome == NotRun && c.sent[at] {
				t.Fatalf("request %d was reported as not run but ran", at.ticket)
			}
		}
	})
}

// claimAtFirstRegistrar submits a keyed request whose claim reaches only the first registrar.
func (c *cluster) claimAtFirstRegistrar(i int, name string, p Pair) {
	c.submitKeyed(i, name)
	c.inFlight = slices.DeleteFunc(c.inFlight, func(m Message) bool { return m.To == p[1].Process })
	c.deliverAll()
}

// Guards against a second run by an agent that was marked as failed by mistake: it kept a grant
// that another attempt had released as one that its agent would never use.
func TestAgentMarkedAsFailedDoesNotRunWithReleasedGrant(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(nil)
	c.runFor(time.Second)
	key := KeyOf("s", "c", "k")
	p := c.nodes[0].registrar.current.pair(key)
	var others []int
	for i := range 5 {
		if !p.Has(process(i)) {
			others = append(others, i)
		}
	}
	marked, retry := others[0], others[1]
	c.claimAtFirstRegistrar(marked, "k", p)
	c.failed[marked] = true
	for i := range 5 {
		if i != marked {
			c.adopt(i)
		}
	}
	c.isolated = map[int]bool{marked: true}
	c.submitKeyed(retry, "k")
	c.runFor(200 * ms)
	// It rejoins when the agent of the other attempt is marked, which runs on.
	c.isolated = nil
	delete(c.failed, marked)
	c.failed[retry] = true
	for i := range 5 {
		if i != retry {
			c.adopt(i)
		}
	}
	c.runFor(4 * time.Second)
	g.Expect(c.runs[key]).To(BeNumerically("<=", 1))
}

// Guards against keys that nobody can run for the retention time because an agent died with the
// grant of one registrar.
func TestClaimOfDeadAgentIsReleasedAfterItsGrant(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(nil)
	c.runFor(time.Second)
	key := KeyOf("s", "c", "k")
	p := c.nodes[0].registrar.current.pair(key)
	dead := 0
	for p.Has(process(dead)) {
		dead++
	}
	c.claimAtFirstRegistrar(dead, "k", p)
	delete(c.nodes, dead)
	c.failed[dead] = true
	for i := range 5 {
		c.adopt(i)
	}
	early := c.submitKeyed((dead+1)%5, "k")
	c.runFor(1500 * ms)
	g.Expect(c.outcomes).To(HaveKeyWithValue(early, Unknown), "the agent may be running")
	c.runFor(maxGrantLifetime)
	c.submitKeyed((dead+1)%5, "k")
	c.runFor(time.Second)
	g.Expect(c.runs[key]).To(Equal(1))
}

// deliverAll delivers messages in order until none is left. Those from and to isolated agents are
// lost.
func (c *cluster) deliverAll() {
	for len(c.inFlight) > 0 {
		m := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		if c.isolated[int(m.From.ID)-1] || c.isolated[int(m.To.ID)-1] {
			continue
		}
		if n := c.nodes[int(m.To.ID)-1]; n != nil {
			n.Handle(c.now, m)
			c.flush()
		}
	}
}

// runFor advances the time by d, with all messages delivered.
func (c *cluster) runFor(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.advance(10 * ms)
		c.deliverAll()
	}
}

func (c *cluster) submitKeyed(i int, name string) submittedRequest {
	n, key := c.nodes[i], KeyOf("s", "c", name)
	t := n.Submit(c.now, Request{Deadline: c.now + 10*time.Second, Key: key, Keyed: true})
	at := submittedRequest{n, t}
	c.keys[at] = key
	c.flush()
	return at
}

// Guards against a retry through another agent that runs the request again or waits
// forever.
func TestRetryReceivesFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(nil)
	c.runFor(time.Second)
	first := c.submitKeyed(0, "k")
	c.runFor(100 * ms)
	retry := c.submitKeyed(1, "k")
	c.runFor(100 * ms)
	g.Expect(c.sent).To(HaveLen(1))
	c.finish()
	c.runFor(time.Second)
	g.Expect(c.outcomes[first]).To(Equal(Done))
	g.Expect(c.outcomes[retry]).To(Equal(Done))
	g.Expect(c.runs[KeyOf("s", "c", "k")]).To(Equal(1))
}

// Guards against any outcome other than unknown for a retry after the agent that may have
// run the request is gone.
func TestRetryAfterDeathIsUnknown(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(nil)
	c.runFor(time.Second)
	c.submitKeyed(0, "k")
	c.runFor(100 * ms)
	delete(c.nodes, 0)
	for i := 1; i < 5; i++ {
		c.nodes[i].SetMembers(c.now, members(1, 2, 3, 4))
	}
	c.runFor(time.Second)
	retry := c.submitKeyed(1, "k")
	c.runFor(time.Second)
	g.Expect(c.outcomes).To(HaveKeyWithValue(retry, Unknown))
}

// Guards against "unknown" for a retry if the agent that stored the answer is gone but the
// registrars know that the attempt that holds the key is done.
func TestRetryAfterDoneAndDeath(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(nil)
	c.runFor(time.Second)
	c.submitKeyed(0, "k")
	c.runFor(100 * ms)
	c.finish()
	c.runFor(100 * ms)
	delete(c.nodes, 0)
	for i := 1; i < 5; i++ {
		c.nodes[i].SetMembers(c.now, members(1, 2, 3, 4))
	}
	c.runFor(time.Second)
	retry := c.submitKeyed(1, "k")
	c.runFor(time.Second)
	g.Expect(c.outcomes).To(HaveKeyWithValue(retry, Done))
	g.Expect(c.runs[KeyOf("s", "c", "k")]).To(Equal(1))
}

// Guards against a deadlock of two attempts that hold one grant each.
func TestSplitClaimsAreResolved(t *testing.T) {
	g := NewWithT(t)
	for seed := range 20 {
		c := newCluster(nil)
		c.runFor(time.Second)
		name := string(rune('a' + seed))
		c.submitKeyed(0, name)
		c.submitKeyed(1, name)
		p := c.nodes[0].registrar.current.pair(KeyOf("s", "c", name))
		// The first claim reaches one registrar, the second one the other.
		c.inFlight = []Message{}
		for _, n := range []*Node{c.nodes[0], c.nodes[1]} {
			for id, a := range n.claims.table {
				a.granted = [2]bool{}
				m := Message{Kind: KindClaim, From: n.self, Key: a.key, Attempt: a.roundID(id), Pair: a.pair}
				m.To = p[int(n.self.ID)-1].Process
				c.inFlight = append(c.inFlight, m)
			}
		}
		c.runFor(2 * time.Second)
		g.Expect(c.runs[KeyOf("s", "c", name)]).To(Equal(1), "key %s", name)
	}
}

// Guards against a byte sent to the upstream after the caller was notified that the
// request was not run.
func TestSentAfterNotRunStops(t *testing.T) {
	n := newTestNode(0, NodeConfig{}, 0)
	ticket := n.Submit(0, Request{Deadline: time.Minute})
	n.Finish(0, ticket, NotRun, ReasonBroken, nil)
	NewWithT(t).Expect(func() { n.Sent(ticket) }).To(PanicWith(ContainSubstring("after it was reported as not run")))
}

// Guards against queued requests that start after the agent began to drain.
func TestDrainRefusesWhatHasNotStarted(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(0, NodeConfig{Gate: GateConfig{Slots: 1}}, 0)
	running := n.Submit(0, Request{Deadline: time.Minute})
	queued := n.Submit(0, Request{Deadline: time.Minute})
	n.Drain(ms)
	late := n.Submit(ms, Request{Deadline: time.Minute})
	_, events := n.Take(ms)
	g.Expect(events).To(Equal([]Event{{Ticket: running, Start: true},
		{Ticket: queued, Outcome: NotRun, Reason: ReasonDraining}, {Ticket: late, Outcome: NotRun, Reason: ReasonDraining}}))
	g.Expect(n.Finish(2*ms, running, Done, ReasonNone, nil)).To(BeTrue())
	g.Expect(n.Finish(2*ms, running, Done, ReasonNone, nil)).To(BeFalse())
	n.Free(2*ms, running)
	g.Expect(n.Idle()).To(BeTrue())
}
