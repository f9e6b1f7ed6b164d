package flow

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// upstreams are the upstreams beside the agents of a rig: each holds flows and returns
// the packets of others.
type upstreams struct {
	*rig
	holds map[string]map[packet.Key]bool // by agent
	shown map[string]int                 // packets of flows that the upstream does not hold
	mute  map[string]bool                // agents that answer no inquiry
	class packet.Class                   // of all packets
}

const rebuildTime = 20 * time.Second

func newUpstreams(n int) *upstreams {
	u := &upstreams{
		rig:   newRig(n, TableConfig{Rebuild: rebuildTime, DigestDelay: time.Millisecond, Settling: 4 * time.Second}),
		holds: map[string]map[packet.Key]bool{},
		shown: map[string]int{},
		mute:  map[string]bool{},
	}
	for i := range u.list {
		u.list[i].Start = uint64(100 + i)
		u.holds[u.list[i].Name] = map[packet.Key]bool{}
		u.agents[u.list[i].ID].SetUpstreamStart(0, u.list[i].Start, true)
	}
	u.announce()
	for _, t := range u.agents {
		t.SetPeersKnown(0)
	}
	return u
}

// restartAgent replaces the agent's table by an empty one.
func (u *upstreams) restartAgent(name string) {
	for i := range u.list {
		if u.list[i].Name == name {
			u.list[i].Incarnation += 100
			old := u.agents[u.list[i].ID]
			self := u.list[i]
			self.Start = 0 // until the upstream announces itself
			t := NewTable(old.cfg, self, testService, rand.New(rand.NewPCG(2, uint64(i))))
			t.cfg.Observer = nil
			t.StartRebuild(u.now)
			t.SetPeersKnown(u.now)
			u.agents[u.list[i].ID] = t
		}
	}
	u.announce()
}

// startKnown makes the agent learn the start of its running upstream.
func (u *upstreams) startKnown(name string) {
	for i := range u.list {
		if u.list[i].Name == name {
			u.list[i].Start = uint64(100 + i)
			u.agents[u.list[i].ID].SetUpstreamStart(u.now, u.list[i].Start, false)
		}
	}
	u.announce()
	u.now += peerListSettleTime
}

// lost looks after the suspected flows of an agent and returns those that are lost. Its
// peers are asked and answer at once, but for those that are away or mute.
func (u *upstreams) lost(name string) []LostFlow {
	t := u.agents[u.named(name).ID]
	lost, asks, _ := t.CheckSuspects(u.now)
	for _, ask := range asks {
		for _, p := range u.list {
			if slices.Contains(ask.To, p.Addr) && p.State != AgentRestarting && !u.mute[p.Name] {
				a := u.agents[p.ID].AnswerInquiry(u.now, &ask.Inquiry)
				t.HandleInquiryAnswer(u.now, &a)
			}
		}
	}
	more, _, _ := t.CheckSuspects(u.now)
	return append(lost, more...)
}

// answer delivers what the first agent has to tell the second at once.
func (u *upstreams) answer(from, to string) {
	for _, m := range u.agents[u.named(from).ID].Step(u.now) {
		if m.To == u.named(to).ID {
			u.agents[m.To].Handle(u.now, m)
		}
	}
}

// restartUpstream ends all flows of the upstream.
func (u *upstreams) restartUpstream(name string) {
	for i := range u.list {
		if u.list[i].Name == name {
			u.list[i].Start += 1000
			u.holds[name] = map[packet.Key]bool{}
			u.agents[u.list[i].ID].SetUpstreamStart(u.now, u.list[i].Start, true)
		}
	}
	u.announce()
}

// pass sends a packet to the agent and on, as the upstreams make it go. It returns the
// agents visited and the last action.
func (u *upstreams) pass(first string, in packet.Info) (string, Action) {
	h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin, Class: u.class}
	t, path := u.agents[u.named(first).ID], ""
	for {
		path += t.self.Name
		a := t.Receive(u.now, &h, &in)
		if a.Kind == Deliver && !u.accepts(t.self.Name, &in) {
			u.shown[t.self.Name]++
			path += "!"
			a = t.Returned(u.now, &h, &in)
		}
		if a.Kind != Forward {
			return path, a
		}
		t = u.agents[a.To]
	}
}

