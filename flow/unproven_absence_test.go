package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// These tests replay ways in which a missing answer or a suspicion was used as proof that an upstream
// does not hold a flow: docs/incidents/unproven-absence.md.

// misdeliveryWindow is the period of the target "flow-window-ms": within it fewer than
// misdeliveryLimit packets of an open flow may reach upstreams that do not hold it.
const (
	misdeliveryWindow = 2 * time.Second
	misdeliveryLimit  = 3
)

// openDisplaced opens a flow at b whose first choice is a, without a's knowledge.
func (u *upstreamRig) openDisplaced() packet.Key {
	k := u.keyRanked(packet.ProtoTCP, "a", "b")
	u.sendPacket("b", numbered(k, 0))
	return k
}

// displacedFlow returns a settled service with a flow that b owns without a's knowledge. Its requests
// may be repeated or not.
func displacedFlow(repeatable bool) (*upstreamRig, packet.Key) {
	u := newUpstreamRig(4)
	u.run(settled)
	u.class = packet.NewClass(1, 300*time.Millisecond, repeatable)
	return u, u.openDisplaced()
}

// suspectAt lets a packet of the flow arrive at an agent that does not know its owner, and returns the
// flows that this agent declares lost within the time limit, checking at each suspectCheckInterval.
func (u *upstreamRig) suspectAt(name string, k packet.Key, limit time.Duration) []LostFlow {
	u.agents[u.named(name).ID].markSuspect(u.now, k.Hash(), &packet.Header{Class: u.class}, &packet.Info{Key: k})
	lost, _ := u.firstLoss(name, limit)
	return lost
}

// expectKeptWhileSilent expects that a does not declare the flow lost while its owner b does not answer for
// a while, nor when it answers again.
func (u *upstreamRig) expectKeptWhileSilent(g *WithT, k packet.Key, d time.Duration) {
	u.silent["b"] = true
	g.Expect(u.suspectAt("a", k, d)).To(BeEmpty())
	delete(u.silent, "b")
	lost, _ := u.firstLoss("a", 2*time.Second)
	g.Expect(lost).To(BeEmpty())
}

// Guards against the reset of a flow at an upstream whose agent was marked as failed by mistake and is
// not scheduled for some tenths of a second.
func TestFlowOfAgentMarkedAsFailedIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u, k := displacedFlow(true)
	u.setState("b", Failed)
	u.announce()
	u.expectKeptWhileSilent(g, k, 500*time.Millisecond)
}

// Guards against the reset of a flow whose agent restarts as planned and takes longer than the time
// after which other processes mark it as failed: its upstream runs on.
func TestFlowOfRestartingAgentMarkedAsFailedIsNotReset(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		u.class = packet.NewClass(1, 300*time.Millisecond, repeatable)
		u.loseMessage = func() bool { return true }
		k := u.openDisplaced()
		u.setState("b", AgentRestarting)
		u.announce()
		u.silent["b"] = true
		u.run(3 * time.Second)
		u.setState("b", Failed)
		u.announce()
		g.Expect(u.suspectAt("a", k, 4*time.Second)).To(BeEmpty(), "repeatable %v", repeatable)
	}
}

// Guards against the reset of a young flow: the owner's digest was verified before the flow was opened,
// and the owner answers late.
func TestYoungFlowIsNotResetForAVerifiedDigest(t *testing.T) {
	g := NewWithT(t)
	u, k := displacedFlow(true)
	u.expectKeptWhileSilent(g, k, 800*time.Millisecond)
}

// Guards against the reset of a flow whose owner answers that it may hold it, while its digests do not
// arrive, as when its control connections fail and its datagrams arrive.
func TestFlowOfAnsweringAgentWithoutDigestIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u, k := displacedFlow(true)
	u.restartAgent("b")
	g.Expect(u.suspectAt("a", k, suspectTimeout)).To(BeEmpty())
}

// Guards against the reset of a flow whose owner is silent for more than a second, long after the
// power failure for which silence ends that early: its agent restarts as planned, and its notice is late.
func TestFlowOfSilentAgentIsNotResetLongAfterTheStart(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(rebuildTime + settled)
	u.class = packet.NewClass(1, 300*time.Millisecond, true)
	k := u.openDisplaced()
	u.silent["b"] = true
	g.Expect(u.suspectAt("a", k, 3*time.Second)).To(BeEmpty())
}

