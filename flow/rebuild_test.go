package flow

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// upstreamRig is a rig with a simulated upstream for each agent. An upstream holds flows and
// returns the packets of other flows.
type upstreamRig struct {
	*rig
	held     map[string]map[packet.Key]bool // flows that each upstream holds, by its name
	returned map[string]int                 // packets delivered to upstreams that do not hold the flow
	silent   map[string]bool                // agents that do not answer inquiries
	class    packet.Class                   // of all packets
}

const rebuildTime = 20 * time.Second

func newUpstreamRig(n int) *upstreamRig {
	u := &upstreamRig{
		rig:      newRig(n, TableConfig{Rebuild: rebuildTime, DigestDelay: time.Millisecond, Settling: 4 * time.Second}),
		held:     map[string]map[packet.Key]bool{},
		returned: map[string]int{},
		silent:   map[string]bool{},
	}
	for i := range u.list {
		u.list[i].Start = uint64(100 + i)
		u.held[u.list[i].Name] = map[packet.Key]bool{}
		u.agents[u.list[i].ID].SetUpstreamStart(0, u.list[i].Start, true)
	}
	u.announce()
	for _, t := range u.agents {
		t.SetPeersKnown(0)
	}
	return u
}

// restartAgent replaces the agent's table by an empty one.
func (u *upstreamRig) restartAgent(name string) {
	for i := range u.list {
		if u.list[i].Name == name {
			u.list[i].Incarnation += 100
			old := u.agents[u.list[i].ID]
			self := u.list[i]
			self.Start = 0 // until the upstream reports its start
			t := NewTable(old.cfg, self, testService, rand.New(rand.NewPCG(2, uint64(i))))
			t.cfg.Observer = nil
			t.StartRebuild(u.now)
			t.SetPeersKnown(u.now)
			u.agents[u.list[i].ID] = t
		}
	}
	u.announce()
}

// reportStart reports the start of the running upstream to its agent, and then advances the clock
// until the list of peers counts as complete.
func (u *upstreamRig) reportStart(name string) {
	for i := range u.list {
		if u.list[i].Name == name {
			u.list[i].Start = uint64(100 + i)
			u.agents[u.list[i].ID].SetUpstreamStart(u.now, u.list[i].Start, false)
		}
	}
	u.announce()
	u.now += peerListSettleTime
}

// findLost runs the suspect checks of an agent and returns the flows found to be lost. Peers
// answer its inquiries at once, unless their agent is restarting or silent.
func (u *upstreamRig) findLost(name string) []LostFlow {
	t := u.agents[u.named(name).ID]
	lost, inquiries, _ := t.CheckSuspects(u.now)
	for _, q := range inquiries {
		for _, p := range u.list {
			if slices.Contains(q.To, p.Addr) && p.State != AgentRestarting && !u.silent[p.Name] {
				a := u.agents[p.ID].AnswerInquiry(u.now, &q.Inquiry)
				t.HandleInquiryAnswer(u.now, &a)
			}
		}
	}
	more, _, _ := t.CheckSuspects(u.now)
	return append(lost, more...)
}

// startTogether puts an agent into the state in which it has just started together with the fleet.
func (u *upstreamRig) startTogether(name string) {
	starting := slices.Clone(u.list)
	for i := range starting {
		starting[i].State = Starting
	}
	t := u.agents[u.named(name).ID]
	t.noteStarting(starting)
	t.StartRebuild(u.now)
}

// deliverMessages delivers the due messages of one agent to another.
func (u *upstreamRig) deliverMessages(from, to string) {
	for _, m := range u.agents[u.named(from).ID].Step(u.now) {
		if m.To == u.named(to).ID {
			u.agents[m.To].Handle(u.now, m)
		}
	}
}

// restartUpstream ends all flows of the upstream and changes its start.
func (u *upstreamRig) restartUpstream(name string) {
	for i := range u.list {
		if u.list[i].Name == name {
			u.list[i].Start += 1000
			u.held[name] = map[packet.Key]bool{}
			u.agents[u.list[i].ID].SetUpstreamStart(u.now, u.list[i].Start, true)
		}
	}
	u.announce()
}

// sendPacket sends a packet to an agent, follows it until it is delivered or dropped, and
// lets the upstreams return packets. It returns the visited agents and the last action; "!"
// marks a returned packet.
func (u *upstreamRig) sendPacket(first string, in packet.Info) (string, Action) {
	return u.sendWithFlags(first, in, 0)
}