func (u *upstreams) accepts(name string, in *packet.Info) bool {
	if in.First {
		u.holds[name][in.Key] = true
	}
	return u.holds[name][in.Key]
}

// reply passes a packet of the upstream for the flow to its agent.
func (u *upstreams) reply(name string, k packet.Key) {
	in := packet.Info{Key: k.Reverse(), Flags: packet.FlagACK}
	u.agents[u.named(name).ID].Reply(u.now, &in)
}

// numbered returns copy n of a SYN.
func numbered(k packet.Key, n uint8) packet.Info {
	in := syn(k)
	in.Numbered, in.Repeat = true, n
	return in
}

var _ = Describe("An agent that restarts beside a running upstream", func() {
	var (
		u *upstreams
		k packet.Key
	)
	BeforeEach(func() {
		u = newUpstreams(4)
		u.run(settled)
		k = u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	})

	// Guards against flows that a restart of their agent breaks.
	It("finds the flows that its upstream holds", func() {
		u.pass("a", numbered(k, 0))
		u.restartAgent("a")
		path, action := u.pass("a", data(k))
		Expect(path).To(Equal("a"))
		Expect(action.Kind).To(Equal(Deliver))
		u.now += probeTimeout
		u.pass("a", data(k))
		Expect(u.agents[u.named("a").ID].Open()).To(Equal(1))
	})

	// Guards against a table that stays empty where packets of the upstream show flows.
	It("learns flows from its upstream's packets", func() {
		u.pass("a", numbered(k, 0))
		u.restartAgent("a")
		u.reply("a", k)
		Expect(u.agents[u.named("a").ID].Open()).To(Equal(1))
	})

	// Guards against the flows that the upstream's packets have shown being taken for
	// those of an earlier start when the upstream announces itself.
	It("keeps the flows it has learned when it learns its upstream's start", func() {
		u.pass("a", numbered(k, 0))
		u.restartAgent("a")
		u.reply("a", k)
		u.agents[u.named("a").ID].SetUpstreamStart(u.now, u.named("a").Start, false)
		_, action := u.pass("a", data(k))
		Expect(action.Kind).To(Equal(Deliver))
		Expect(u.agents[u.named("a").ID].Open()).To(Equal(1))
	})

	// Guards against packets of one flow that reach three upstreams which do not hold it:
	// one packet at a time is shown, and once to each.
	It("shows one packet of a flow that its upstream does not hold", func() {
		u.setState("a", Draining)
		u.announce()
		u.pass("b", numbered(k, 0))
		u.setState("a", Ready)
		u.restartAgent("a")
		u.agents[u.named("a").ID].SetState(u.now, Ready)
		for range 20 {
			_, action := u.pass("a", data(k))
			Expect(action.Kind).To(Equal(Deliver))
		}
		Expect(u.shown).To(Equal(map[string]int{"a": 1}))
	})

	// Guards against a second packet that is shown before the upstream had the time to
	// return the first.
	It("shows no second packet while the first may still be returned", func() {
		u.restartAgent("a")
		t := u.agents[u.named("a").ID]
		in := data(k)
		first, second := packet.Header{Service: testService}, packet.Header{Service: testService}
		Expect(t.Receive(u.now, &first, &in).Kind).To(Equal(Deliver))
		Expect(t.Receive(u.now, &second, &in)).To(Equal(Action{Kind: Drop, Reason: ReasonWaiting}))
	})

	// Guards against packets of a flow that visit other upstreams while only the owner's
	// agent is away for a moment.
	It("shows the packets of its flows to no other upstream while it is away", func() {
		u.pass("a", numbered(k, 0))
		u.setState("a", AgentRestarting)
		u.announce()
		for range 20 {
			u.now += 100 * time.Millisecond
			path, action := u.pass("b", data(k))
			Expect(path).To(Equal("ba"))
			Expect(action.Kind).NotTo(Equal(Reset))
		}
		Expect(u.shown).To(BeEmpty())
	})

	// Guards against the loss of a silent flow that its restarted owner has not learned
	// again: its first choice still knows from the old digest where it is.
	It("is still found by its old digest", func() {
		u.setState("a", Draining)
		u.announce()
		u.pass("b", numbered(k, 0))
		u.setState("a", Ready)
		u.announce()
		u.run(2 * time.Second)
		u.restartAgent("b")
		u.run(5 * time.Second)
		path, action := u.pass("a", data(k))
		Expect(path).To(Equal("ab"))
		Expect(action.Kind).To(Equal(Deliver))
	})
})