// startingFleet returns a service whose agents and upstreams have just started together, with a flow
// that was accepted by agent b when it knew no peer: no digest lists it. Each second agent does not
// know yet when its upstream started.
func startingFleet(n int) (*upstreamRig, packet.Key) {
	u := newUpstreamRig(n)
	u.run(time.Second)
	k := u.openDisplaced()
	for i, p := range u.list {
		if p.Name == "b" {
			continue
		}
		u.restartAgent(p.Name)
		if i%2 == 0 {
			u.agents[p.ID].SetUpstreamStart(u.now, p.Start, true)
		}
	}
	// The digests of b list no flow, as before it knew the first choice.
	for _, p := range u.list {
		if p.Name != "b" {
			t := u.agents[p.ID]
			t.Handle(u.now, Message{From: u.named("b").ID, To: p.ID, Incarnation: u.named("b").Incarnation,
				Start: u.named("b").Start, Complete: true, Seq: 1, Reset: true, Check: true})
		}
	}
	return u, k
}

func (u *upstreamRig) misdelivered() (n int) {
	for _, count := range u.returned {
		n += count
	}
	return n
}

// Guards against one packet of an open flow that is delivered to many upstreams in turn, because probes
// at upstreams that started with their agents were not counted.
func TestPacketVisitsFewForeignUpstreams(t *testing.T) {
	for _, n := range []int{6, 7, 12} {
		g := NewWithT(t)
		u, k := startingFleet(n)
		u.sendPacket("a", data(k))
		g.Expect(u.misdelivered()).To(BeNumerically("<", misdeliveryLimit), "%d agents", n)
	}
}

// Guards against retransmissions of a packet that are each delivered to other upstreams, through the
// same agent and through several while the view of the fleet changes.
func TestRetransmissionsVisitFewForeignUpstreams(t *testing.T) {
	for _, entries := range []string{"aaaa", "dddd", "acac", "acde", "dfdf"} {
		g := NewWithT(t)
		u, k := startingFleet(6)
		at := u.now
		for i, pause := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			u.now += pause
			u.sendPacket(entries[i:i+1], data(k))
		}
		g.Expect(u.now - at).To(BeNumerically("<", misdeliveryWindow))
		g.Expect(u.misdelivered()).To(BeNumerically("<", misdeliveryLimit), "entries %s", entries)
	}
}

// Guards against packets that are delivered one after the other to an upstream that does not hold the
// flow and is slow to return them: the time without a return was used as proof that it holds the flow.
func TestSlowReturnIsNoProofOfOwnership(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b")
	u.restartAgent("a")
	table := u.agents[u.named("a").ID]
	delivered := 0
	for range 10 {
		h, in := packet.Header{Kind: packet.KindData, Service: testService}, data(k)
		if table.Receive(u.now, &h, &in).Kind == Deliver {
			delivered++
		}
		u.now += probeTimeout + 10*time.Millisecond
	}
	g.Expect(delivered).To(BeNumerically("<", misdeliveryLimit))
	g.Expect(table.Open()).To(BeZero(), "without a packet of the upstream nothing shows that it holds the flow")
}

// Guards against a balancer that drops the hints of open flows when the start of their upstream becomes
// known, while a fleet starts, or becomes unknown, when the agent restarts. The next
// packet went to another agent.
func TestHintSurvivesAnUnknownStartOfTheUpstream(t *testing.T) {
	g := NewWithT(t)
	r := newRig(4, TableConfig{Rebuild: rebuildTime})
	router := NewRouter(RouterConfig{})
	k := r.keyRanked(packet.ProtoTCP, "a", "b")
	owner := &r.list[2]
	show := func(start, incarnation uint64) bool {
		owner.Start, owner.Incarnation = start, incarnation
		router.SetView(0, testView(r.list))
		in := data(k)
		return router.HasHint(0, &in)
	}
	show(0, 1)
	router.Learn(0, &k, owner.ID)
	g.Expect(show(101, 1)).To(BeTrue(), "the upstream has announced its start")
	router.Learn(0, &k, owner.ID)
	g.Expect(show(0, 2)).To(BeTrue(), "the agent has restarted")
	g.Expect(show(101, 2)).To(BeTrue(), "the upstream has not restarted")
	g.Expect(show(301, 2)).To(BeFalse(), "the upstream has restarted")
}