// sendHinted sends a packet like a balancer that has a hint that the agent owns the flow.
func (u *upstreamRig) sendHinted(first string, in packet.Info) (string, Action) {
	return u.sendWithFlags(first, in, packet.FlagExpected)
}

func (u *upstreamRig) sendWithFlags(first string, in packet.Info, flags uint8) (string, Action) {
	h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin, Class: u.class, Flags: flags}
	t, path := u.agents[u.named(first).ID], ""
	for {
		path += t.self.Name
		a := t.Receive(u.now, &h, &in)
		if a.Kind == Deliver && !u.deliver(t.self.Name, &in) {
			u.returned[t.self.Name]++
			path += "!"
			a = t.HandleReturned(u.now, &h, &in)
		}
		if a.Kind != Forward {
			return path, a
		}
		t = u.agents[a.To]
	}
}

func (u *upstreamRig) deliver(name string, in *packet.Info) bool {
	if in.First {
		u.held[name][in.Key] = true
	}
	return u.held[name][in.Key]
}

// reply passes a packet of the flow from the upstream to its agent.
func (u *upstreamRig) reply(name string, k packet.Key) {
	in := packet.Info{Key: k.Reverse(), Flags: packet.FlagACK}
	u.agents[u.named(name).ID].HandleReply(u.now, &in)
}

// numbered returns copy n of a SYN.
func numbered(k packet.Key, n uint8) packet.Info {
	in := syn(k)
	in.Numbered, in.Repeat = true, n
	return in
}

var _ = Describe("An agent that restarts while its upstream runs", func() {
	var (
		u *upstreamRig
		k packet.Key
	)
	BeforeEach(func() {
		u = newUpstreamRig(4)
		u.run(settled)
		k = u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	})

	// Guards against a restart of the agent that breaks flows.
	It("finds the flows that its upstream holds", func() {
		u.sendPacket("a", numbered(k, 0))
		u.restartAgent("a")
		path, action := u.sendHinted("a", data(k))
		Expect(path).To(Equal("a"))
		Expect(action.Kind).To(Equal(Deliver))
		u.reply("a", k)
		Expect(u.agents[u.named("a").ID].Open()).To(Equal(1))
	})

	// Guards against a table that stays empty although packets of the upstream identify its
	// flows.
	It("adopts flows from its upstream's packets", func() {
		u.sendPacket("a", numbered(k, 0))
		u.restartAgent("a")
		u.reply("a", k)
		Expect(u.agents[u.named("a").ID].Open()).To(Equal(1))
	})

	// Guards against adopted flows that are ended when the upstream reports its start, as if
	// they belonged to an earlier start.
	It("keeps adopted flows when its upstream reports its start", func() {
		u.sendPacket("a", numbered(k, 0))
		u.restartAgent("a")
		u.reply("a", k)
		u.agents[u.named("a").ID].SetUpstreamStart(u.now, u.named("a").Start, false)
		_, action := u.sendPacket("a", data(k))
		Expect(action.Kind).To(Equal(Deliver))
		Expect(u.agents[u.named("a").ID].Open()).To(Equal(1))
	})

	// Guards against more than one delivery of a flow's packets to an upstream that does not
	// hold the flow.
	It("delivers one packet of a flow that its upstream does not hold", func() {
		u.setState("a", Draining)
		u.announce()
		u.sendPacket("b", numbered(k, 0))
		u.setState("a", Ready)
		u.restartAgent("a")
		u.agents[u.named("a").ID].SetState(u.now, Ready)
		for range 20 {
			_, action := u.sendHinted("a", data(k))
			Expect(action.Kind).To(Equal(Deliver))
		}
		Expect(u.returned).To(Equal(map[string]int{"a": 1}))
	})

	// Guards against a second packet that is delivered before the upstream has had time to
	// return the first.
	It("delivers no second packet while the first may still be returned", func() {
		u.restartAgent("a")
		t := u.agents[u.named("a").ID]
		in := data(k)
		first := packet.Header{Service: testService, Flags: packet.FlagExpected}
		second := first
		Expect(t.Receive(u.now, &first, &in).Kind).To(Equal(Deliver))
		Expect(t.Receive(u.now, &second, &in)).To(Equal(Action{Kind: Drop, Reason: ReasonWaiting}))
	})

	// Guards against packets of a flow that visit other upstreams while its owner's agent is
	// only restarting.
	It("lets no other upstream receive its flows' packets while it restarts", func() {
		u.sendPacket("a", numbered(k, 0))
		u.setState("a", AgentRestarting)
		u.announce()
		for range 20 {
			u.now += 100 * time.Millisecond
			path, action := u.sendPacket("b", data(k))
			Expect(path).To(Equal("ba"))
			Expect(action.Kind).NotTo(Equal(Reset))
		}
		Expect(u.returned).To(BeEmpty())
	})

	// Guards against the loss of an idle flow that its restarted owner has not rediscovered:
	// the flow's first choice must still find it through the old digest.
	It("is found as the owner of its flows through its old digest", func() {
		u.setState("a", Draining)
		u.announce()
		u.sendPacket("b", numbered(k, 0))
		u.setState("a", Ready)
		u.announce()
		u.run(2 * time.Second)
		u.restartAgent("b")
		u.run(5 * time.Second)
		path, action := u.sendPacket("a", data(k))
		Expect(path).To(Equal("ab"))
		Expect(action.Kind).To(Equal(Deliver))
	})
})