var _ = Describe("The flows of an upstream that has ended", func() {
	var (
		u *upstreams
		k packet.Key
	)
	BeforeEach(func() {
		u = newUpstreams(4)
		u.run(settled)
		k = u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	})

	// Guards against clients that wait for their deadline on a lost flow.
	It("are reset by the agent that held them, at once", func() {
		u.pass("a", numbered(k, 0))
		u.restartUpstream("a")
		_, action := u.pass("a", data(k))
		Expect(action).To(Equal(Action{Kind: Reset, Reason: ReasonFlowLost}))
	})

	// Guards against clients that wait after a power failure, when nobody remembers
	// any flow.
	It("are reset by their first choice once no upstream can hold them", func() {
		u.run(2 * time.Second)
		in := data(k)
		in.Ack = 77
		_, action := u.pass("a", in)
		Expect(action.Kind).To(Equal(Drop))
		t := u.agents[u.named("a").ID]
		Expect(t.HasSuspects()).To(BeTrue())
		Expect(u.lost("a")).To(Equal([]LostFlow{{Key: k, Ack: 77}}))
		Expect(t.HasSuspects()).To(BeFalse())
		path, action := u.pass("a", in)
		Expect(path).To(Equal("a"))
		Expect(action.Kind).To(Equal(Reset))
	})

	// Guards against a reset of a flow that an upstream holds whose agent does not know
	// it yet: the agent is asked, and shows the packet to its upstream.
	It("are not reset before agents that may not know their flows were asked", func() {
		u.restartAgent("c")
		u.restartAgent("d")
		u.run(2 * time.Second)
		u.startKnown("c")
		u.startKnown("d")
		u.mute["c"], u.mute["d"] = true, true
		path, _ := u.pass("a", data(k))
		Expect(path).To(HavePrefix("ad!c!"))
		Expect(u.lost("a")).To(BeEmpty())
		u.now += answerTimeout
		Expect(u.lost("a")).To(BeEmpty(), "an agent that does not know its flows is waited for")
		u.mute["d"] = false
		u.now += inquiryRetryIntervalMax
		Expect(u.lost("a")).To(BeEmpty())
		u.mute["c"] = false
		u.now += inquiryRetryIntervalMax
		Expect(u.lost("a")).To(HaveLen(1))

		held := u.keyRanked(packet.ProtoTCP, "a", "d", "b", "c")
		u.holds["c"][held] = true
		path, action := u.pass("a", data(held))
		Expect(path).To(HavePrefix("ad!c"))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against a reset of a flow whose agent was never asked, because the packet got
	// lost on its way there (soak, seed 106).
	It("are not reset while an agent that was asked has not answered", func() {
		u.restartAgent("c")
		u.restartAgent("d")
		u.run(2 * time.Second)
		u.startKnown("c")
		u.startKnown("d")
		t := u.agents[u.named("a").ID]
		in := data(k)
		h := packet.Header{Service: testService}
		Expect(t.Receive(u.now, &h, &in).To).To(Equal(u.named("d").ID)) // lost
		for range 2 * time.Second / inquiryRetryIntervalMax {
			Expect(u.lost("a")).To(BeEmpty())
			u.now += inquiryRetryIntervalMax
		}
		u.mute["c"] = true
		path, _ := u.pass("a", in)
		Expect(path).To(HavePrefix("ad!c!"))
		Expect(u.lost("a")).To(BeEmpty())
		path, _ = u.pass("a", in)
		Expect(path).To(HavePrefix("ac"), "d has answered")
		u.mute["c"] = false
		u.now += inquiryRetryIntervalMax
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against clients that wait for good after a power failure: an upstream that was
	// being drained runs on without announcing itself, so that its agent never learns which
	// start it is beside, and all agents pass their unknown flows to it.
	It("are reset although an upstream that returns their packets never announces itself", func() {
		u.restartAgent("c")
		u.run(2 * time.Second)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "d", "c")
		t := u.agents[u.named("a").ID]
		t.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		Expect(u.lost("a")).To(BeEmpty())
		path, _ := u.pass("a", data(k))
		Expect(path).To(HavePrefix("ac!"))
		u.now += inquiryRetryInterval
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against a reset while more agents may hold the flow than one packet visits.
	It("are not reset while many agents may not know their flows", func() {
		u = newUpstreams(8)
		u.run(settled)
		for _, name := range []string{"d", "e", "f", "g", "h"} {
			u.restartAgent(name)
		}
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c")
		u.pass("a", data(k))
		Expect(u.lost("a")).To(BeEmpty())
		u.run(rebuildTime)
		t.expireProbes(u.now)
		u.pass("a", data(k))
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against a reset of a young flow: the step that its holder makes at once found
	// the addition younger than the digest's delay and left it for the next tick, 100 ms
	// later (harthy-ops-grown trouble-2).
	It("are not those that an upstream took a moment ago away from their first choice", func() {
		u.pass("b", numbered(u.keyRanked(packet.ProtoTCP, "a", "c", "b"), 0))
		u.run(10 * time.Second)
		u.answer("b", "a") // whatever else was due
		u.pass("b", numbered(k, 0))
		Expect(u.agents[u.named("b").ID].StepDue()).To(BeTrue())
		u.answer("b", "a")
		path, action := u.pass("a", data(k))
		Expect(path).To(Equal("ab"))
		Expect(action.Kind).To(Equal(Deliver))
		Expect(u.agents[u.named("a").ID].HasSuspects()).To(BeFalse())
	})

	// Guards against a reset of a flow that was opened elsewhere a moment ago.
	It("are not reset when a digest names the flow meanwhile", func() {
		u.run(2 * time.Second)
		u.pass("a", data(k))
		u.pass("b", numbered(k, 1))
		Expect(u.agents[u.named("b").ID].StepDue()).To(BeTrue())
		for _, m := range u.agents[u.named("b").ID].Step(u.now + time.Millisecond) {
			u.agents[m.To].Handle(u.now, m)
		}
		Expect(u.lost("a")).To(BeEmpty())
		Expect(u.agents[u.named("a").ID].HasSuspects()).To(BeFalse())
	})

	// Guards against a reset of a flow that its holder serves while its first choice waits
	// for the digest: the holder tells the agents that passed a packet on.
	It("are not reset when the holder has told of the flow", func() {
		u.run(2 * time.Second)
		u.pass("b", numbered(k, 2))
		path, action := u.pass("a", data(k))
		Expect(path).To(Equal("ab"))
		Expect(action.ExtraHints).To(ContainElement(u.named("a").Addr))
		u.agents[u.named("a").ID].HandleHint(u.now, &k, u.named("b").ID)
		Expect(u.lost("a")).To(BeEmpty())
	})

	// Guards against clients that wait for seconds because the store still names an
	// upstream that was removed during the power failure.
	It("are reset although the record of a VM that is gone says otherwise", func() {
		gone := u.list[3]
		gone.ID, gone.Name = packet.AgentIDOf("gone"), "gone"
		t := u.agents[u.named("a").ID]
		t.SetPeers(u.now, append(slices.Clone(u.list), gone))
		u.now += peerListSettleTime
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		for score(k.Hash(), seedOf(gone.ID)) > score(k.Hash(), seedOf(u.named("a").ID)) {
			k.SrcPort++
			for u.ranking(k)[0].Name != "a" {
				k.SrcPort++
			}
		}
		in := data(k)
		h := packet.Header{Service: testService}
		t.Receive(u.now, &h, &in)
		Expect(u.lost("a")).To(BeEmpty())
		u.now += peerSilenceTimeoutNewUpstream
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against clients that wait because an agent was stopped with its VM and will
	// not come back.
	It("are reset when an agent stays away for long", func() {
		u.run(2 * time.Second)
		u.setState("d", AgentRestarting)
		u.announce()
		u.now += peerListSettleTime
		for range 4 {
			u.pass("a", data(k))
			Expect(u.lost("a")).To(BeEmpty())
			u.now += peerRestartTimeout / 4
		}
		u.pass("a", data(k))
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against a reset of a new flow with the addresses and ports of one that was
	// suspected a moment ago.
	It("are not reset when the same addresses have opened a new flow meanwhile", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		u.pass("a", data(k))
		Expect(t.HasSuspects()).To(BeTrue())
		u.pass("a", numbered(k, 0))
		Expect(u.lost("a")).To(BeEmpty())
		_, action := u.pass("a", data(k))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against clients that wait for their next repetition, 1.6 s after the one that
	// reached an agent before it knew its peers: the agent took itself for the first choice,
	// and the real one never heard of the flow.
	It("are reset although the first packet came to an agent that had just started", func() {
		u.run(2 * time.Second)
		k := u.keyRanked(packet.ProtoTCP, "b", "a", "c", "d")
		self := u.named("a")
		early := NewTable(u.agents[self.ID].cfg, self, testService, rand.New(rand.NewPCG(3, 3)))
		early.SetUpstreamStart(u.now, self.Start, true)
		early.StartRebuild(u.now)
		u.agents[self.ID] = early
		in := data(k)
		in.Ack = 9
		path, action := u.pass("a", in)
		Expect(path).To(Equal("a!"))
		Expect(action.Kind).To(Equal(Drop))
		early.SetPeers(u.now, u.list)
		early.SetPeersKnown(u.now)
		u.now += peerListSettleTime
		Expect(u.lost("a")).To(BeEmpty())
		Expect(early.HasSuspects()).To(BeFalse())
		u.answer("a", "b")
		Expect(u.lost("b")).To(Equal([]LostFlow{{Key: k, Ack: 9}}))
	})

	// Guards against a reset, on another agent's suspicion, of a flow that the first choice
	// holds or may hold.
	It("are not reset on another's word by an agent that may hold them", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		u.pass("a", numbered(k, 0))
		t.Handle(u.now, Message{From: u.named("b").ID, To: u.named("a").ID, Suspects: []Suspect{{Flow: LostFlow{Key: k}}}})
		Expect(t.HasSuspects()).To(BeFalse())

		u.restartAgent("a")
		t = u.agents[u.named("a").ID]
		u.startKnown("a")
		t.Handle(u.now, Message{From: u.named("b").ID, To: u.named("a").ID, Suspects: []Suspect{{Flow: LostFlow{Key: k}}}})
		Expect(t.HasSuspects()).To(BeFalse())
	})

	// Guards against a suspicion that is dropped because the flow was suspected before.
	It("are looked after again when another agent suspects them later", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		t.peersKnown = false
		u.pass("a", data(k))
		u.now += suspectTimeout
		Expect(u.lost("a")).To(BeEmpty())
		Expect(t.HasSuspects()).To(BeFalse())
		t.SetPeersKnown(u.now)
		u.now += peerListSettleTime
		t.Handle(u.now, Message{From: u.named("b").ID, To: u.named("a").ID, Complete: true,
			Suspects: []Suspect{{Flow: LostFlow{Key: k}}}})
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against clients that wait while a large fleet starts: for a second some agent
	// changes its state all the time, which says nothing about flows that it ranks below.
	It("are reset although upstreams of a lower rank become ready meanwhile", func() {
		u.run(2 * time.Second)
		u.pass("a", data(k))
		for _, s := range []State{Starting, Ready} {
			u.setState("d", s)
			u.announce()
		}
		u.now += time.Millisecond
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against a reset by an agent that has just become the flow's first choice: the
	// flow's holder has not told it yet.
	DescribeTable("are told from open ones just after a change of the first choice", func(change func()) {
		u.setState("a", Starting)
		u.announce()
		k = u.keyRanked(packet.ProtoTCP, "b", "a", "c", "d")
		u.run(2 * time.Second)
		u.setState("a", Ready)
		u.announce()
		u.run(2 * time.Second)
		u.pass("c", numbered(k, 2))
		change()
		u.announce()
		u.now += peerListSettleTime
		lost := u.keyRanked(packet.ProtoTCP, "b", "a", "d", "c")
		u.agents[u.named("a").ID].markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		u.agents[u.named("a").ID].markSuspect(u.now, lost.Hash(), &packet.Header{}, &packet.Info{Key: lost})
		Expect(u.lost("a")).To(Equal([]LostFlow{{Key: lost}}))
		path, action := u.pass("a", data(k))
		Expect(path).To(Equal("ac"))
		Expect(action.Kind).To(Equal(Deliver))
	},
		Entry("by one of a higher rank", func() { u.setState("b", Leaving) }),
		Entry("by this agent's own state", func() { u.setState("b", Draining); u.setState("a", Starting); u.setState("a", Ready) }),
	)

	// Guards against a reset of a young flow whose digest is on its way or was lost: however
	// long it takes, the holder is asked (harthy-ops-grown trouble-2).
	It("are told from open ones that no digest has named yet", func() {
		u.run(2 * time.Second)
		u.pass("b", numbered(k, 0))
		t := u.agents[u.named("a").ID]
		t.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		u.mute["b"] = true
		for range 5 {
			Expect(u.lost("a")).To(BeEmpty())
			u.now += inquiryRetryInterval
		}
		u.mute["b"] = false
		u.now += inquiryRetryIntervalMax
		Expect(u.lost("a")).To(BeEmpty())
		Expect(t.HasSuspects()).To(BeFalse())
		path, action := u.pass("a", data(k))
		Expect(path).To(Equal("ab"))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against clients that wait for seconds because one VM is dark and was not called
	// failed yet: its last digest names all that it held.
	It("are reset although a peer that has sent its whole digest does not answer", func() {
		u.run(2 * time.Second)
		u.mute["c"] = true
		u.pass("a", data(k))
		Expect(u.lost("a")).To(BeEmpty())
		u.now += answerTimeout - time.Millisecond
		Expect(u.lost("a")).To(BeEmpty())
		u.now += time.Millisecond
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against a reset of a flow at an upstream that was called failed by mistake,
	// because it was slow to report.
	It("are told from open ones of an upstream that was called failed", func() {
		u.run(2 * time.Second)
		u.pass("b", numbered(k, 0))
		u.setState("b", Failed)
		u.announce()
		t := u.agents[u.named("a").ID]
		t.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		Expect(u.lost("a")).To(BeEmpty())
		Expect(t.HasSuspects()).To(BeFalse())
	})

	// Guards against clients that wait for an upstream that has failed although they could ask
	// elsewhere, and against the end of a request that may not be repeated while its upstream
	// only stands still and may still answer it.
	DescribeTable("are reset at a failed upstream by what their clients can do", func(mayRepeat bool, wait time.Duration) {
		u.run(2 * time.Second)
		u.class = packet.NewClass(1, 200*time.Millisecond, mayRepeat)
		u.setState("b", Failed)
		u.announce()
		u.mute["b"] = true
		began := u.now
		for u.now-began < wait {
			u.pass("a", data(k))
			Expect(u.lost("a")).To(BeEmpty())
			u.now += failedPeerAnswerTimeout
		}
		u.pass("a", data(k))
		u.lost("a")
		u.now += failedPeerAnswerTimeout
		Expect(u.agents[u.named("a").ID].lost.has(u.now, k.Hash()) || len(u.lost("a")) == 1).To(BeTrue())
	},
		Entry("requests that may be repeated", true, failedPeerAnswerTimeout),
		Entry("requests that may run once", false, failedPeerGracePeriod),
	)

	// Guards against a reset of a flow at an upstream that has just joined and that the first
	// choice has not heard of: a peer names it.
	It("are not reset while a peer names an upstream that is not known", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		t.SetPeers(u.now, u.list[:3])
		u.now += peerListSettleTime
		u.pass("a", data(k))
		Expect(u.lost("a")).To(BeEmpty())
		u.now += answerTimeout
		Expect(u.lost("a")).To(BeEmpty())
		t.SetPeers(u.now, u.list)
		u.now += peerListSettleTime
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against an inquiry for each of many flows that turn up together.
	It("share inquiries", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		asked, lost := 0, 0
		for n := range 300 {
			k := key(n, packet.ProtoTCP)
			if u.ranking(k)[0].Name == "a" {
				u.pass("a", data(k))
				lost++
			}
		}
		for t.HasSuspects() {
			before := t.Counters().Asked
			lost -= len(u.lost("a"))
			asked += int(t.Counters().Asked - before)
			u.now += suspectCheckInterval
		}
		Expect(lost).To(BeZero())
		Expect(asked).To(Equal(3))
	})

	// Guards against answers that do not belong to a question of this agent.
	It("are judged by no answers but those of peers to what they were asked", func() {
		u.run(2 * time.Second)
		t := u.agents[u.named("a").ID]
		u.pass("a", data(k))
		_, asks, _ := t.CheckSuspects(u.now)
		Expect(asks).To(HaveLen(1))
		for _, a := range []packet.InquiryAnswer{
			{From: 99, Number: asks[0].Inquiry.Number, Standings: []packet.Standing{packet.NotHeld}},
			{From: u.named("b").ID, Number: asks[0].Inquiry.Number + 1, Standings: []packet.Standing{packet.NotHeld}},
			{From: u.named("b").ID, Number: asks[0].Inquiry.Number},
		} {
			t.HandleInquiryAnswer(u.now, &a)
		}
		Expect(t.inquiries[0].answers).To(BeEmpty())
	})

	// Guards against a reset of an open flow after a planned restart of its first choice: the
	// fingerprint was to be withdrawn from the agent that went away, and was withdrawn from
	// the one that came back, whose digest then lacked the flow and looked whole.
	It("are told from open ones after their first choice was away", func() {
		u.run(2 * time.Second)
		u.setState("a", Draining)
		u.announce()
		u.pass("b", numbered(k, 0))
		u.setState("a", Ready)
		u.announce()
		u.run(settled)
		u.setState("a", AgentRestarting)
		u.announce()
		u.run(time.Second)
		u.restartAgent("a")
		u.setState("a", Ready)
		u.startKnown("a")
		for range 4 {
			u.run(10 * time.Second)
			path, action := u.pass("a", data(k))
			Expect(path).To(Equal("ab"))
			Expect(action.Kind).To(Equal(Deliver))
			Expect(u.lost("a")).To(BeEmpty())
			u.agents[u.named("a").ID].handoffs.forget(k.Hash()) // as after a long pause
		}
	})

	// Guards against resets by an agent that has heard of no peers yet because no balancer
	// has answered: every flow looks lost to it.
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
		Expect(u.lost("a")).To(BeEmpty())
		t.SetPeersKnown(u.now)
		u.now += peerListSettleTime
		Expect(u.lost("a")).To(HaveLen(1))
	})

	// Guards against a reset by an agent that some other balancer's view ranks first.
	It("are not reset by another agent than their first choice", func() {
		u.run(2 * time.Second)
		u.pass("b", data(k))
		for range 5 {
			u.now += inquiryRetryInterval
			Expect(u.lost("b")).To(BeEmpty())
		}
		Expect(u.agents[u.named("b").ID].HasSuspects()).To(BeFalse())
	})

	// Guards against a new flow of the same addresses that the end of the old one kills.
	It("do not stand in the way of a new flow", func() {
		u.pass("a", numbered(k, 0))
		u.restartUpstream("a")
		u.pass("a", numbered(k, 0))
		_, action := u.pass("a", data(k))
		Expect(action.Kind).To(Equal(Deliver))
	})
})

var _ = Describe("Copies of a SYN", func() {
	// Guards against a SYN that goes back to the agent which has not answered it.
	It("are taken by the agent that receives them, without asking the first choice", func() {
		u := newUpstreams(4)
		u.run(time.Second) // unsettled: other first packets are offered to older owners
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		path, action := u.pass("b", numbered(k, 1))
		Expect(path).To(Equal("b"))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against a flow that is opened at two upstreams and lost at both: the one
	// that the client has not chosen returns its packets.
	It("leave the flow with the upstream that the client chose", func() {
		u := newUpstreams(4)
		u.run(settled)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		u.pass("a", numbered(k, 0))
		u.pass("b", numbered(k, 1))
		delete(u.holds["a"], k)
		u.run(time.Second)
		path, action := u.pass("a", data(k))
		Expect(path).To(Equal("a!b"))
		Expect(action.Kind).To(Equal(Deliver))
	})
})

var _ = Describe("A fleet that starts as a whole", func() {
	// Guards against the flows of all clients on the first upstream that is ready.
	It("spreads flows over upstreams that run although their agents are starting", func() {
		fleet := newUpstreams(3)
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
		path, action := fleet.pass("b", numbered(k, 0))
		Expect(path).To(Equal("b"))
		Expect(action.Kind).To(Equal(Deliver))
	})

	// Guards against flows for an agent whose upstream has not started, and for a single
	// new upstream before it knows the flows of its peers.
	It("uses no upstream that has not announced itself, nor one that joins a running fleet", func() {
		u := newUpstreams(3)
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
		joined := newUpstreams(3)
		joined.setState("b", Starting)
		joined.announce()
		Expect(joined.agents[joined.named("a").ID].peers.get(joined.named("b").ID).State).To(Equal(Starting))
	})
})