// Guards against the reset of a flow that a restarted upstream has accepted before its agent learns of
// the restart: the first announcement of the new process ended all flows in the table.
func TestFlowOpenedBeforeTheFirstAnnouncementIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	earlier, open := u.keyRanked(packet.ProtoTCP, "a", "b"), u.keyRanked(packet.ProtoTCP, "a", "c")
	u.sendPacket("a", numbered(earlier, 0))
	u.reply("a", earlier)
	u.held["a"] = map[packet.Key]bool{} // the upstream restarts
	u.sendPacket("a", numbered(open, 0))
	u.reply("a", open)
	table := u.agents[u.named("a").ID]
	table.SetUpstreamStart(u.now, u.named("a").Start+1000, true)
	g.Expect(table.status(u.now, open.Hash())).To(Equal(packet.MaybeHeld))
	path, action := u.sendPacket("a", data(open))
	g.Expect(path).To(Equal("a"))
	g.Expect(action.Kind).To(Equal(Deliver))
	u.reply("a", open)
	g.Expect(table.status(u.now, open.Hash())).To(Equal(packet.Held))
	for _, path := range []string{"a!", "a"} { // the flow of the earlier process
		visited, action := u.sendPacket("a", data(earlier))
		g.Expect(visited).To(Equal(path))
		g.Expect(action).To(Equal(Action{Kind: Reset, Reason: ReasonFlowLost}))
	}
}

// Guards against the reset of a flow whose SYN was delivered to an upstream that did not run, and whose
// copy opened it elsewhere: the flow counted as lost when the upstream was found stopped.
func TestFlowOpenedElsewhereIsNotResetWhenAnUpstreamStops(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b")
	u.sendPacket("a", numbered(k, 0))
	u.held["a"] = map[packet.Key]bool{}
	a := u.agents[u.named("a").ID]
	a.SetUpstreamStopped(u.now, a.BeginUpstreamCheck())
	u.sendPacket("b", numbered(k, 2))
	u.reply("b", k) // its digest is on its way to a
	path, action := u.sendPacket("a", data(k))
	g.Expect(path).To(Equal("ab"))
	g.Expect(action.Kind).To(Equal(Deliver))
}

// Guards against a second probe behind the first choice, by an agent that takes itself for the first
// choice too: the agent that counts the flow's probes does not learn of it.
func TestPacketIsNotProbedAgainBehindTheFirstChoice(t *testing.T) {
	for tried, want := range map[uint8]ActionKind{0: Deliver, 1: Forward} {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		k := u.keyRanked(packet.ProtoTCP, "a", "b")
		u.restartAgent("a")
		u.reportStart("a")
		h, in := packet.Header{Kind: packet.KindData, Service: testService, Tried: tried}, data(k)
		g.Expect(u.agents[u.named("a").ID].Receive(u.now, &h, &in).Kind).To(Equal(want), "tried %d", tried)
	}
}

// Guards against the reset of a flow that has become suspect again, by answers that were given before it
// was opened: the former inquiry goes on for another flow.
func TestFlowSuspectedAgainIsNotResetByFormerAnswers(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	u.class = packet.NewClass(1, 300*time.Millisecond, true)
	table := u.agents[u.named("a").ID]
	k, other := u.keyRanked(packet.ProtoTCP, "a", "b"), u.keyRanked(packet.ProtoTCP, "a", "c")
	u.silent["d"] = true
	for _, f := range []packet.Key{k, other} {
		table.markSuspect(u.now, f.Hash(), &packet.Header{Class: u.class}, &packet.Info{Key: f})
	}
	g.Expect(u.findLost("a")).To(BeEmpty())
	table.ownerRecords.record(u.now, k.Hash(), u.named("b").ID)
	g.Expect(u.findLost("a")).To(BeEmpty(), "a hint names an owner")
	table.ownerRecords.forget(k.Hash())
	q := table.inquiries[0]
	table.HandleInquiryAnswer(u.now, &packet.InquiryAnswer{From: u.named("d").ID, Number: q.number,
		Statuses: []packet.FlowStatus{packet.NotHeld, packet.MaybeHeld}})
	u.sendPacket("b", numbered(k, 2)) // its digest is on its way
	table.markSuspect(u.now, k.Hash(), &packet.Header{Class: u.class}, &packet.Info{Key: k})
	lost, _, _ := table.CheckSuspects(u.now)
	g.Expect(lost).To(BeEmpty())
}