var _ = Describe("Flows that may be lost", func() {
	var (
		u *upstreamRig
		k packet.Key
	)
	BeforeEach(func() {
		u = newUpstreamRig(4)
		u.run(settled)
		k = u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	})

	// Guards against clients that wait until their deadline on a lost flow.
	It("are reset at once by the agent that owned them", func() {
		u.sendPacket("a", numbered(k, 0))
		u.reply("a", k)
		u.restartUpstream("a")
		_, action := u.sendPacket("a", data(k))
		Expect(action).To(Equal(Action{Kind: Reset, Reason: ReasonFlowLost}))
	})

	// Guards against clients that wait after a power failure, when no agent knows any flow.
	It("are reset by their first choice once no upstream can hold them", func() {
		u.run(2 * time.Second)
		in := data(k)
		in.Ack = 77
		_, action := u.sendPacket("a", in)
		Expect(action.Kind).To(Equal(Drop))
		t := u.agents[u.named("a").ID]
		Expect(t.HasSuspects()).To(BeTrue())
		Expect(u.findLost("a")).To(Equal([]LostFlow{{Key: k, Ack: 77}}))
		Expect(t.HasSuspects()).To(BeFalse())
		path, action := u.sendPacket("a", in)
		Expect(path).To(Equal("a"))
		Expect(action.Kind).To(Equal(Reset))
	})

	// Guards against a reset of a flow held by an upstream whose agent does not know it yet:
	// the packet must be forwarded to that agent, which delivers it to its upstream.
	It("are not reset before agents with unknown flows have answered", func() {
		u.restartAgent("c")
		u.restartAgent("d")
		u.run(2 * time.Second)
		u.reportStart("c")
		u.reportStart("d")
		u.silent["c"], u.silent["d"] = true, true
		u.sendPacket("a", data(k))
		Expect(u.returned).To(BeEmpty(), "no packet is a probe before all agents have been asked")
		Expect(u.findLost("a")).To(BeEmpty())
		u.now += time.Second
		Expect(u.findLost("a")).To(BeEmpty(), "agents with unknown flows have not answered")
		u.silent["d"] = false
		u.now += inquiryRetryIntervalMax
		Expect(u.findLost("a")).To(BeEmpty())
		u.silent["c"] = false
		u.now += inquiryRetryIntervalMax
		Expect(u.findLost("a")).To(BeEmpty(), "their upstreams may hold the flow")
		for _, path := range []string{"ac!", "ad!"} {
			visited, _ := u.sendPacket("a", data(k))
			Expect(visited).To(HavePrefix(path))
			u.now += inquiryRetryIntervalMax
			u.findLost("a")
		}
		Expect(u.agents[u.named("a").ID].lost.has(u.now, k.Hash())).To(BeTrue())

		held := u.keyRanked(packet.ProtoTCP, "a", "d", "b", "c")
		u.held["c"][held] = true
		u.sendPacket("a", data(held))
		u.findLost("a")
		path, _ := u.sendPacket("a", data(held))
		Expect(path).To(HavePrefix("ad!"))
		u.now += inquiryRetryIntervalMax
		Expect(u.findLost("a")).To(BeEmpty())
		path, action := u.sendPacket("a", data(held))
		Expect(path).To(HavePrefix("ac"))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against a reset of a flow whose owner's agent never received the packet, because
	// the packet was lost on its way there. Seed 106 of the soak led to this fault.
	It("are not reset while an agent has not answered an inquiry", func() {
		u.restartAgent("c")
		u.restartAgent("d")
		u.run(2 * time.Second)
		u.reportStart("c")
		u.reportStart("d")
		t := u.agents[u.named("a").ID]
		in := data(k)
		u.sendPacket("a", in)
		Expect(u.findLost("a")).To(BeEmpty())
		h := packet.Header{Service: testService}
		Expect(t.Receive(u.now, &h, &in).To).To(Equal(u.named("c").ID)) // lost
		for lostAt := u.now; u.now-lostAt < misdeliveryWindow; u.now += inquiryRetryIntervalMax {
			Expect(u.findLost("a")).To(BeEmpty())
		}
		for _, path := range []string{"ac!", "ad!"} {
			visited, _ := u.sendPacket("a", in)
			Expect(visited).To(HavePrefix(path))
			Expect(t.lost.has(u.now, k.Hash())).To(BeFalse())
			u.now += inquiryRetryIntervalMax
			u.findLost("a")
		}
		Expect(t.lost.has(u.now, k.Hash())).To(BeTrue())
	})

	// Guards against clients that wait forever after a power failure: an upstream that was
	// draining keeps running without reporting its start, so that its agent never learns it,
	// and all agents forward packets of unknown flows to that agent.
	It("are reset although an upstream that returns their packets never reports its start", func() {
		u.restartAgent("c")
		u.run(2 * time.Second)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "d", "c")
		t := u.agents[u.named("a").ID]
		t.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		Expect(u.findLost("a")).To(BeEmpty())
		path, _ := u.sendPacket("a", data(k))
		Expect(path).To(HavePrefix("ac!"))
		u.now += inquiryRetryInterval
		Expect(u.findLost("a")).To(HaveLen(1))
	})

	// Guards against a reset while more agents may own the flow than one packet can visit.
	It("are not reset while many agents have unknown flows", func() {
		u = newUpstreamRig(8)
		u.run(settled)
		for _, name := range []string{"d", "e", "f", "g", "h"} {
			u.restartAgent(name)
		}
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c")
		u.sendPacket("a", data(k))
		Expect(u.findLost("a")).To(BeEmpty())
		u.run(rebuildTime)
		t.expireUnknownFlows(u.now)
		u.sendPacket("a", data(k))
		Expect(u.findLost("a")).To(HaveLen(1))
	})

	// Guards against a reset of a young flow because the Step immediately after its acceptance
	// leaves out its fingerprint, as younger than DigestDelay, until the next tick 100 ms later.
	// Seen on the deployment harthy-ops-grown, day trouble-2.
	It("do not include flows accepted very recently by another agent than their first choice", func() {
		u.sendPacket("b", numbered(u.keyRanked(packet.ProtoTCP, "a", "c", "b"), 0))
		u.run(10 * time.Second)
		u.deliverMessages("b", "a") // deliver other due messages first
		u.sendPacket("b", numbered(k, 0))
		Expect(u.agents[u.named("b").ID].StepDue()).To(BeTrue())
		u.deliverMessages("b", "a")
		path, action := u.sendPacket("a", data(k))
		Expect(path).To(Equal("ab"))
		Expect(action.Kind).To(Equal(Deliver))
		Expect(u.agents[u.named("a").ID].HasSuspects()).To(BeFalse())
	})

	// Guards against a reset of a flow that was opened elsewhere very recently.
	It("are not reset when a digest lists them in the meantime", func() {
		u.run(2 * time.Second)
		u.sendPacket("a", data(k))
		u.sendPacket("b", numbered(k, 1))
		Expect(u.agents[u.named("b").ID].StepDue()).To(BeTrue())
		for _, m := range u.agents[u.named("b").ID].Step(u.now + time.Millisecond) {
			u.agents[m.To].Handle(u.now, m)
		}
		Expect(u.findLost("a")).To(BeEmpty())
		Expect(u.agents[u.named("a").ID].HasSuspects()).To(BeFalse())
	})

	// Guards against a reset of a flow that its owner serves while the first choice waits for
	// the digest: the owner sends hints to the agents that forwarded the packet.
	It("are not reset when the owner has sent a hint", func() {
		u.run(2 * time.Second)
		u.sendPacket("b", numbered(k, 2))
		path, action := u.sendPacket("a", data(k))
		Expect(path).To(Equal("ab"))
		Expect(action.ExtraHints).To(ContainElement(u.named("a").Addr))
		u.agents[u.named("a").ID].HandleHint(u.now, &k, u.named("b").ID)
		Expect(u.findLost("a")).To(BeEmpty())
	})

	// Guards against clients that wait for seconds because the platform's store still lists an
	// upstream that was removed during the power failure.
	It("are reset although a removed VM is still listed", func() {
		removed := u.list[3]
		removed.ID, removed.Name = packet.AgentIDOf("gone"), "gone"
		t := u.agents[u.named("a").ID]
		t.SetPeers(u.now, append(slices.Clone(u.list), removed))
		u.now += peerListSettleTime
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		for score(k.Hash(), seedOf(removed.ID)) > score(k.Hash(), seedOf(u.named("a").ID)) {
			k.SrcPort++
			for u.ranking(k)[0].Name != "a" {
				k.SrcPort++
			}
		}
		u.startTogether("a")
		in := data(k)
		t.markSuspect(u.now, k.Hash(), &packet.Header{}, &in)
		lost, took := u.firstLoss("a", 2*time.Second)
		Expect(lost).To(HaveLen(1))
		Expect(took).To(BeNumerically("~", peerSilenceTimeoutAfterOutage, suspectCheckInterval))
	})

	// Guards against clients that wait because an agent was stopped together with its VM and
	// will not restart.
	It("are reset when an agent does not restart in time", func() {
		u.run(2 * time.Second)
		u.setState("d", AgentRestarting)
		u.announce()
		u.now += peerListSettleTime
		for range 4 {
			u.sendPacket("a", data(k))
			Expect(u.findLost("a")).To(BeEmpty())
			u.now += AgentRestartTimeout / 4
		}
		u.silent["d"] = true
		u.sendPacket("a", data(k))
		lost, took := u.firstLoss("a", time.Second)
		Expect(lost).To(HaveLen(1))
		Expect(took).To(BeNumerically("~", confirmedFailureTimeout, suspectCheckInterval))
	})

	// Guards against a reset of a new flow with the same addresses and ports as a recently
	// suspected one.
	It("are not reset when the same addresses have opened a new flow in the meantime", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		u.sendPacket("a", data(k))
		Expect(t.HasSuspects()).To(BeTrue())
		u.sendPacket("a", numbered(k, 0))
		Expect(u.findLost("a")).To(BeEmpty())
		_, action := u.sendPacket("a", data(k))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against clients that wait for their next retransmission, 1.6 s after the one
	// that reached an agent before it knew its peers: that agent regarded itself as the first
	// choice, and the actual first choice was not notified of the flow.
	It("are reset although their packet reached an agent that had just started", func() {
		u.run(2 * time.Second)
		k := u.keyRanked(packet.ProtoTCP, "b", "a", "c", "d")
		self := u.named("a")
		restarted := NewTable(u.agents[self.ID].cfg, self, testService, rand.New(rand.NewPCG(3, 3)))
		restarted.SetUpstreamStart(u.now, self.Start, true)
		restarted.StartRebuild(u.now)
		u.agents[self.ID] = restarted
		in := data(k)
		in.Ack = 9
		path, action := u.sendPacket("a", in)
		Expect(path).To(Equal("a"), "its upstream holds no flows from before its start")
		Expect(action.Kind).To(Equal(Drop))
		restarted.SetPeers(u.now, u.list)
		restarted.SetPeersKnown(u.now)
		u.now += peerListSettleTime
		Expect(u.findLost("a")).To(BeEmpty())
		Expect(restarted.HasSuspects()).To(BeFalse())
		u.deliverMessages("a", "b")
		Expect(u.findLost("b")).To(Equal([]LostFlow{{Key: k, Ack: 9}}))
	})

	// Guards against a reset, on a suspect message, of a flow that the first choice owns or
	// may own.
	It("are not reset on a suspect message by an agent that may own them", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		u.sendPacket("a", numbered(k, 0))
		t.Handle(u.now, Message{From: u.named("b").ID, To: u.named("a").ID, Suspects: []Suspect{{Flow: LostFlow{Key: k}}}})
		Expect(t.HasSuspects()).To(BeFalse())

		u.restartAgent("a")
		t = u.agents[u.named("a").ID]
		u.reportStart("a")
		t.Handle(u.now, Message{From: u.named("b").ID, To: u.named("a").ID, Suspects: []Suspect{{Flow: LostFlow{Key: k}}}})
		Expect(t.HasSuspects()).To(BeFalse())
	})

	// Guards against a suspect message that is ignored because the flow was suspected before.
	It("become suspect again when another agent suspects them later", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		t.peersKnown = false
		u.sendPacket("a", data(k))
		u.now += suspectTimeout
		Expect(u.findLost("a")).To(BeEmpty())
		Expect(t.HasSuspects()).To(BeFalse())
		t.SetPeersKnown(u.now)
		u.now += peerListSettleTime
		t.Handle(u.now, Message{From: u.named("b").ID, To: u.named("a").ID, Complete: true,
			Suspects: []Suspect{{Flow: LostFlow{Key: k}}}})
		Expect(u.findLost("a")).To(HaveLen(1))
	})

	// Guards against clients that wait while a large fleet starts: for a second the state of
	// some agent changes all the time, which is irrelevant for flows that rank the agent
	// lower.
	It("are reset although upstreams of a lower rank become ready in the meantime", func() {
		u.run(2 * time.Second)
		u.sendPacket("a", data(k))
		for _, s := range []State{Starting, Ready} {
			u.setState("d", s)
			u.announce()
		}
		u.now += time.Millisecond
		Expect(u.findLost("a")).To(HaveLen(1))
	})

	// Guards against a reset by an agent that has just become the flow's first choice and has
	// not received the owner's digest yet.
	DescribeTable("do not include an open flow just after a change of its first choice", func(change func()) {
		u.setState("a", Starting)
		u.announce()
		k = u.keyRanked(packet.ProtoTCP, "b", "a", "c", "d")
		u.run(2 * time.Second)
		u.setState("a", Ready)
		u.announce()
		u.run(2 * time.Second)
		u.sendPacket("c", numbered(k, 2))
		change()
		u.announce()
		u.now += peerListSettleTime
		lost := u.keyRanked(packet.ProtoTCP, "b", "a", "d", "c")
		u.agents[u.named("a").ID].markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		u.agents[u.named("a").ID].markSuspect(u.now, lost.Hash(), &packet.Header{}, &packet.Info{Key: lost})
		Expect(u.findLost("a")).To(Equal([]LostFlow{{Key: lost}}))
		path, action := u.sendPacket("a", data(k))
		Expect(path).To(Equal("ac"))
		Expect(action.Kind).To(Equal(Deliver))
	},
		Entry("by an upstream of a higher rank", func() { u.setState("b", Leaving) }),
		Entry("by this agent's own state", func() { u.setState("b", Draining); u.setState("a", Starting); u.setState("a", Ready) }),
	)

	// Guards against a reset of a young flow whose digest is on its way or was lost: the
	// owner must be sent an inquiry, however long it takes to answer. Seen on the deployment
	// harthy-ops-grown, day trouble-2.
	It("do not include an open flow that is in no digest yet", func() {
		u.run(2 * time.Second)
		u.sendPacket("b", numbered(k, 0))
		t := u.agents[u.named("a").ID]
		t.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		u.silent["b"] = true
		for range 5 {
			Expect(u.findLost("a")).To(BeEmpty())
			u.now += inquiryRetryInterval
		}
		u.silent["b"] = false
		u.now += inquiryRetryIntervalMax
		Expect(u.findLost("a")).To(BeEmpty())
		Expect(t.HasSuspects()).To(BeFalse())
		path, action := u.sendPacket("a", data(k))
		Expect(path).To(Equal("ab"))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against clients that wait for seconds because one VM is unreachable after a power
	// failure and not marked as failed yet. Its last digest proves nothing, since a younger flow may be
	// missing from it, but its silence for a second does.
	It("are reset although a peer that has sent its complete digest does not answer", func() {
		u.class = packet.NewClass(1, 300*time.Millisecond, true)
		u.powerCycle()
		u.silent["c"] = true
		u.sendPacket("a", data(k))
		Expect(u.agents[u.named("a").ID].peers.get(u.named("c").ID).inbox.verified).To(BeTrue())
		lost, took := u.firstLoss("a", 2*time.Second)
		Expect(lost).To(HaveLen(1))
		Expect(took).To(BeNumerically("~", peerSilenceTimeoutAfterOutage, suspectCheckInterval))
	})

	// Guards against a reset of a flow at an upstream that was marked as failed by mistake
	// because it reported late.
	It("do not include an open flow of an upstream that was marked as failed", func() {
		u.run(2 * time.Second)
		u.sendPacket("b", numbered(k, 0))
		u.setState("b", Failed)
		u.announce()
		t := u.agents[u.named("a").ID]
		t.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		Expect(u.findLost("a")).To(BeEmpty())
		Expect(t.HasSuspects()).To(BeFalse())
	})

	// Guards against clients that wait for a failed upstream although they could retry
	// elsewhere, and against the end of a request that must not be repeated while its
	// upstream is only paused and may still respond.
	DescribeTable("are reset at a failed upstream depending on whether requests may be repeated", func(mayRepeat bool, wait time.Duration) {
		u.run(2 * time.Second)
		u.class = packet.NewClass(1, 200*time.Millisecond, mayRepeat)
		u.setState("b", Failed)
		u.announce()
		u.silent["b"] = true
		began := u.now
		for u.now-began < wait {
			u.sendPacket("a", data(k))
			Expect(u.findLost("a")).To(BeEmpty())
			u.now += suspectCheckInterval
		}
		u.sendPacket("a", data(k))
		u.findLost("a")
		u.now += suspectCheckInterval
		Expect(u.agents[u.named("a").ID].lost.has(u.now, k.Hash()) || len(u.findLost("a")) == 1).To(BeTrue())
	},
		Entry("requests that may be repeated", true, failedPeerGracePeriod),
		Entry("requests that may run only once", false, failedPeerGracePeriod),
	)

	// Guards against a reset of a flow at an upstream that has just joined and that the first
	// choice does not know: a peer lists it in its answer.
	It("are not reset while a peer lists an unknown upstream", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		t.SetPeers(u.now, u.list[:3])
		u.now += peerListSettleTime
		u.sendPacket("a", data(k))
		Expect(u.findLost("a")).To(BeEmpty())
		u.now += time.Second
		Expect(u.findLost("a")).To(BeEmpty())
		t.SetPeers(u.now, u.list)
		u.now += peerListSettleTime
		Expect(u.findLost("a")).To(HaveLen(1))
	})

	// Guards against one inquiry for each of many flows that become suspect together.
	It("share inquiries", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		asked, lost := 0, 0
		for n := range 300 {
			k := key(n, packet.ProtoTCP)
			if u.ranking(k)[0].Name == "a" {
				u.sendPacket("a", data(k))
				lost++
			}
		}
		for t.HasSuspects() {
			before := t.Counters().Asked
			lost -= len(u.findLost("a"))
			asked += int(t.Counters().Asked - before)
			u.now += suspectCheckInterval
		}
		Expect(lost).To(BeZero())
		Expect(asked).To(Equal(3))
	})

	// Guards against answers that belong to no inquiry of this agent.
	It("are decided only by peers' answers to the agent's own inquiries", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		u.sendPacket("a", data(k))
		_, inquiries, _ := t.CheckSuspects(u.now)
		Expect(inquiries).To(HaveLen(1))
		for _, a := range []packet.InquiryAnswer{
			{From: 99, Number: inquiries[0].Inquiry.Number, Statuses: []packet.FlowStatus{packet.NotHeld}},
			{From: u.named("b").ID, Number: inquiries[0].Inquiry.Number + 1, Statuses: []packet.FlowStatus{packet.NotHeld}},
			{From: u.named("b").ID, Number: inquiries[0].Inquiry.Number},
		} {
			t.HandleInquiryAnswer(u.now, &a)
		}
		Expect(t.inquiries[0].answers).To(BeEmpty())
	})

	// Guards against a reset of an open flow after a planned restart of its first choice, when a
	// removal queued for the old incarnation is applied to the digest for the new one, which
	// then lacks the flow and appears complete.
	It("do not include an open flow whose first choice has restarted", func() {
		u.run(2 * time.Second)
		u.setState("a", Draining)
		u.announce()
		u.sendPacket("b", numbered(k, 0))
		u.reply("b", k)
		u.setState("a", Ready)
		u.announce()
		u.run(settled)
		u.setState("a", AgentRestarting)
		u.announce()
		u.run(time.Second)
		u.restartAgent("a")
		u.setState("a", Ready)
		u.reportStart("a")
		for range 4 {
			u.run(10 * time.Second)
			path, action := u.sendPacket("a", data(k))
			Expect(path).To(Equal("ab"))
			Expect(action.Kind).To(Equal(Deliver))
			Expect(u.findLost("a")).To(BeEmpty())
			u.agents[u.named("a").ID].ownerRecords.forget(k.Hash()) // as after a long pause
		}
	})

	// Guards against resets by an agent that knows no peers yet because no balancer has
	// answered: every flow appears lost to it.
	It("are not reset before the peers are known", func() {
		self := u.named("a")
		t := NewTable(u.agents[self.ID].cfg, self, testService, rand.New(rand.NewPCG(3, 3)))
		u.agents[self.ID] = t
		t.SetUpstreamStart(u.now, self.Start, true)
		t.SetPeers(u.now, []Upstream{self})
		in := data(k)
		h := packet.Header{Service: testService}
		t.Receive(u.now, &h, &in)
		u.now += peerListSettleTime
		Expect(u.findLost("a")).To(BeEmpty())
		t.SetPeersKnown(u.now)
		u.now += peerListSettleTime
		Expect(u.findLost("a")).To(HaveLen(1))
	})

	// Guards against a reset by an agent that is the first choice only in another balancer's
	// view.
	It("are not reset by another agent than their first choice", func() {
		u.run(2 * time.Second)
		u.sendPacket("b", data(k))
		for range 5 {
			u.now += inquiryRetryInterval
			Expect(u.findLost("b")).To(BeEmpty())
		}
		Expect(u.agents[u.named("b").ID].HasSuspects()).To(BeFalse())
	})

	// Guards against a new flow with the same addresses that is ended together with the old
	// one.
	It("do not prevent a new flow with the same addresses and ports", func() {
		u.sendPacket("a", numbered(k, 0))
		u.restartUpstream("a")
		u.sendPacket("a", numbered(k, 0))
		_, action := u.sendPacket("a", data(k))
		Expect(action.Kind).To(Equal(Deliver))
	})
})

var _ = Describe("Copies of a SYN", func() {
	// Guards against a SYN that is returned to the agent that has not answered it.
	It("are accepted by the agent that receives them, without an offer to the first choice", func() {
		u := newUpstreamRig(4)
		u.run(time.Second) // not settled: other first packets are offered to possible owners
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		path, action := u.sendPacket("b", numbered(k, 1))
		Expect(path).To(Equal("b"))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against a flow that two upstreams have answered and that is lost at both: the
	// upstream whose sequence number the client has not acknowledged returns its packets.
	It("leave the flow at the upstream whose sequence number the client acknowledges", func() {
		u := newUpstreamRig(4)
		u.run(settled)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		u.sendPacket("a", numbered(k, 0))
		u.sendPacket("b", numbered(k, 1))
		delete(u.held["a"], k)
		u.run(time.Second)
		path, action := u.sendPacket("a", data(k))
		Expect(path).To(Equal("a!b"))
		Expect(action.Kind).To(Equal(Deliver))
	})
})

var _ = Describe("A fleet that starts all at once", func() {
	// Guards against the flows of all clients going to the first upstream that is ready.
	It("distributes flows over running upstreams although their agents are starting", func() {
		fleet := newUpstreamRig(3)
		for _, name := range []string{"b", "c"} {
			fleet.setState(name, Starting)
		}
		router := NewRouter(RouterConfig{})
		router.SetView(0, testView(fleet.list))
		used := map[packet.AgentID]bool{}
		for n := range 100 {
			in := syn(key(n, packet.ProtoTCP))
			used[router.Route(0, &in).Agent] = true
		}
		Expect(used).To(HaveLen(3))

		fleet.announce()
		k := fleet.keyRanked(packet.ProtoTCP, "b", "a", "c")
		path, action := fleet.sendPacket("b", numbered(k, 0))
		Expect(path).To(Equal("b"))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against flows for an agent whose upstream has not started, and for a single new
	// upstream that does not know its peers' flows yet.
	It("uses no upstream that has not reported its start, nor one that joins a running fleet", func() {
		u := newUpstreamRig(3)
		for i := range u.list {
			if u.list[i].Name != "a" {
				u.list[i].Start = 0
			}
		}
		u.setState("b", Starting)
		u.setState("c", Starting)
		u.announce()
		for _, p := range u.agents[u.named("a").ID].peers.list {
			Expect(p.State).To(Equal(Starting))
		}
		joined := newUpstreamRig(3)
		joined.setState("b", Starting)
		joined.announce()
		Expect(joined.agents[joined.named("a").ID].peers.get(joined.named("b").ID).State).To(Equal(Starting))
	})
})