// Guards against the reset of a flow whose agent has restarted and does not answer for a second, by an
// agent that has itself started shortly before.
func TestFlowOfRestartedAgentIsNotResetSoonAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(time.Second)
	u.powerCycle()
	u.class = packet.NewClass(1, 300*time.Millisecond, true)
	k := u.openDisplaced()
	u.restartAgent("b")
	u.silent["b"] = true
	g.Expect(u.suspectAt("a", k, 3*time.Second)).To(BeEmpty())
}

// Guards against an owner that never sees its flow's packets after a restart of its agent, because the
// agent that forwards them counted probes that nobody made while the owner was away.
func TestRestartedOwnerProbesForwardedPackets(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 0))
	u.setState("a", AgentRestarting)
	u.announce()
	in := data(k)
	for range 3 { // to the agent that is away
		h := packet.Header{Kind: packet.KindData, Service: testService}
		g.Expect(u.agents[u.named("b").ID].Receive(u.now, &h, &in).To).To(Equal(u.named("a").ID))
		u.now += 200 * time.Millisecond
	}
	u.restartAgent("a")
	u.setState("a", Ready)
	u.reportStart("a")
	path, action := u.sendPacket("b", in)
	g.Expect(path).To(Equal("ba"))
	g.Expect(action).To(Equal(Action{Kind: Deliver, Probe: true}))
}

// Guards against the reset of a flow that an upstream has accepted after a check of its connection had
// begun: the check was refused before the upstream started, and its result was processed late.
func TestFlowOpenedDuringARefusedCheckIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	before, during := u.keyRanked(packet.ProtoTCP, "a", "b"), u.keyRanked(packet.ProtoTCP, "a", "c")
	u.sendPacket("a", numbered(before, 0))
	u.reply("a", before)
	a := u.agents[u.named("a").ID]
	check := a.BeginUpstreamCheck()
	u.sendPacket("a", numbered(during, 0))
	u.reply("a", during)
	for range 3 {
		u.now += 100 * time.Millisecond
		a.SetUpstreamStopped(u.now, check) // at each step until the upstream announces itself
	}
	_, action := u.sendPacket("a", data(during))
	g.Expect(action.Kind).To(Equal(Deliver))
	_, action = u.sendPacket("a", data(before))
	g.Expect(action.Kind).To(Equal(Reset))
}

// Guards against the reset of an open flow by an agent whose list of peers comes from a balancer that has
// just started and does not know the flow's owner.
func TestFlowIsNotResetForAListOfAnIncompleteBalancer(t *testing.T) {
	g := NewWithT(t)
	for incomplete, lost := range map[bool]int{true: 0, false: 1} {
		u := newUpstreamRig(1)
		a := u.agents[u.named("a").ID]
		a.SetPeersIncomplete(u.now, incomplete)
		u.run(settled)
		g.Expect(u.suspectAt("a", key(1, packet.ProtoTCP), 3*time.Second)).To(HaveLen(lost))
	}
}

// Guards against flows that are reset, by their own agent or by others that ask it, because their upstream
// has refused a connection although it runs.
func TestFlowsOfAnUpstreamFalselyTakenForStoppedAreNotReset(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	known, unknown := u.keyRanked(packet.ProtoTCP, "a", "b"), u.keyRanked(packet.ProtoTCP, "a", "c")
	u.sendPacket("a", numbered(known, 0))
	u.reply("a", known)
	u.restartAgent("b")
	u.reportStart("b")
	u.held["b"][unknown] = true
	for _, name := range []string{"a", "b"} {
		agent, start := u.agents[u.named(name).ID], u.named(name).Start
		agent.SetUpstreamStopped(u.now, agent.BeginUpstreamCheck())
		agent.SetUpstreamStart(u.now, start, false) // its next announcement
	}
	u.announce()
	u.run(time.Second)
	g.Expect(u.suspectAt("a", unknown, 3*time.Second)).To(BeEmpty())
	_, action := u.sendPacket("a", data(known))
	g.Expect(action.Kind).To(Equal(Deliver))
	u.reply("a", known)
	_, action = u.sendPacket("a", data(known))
	g.Expect(action).To(Equal(Action{Kind: Deliver}))
}
