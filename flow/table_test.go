package flow

import (
	"bytes"
	"encoding/gob"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

const settled = 40 * time.Second // longer than settling time and slow start

var _ = Describe("Table", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig(5, TableConfig{})
		r.run(settled)
	})

	It("rule 1: never delivers a packet of another service", func() {
		h := packet.Header{Service: otherService}
		in := syn(key(1, packet.ProtoTCP))
		a := r.agents[r.named("a").ID].Receive(r.now, &h, &in)
		Expect(a).To(Equal(Action{Kind: Drop, Reason: ReasonWrongService}))
		Expect(r.owners).To(BeEmpty())
	})

	It("panics when a packet of another service is delivered", func() {
		h := packet.Header{Service: otherService}
		Expect(func() { r.agents[r.named("a").ID].deliver(r.now, &h, &entry{}) }).To(PanicWith(ContainSubstring("service")))
	})

	It("panics when a packet would visit an agent twice or exceed its hops", func() {
		t := r.agents[r.named("a").ID]
		b := t.peers.get(r.named("b").ID)
		Expect(func() { t.forward(&packet.Header{Visited: [4]packet.AgentID{b.ID}}, b) }).To(PanicWith(ContainSubstring("already visited")))
		Expect(func() { t.forward(&packet.Header{Hops: packet.MaxHops}, b) }).To(PanicWith(ContainSubstring("hops")))
	})

	It("drops headers with an inconsistent path instead of panicking", func() {
		a, b, c := r.named("a").ID, r.named("b").ID, r.named("c").ID
		for _, h := range []packet.Header{
			{Hops: 1, Visited: [4]packet.AgentID{a}},
			{Hops: 0, Visited: [4]packet.AgentID{b}},
			{Hops: 2, Visited: [4]packet.AgentID{0, b}},
			{Hops: 4, Visited: [4]packet.AgentID{b, c, b}},
			{Hops: packet.MaxHops + 1},
		} {
			h.Service = testService
			in := data(key(1, packet.ProtoTCP))
			Expect(r.agents[a].Receive(r.now, &h, &in).Reason).To(Equal(ReasonBadPath))
		}
	})

	It("rule 2: delivers packets of its flows, with a hint only after a detour", func() {
		k := r.keyRanked(packet.ProtoTCP, "a", "b")
		_, a := r.send(r.named("a"), syn(k))
		Expect(a).To(Equal(Action{Kind: Deliver}))
		path, a := r.send(r.named("c"), data(k))
		Expect(path).To(Equal("ca"))
		Expect(a.Hint).To(BeTrue())
	})

	It("rule 3: finds the owner by its digest after any number of changes", func() {
		k := r.keyRanked(packet.ProtoTCP, "a", "b", "c", "d", "e")
		for _, name := range []string{"a", "b", "c", "d"} {
			r.setState(name, Draining)
		}
		r.announce()
		r.run(settled)
		r.send(r.named("e"), syn(k))
		for _, name := range []string{"d", "c", "b", "a"} {
			r.setState(name, Ready)
			r.announce()
			r.run(settled)
			path, a := r.send(r.named(name), data(k))
			Expect(path).To(Equal(name + "e"))
			Expect(a.Kind).To(Equal(Deliver))
		}
	})

	It("rule 3: starting agents receive digests before they are ready", func() {
		k := r.keyRanked(packet.ProtoUDP, "a", "b")
		r.setState("a", Draining)
		r.announce()
		r.send(r.named("b"), udp(k))
		r.run(settled)
		r.setState("a", Starting)
		r.announce()
		Expect(r.agents[r.named("a").ID].likelyOwner(r.now, k.Hash(), &packet.Header{})).To(BeNil())
		r.run(5 * time.Second)
		Expect(r.agents[r.named("a").ID].likelyOwner(r.now, k.Hash(), &packet.Header{}).Name).To(Equal("b"))
	})

	It("rule 4: accepts a new flow of which it is the first choice without an offer", func() {
		path, a := r.send(r.named("a"), syn(r.keyRanked(packet.ProtoTCP, "a")))
		Expect(path).To(Equal("a"))
		Expect(a.Kind).To(Equal(Deliver))
	})

	It("rule 4: offers a first packet to the previous first choice after a change", func() {
		k := r.keyRanked(packet.ProtoTCP, "a", "b")
		r.send(r.named("a"), syn(k))
		r.setState("a", Draining)
		r.announce()
		path, _ := r.send(r.named("b"), syn(k)) // a retransmission through a balancer with the new view
		Expect(path).To(Equal("ba"))
		Expect(r.secondOwners).To(BeZero())
	})

	It("rule 4: accepts the flow when the previous first choice does not know it", func() {
		k := r.keyRanked(packet.ProtoTCP, "a", "b")
		r.setState("a", Draining)
		r.announce()
		path, a := r.send(r.named("b"), syn(k))
		Expect(path).To(Equal("bab"))
		Expect(a.Kind).To(Equal(Deliver))
		path, _ = r.send(r.named("a"), syn(k)) // through a balancer with the old view
		Expect(path).To(Equal("ab"))
		Expect(r.secondOwners).To(BeZero())
	})

	It("rule 4: offers the flow to the first choice when its own view is outdated", func() {
		k := r.keyRanked(packet.ProtoUDP, "a", "b")
		r.send(r.named("a"), udp(k))
		r.setState("a", Draining) // the balancer has received the change, b has not
		path, _ := r.send(r.named("b"), udp(k))
		Expect(path).To(Equal("ba"))
	})

	It("rule 5: finds a young flow before its digest is sent", func() {
		k := r.keyRanked(packet.ProtoTCP, "a", "b", "c")
		r.setState("a", Draining)
		r.announce()
		r.send(r.named("b"), syn(k))
		path, _ := r.send(r.named("c"), data(k))
		Expect(path).To(HaveSuffix("b"))
	})

	It("rule 5: drops a packet that no agent owns after at most MaxHops", func() {
		path, a := r.send(r.named("a"), data(key(1, packet.ProtoTCP)))
		Expect(path).To(HaveLen(packet.MaxHops + 1))
		Expect(a).To(Equal(Action{Kind: Drop, Reason: ReasonNoOwner}))
	})

	It("a draining agent keeps its flows and accepts no new ones", func() {
		k := r.keyRanked(packet.ProtoTCP, "a", "b")
		r.send(r.named("a"), syn(k))
		r.setState("a", Draining)
		_, a := r.send(r.named("a"), data(k))
		Expect(a).To(Equal(Action{Kind: Deliver}))
		for n := range 100 {
			r.send(r.named("a"), syn(key(1000+n, packet.ProtoTCP)))
		}
		t := r.agents[r.named("a").ID]
		Expect(t.Open()).To(Equal(1))
		r.run(settled)
		Expect(t.Drained(r.now)).To(BeFalse())
		reset := data(k)
		reset.RST = true
		r.send(r.named("a"), reset)
		r.run(5 * time.Second)
		Expect(t.Drained(r.now)).To(BeTrue())
	})

	It("drops a first packet when no agent accepts flows", func() {
		for _, u := range r.list {
			r.setState(u.Name, Draining)
		}
		r.announce()
		_, a := r.send(r.named("a"), syn(key(1, packet.ProtoTCP)))
		Expect(a.Reason).To(Equal(ReasonNoUpstream))
	})

	It("hands a new flow off only above the threshold, and records the hand-off", func() {
		k := r.keyRanked(packet.ProtoTCP, "a", "b")
		fill := func(from, n int) {
			for i := from; i < from+n; i++ {
				k := key(20000+i, packet.ProtoUDP)
				r.agents[r.named("a").ID].takeOwnership(r.now, k.Hash(), &k)
			}
			r.run(3 * time.Second)
		}
		fill(0, 8) // MinExcess
		path, _ := r.send(r.named("a"), syn(k))
		Expect(path).To(Equal("a"))
		fill(8, 30)
		k = r.keyRanked(packet.ProtoUDP, "a", "b")
		path, a := r.send(r.named("a"), udp(k))
		Expect(path).To(Equal("ab"))
		Expect(a.Hint).To(BeTrue())
		path, _ = r.send(r.named("a"), udp(k)) // before the digest is sent
		Expect(path).To(Equal("ab"))
	})

	It("slow start limits an agent that has just become ready", func() {
		for n := range 500 {
			k := key(n, packet.ProtoTCP)
			r.send(r.ranking(k)[0], syn(k))
		}
		r.setState("a", Draining)
		r.announce()
		r.run(settled)
		r.setState("a", Ready)
		r.announce()
		r.run(time.Second)
		t := r.agents[r.named("a").ID]
		before := t.Open()
		Expect(t.limit(r.now)).To(BeNumerically("<", t.limit(r.now+29*time.Second)))
		Expect(t.limit(r.now + 30*time.Second)).To(Equal(t.cfg.MaxFlows))
		for n := 1000; n < 1400; n++ {
			k := key(n, packet.ProtoTCP)
			r.send(t.self, syn(k))
		}
		Expect(t.Open()).To(BeNumerically("<=", max(before, t.limit(r.now))))
	})

	It("keeps a starting agent from becoming ready until all peers have sent their digests", func() {
		r.setState("a", Draining)
		r.announce()
		for n := range 300 {
			k := key(n, packet.ProtoTCP)
			r.send(r.named("b"), syn(k))
		}
		r.run(settled)
		restarted := r.named("a")
		restarted.Incarnation, restarted.State = 99, Starting
		t := NewTable(TableConfig{}, restarted, testService, nil)
		r.agents[restarted.ID], r.list[0] = t, restarted
		r.announce()
		t.SetState(r.now, Draining)
		t.SetState(r.now, Starting)
		Expect(t.MayBecomeReady(r.now)).To(BeFalse())
		r.run(5 * time.Second)
		Expect(t.MayBecomeReady(r.now)).To(BeTrue())
	})
})

var _ = Describe("flow end", func() {
	var r *rig
	var t *Table
	var k packet.Key
	flagged := func(fin, rst bool) packet.Info {
		in := data(k)
		in.FIN, in.RST = fin, rst
		return in
	}
	reply := func(fin bool) {
		in := packet.Info{Key: k.Reverse(), FIN: fin}
		t.HandleReply(r.now, &in)
	}
	BeforeEach(func() {
		r = newRig(1, TableConfig{})
		t = r.agents[r.named("a").ID]
		k = key(1, packet.ProtoTCP)
		r.send(t.self, syn(k))
		Expect(t.Open()).To(Equal(1))
	})

	It("waits for FIN in both directions if replies pass the agent", func() {
		reply(false)
		r.send(t.self, flagged(true, false))
		r.run(10 * time.Second)
		Expect(t.Open()).To(Equal(1)) // half-closed: the response is still running
		reply(true)
		Expect(t.Open()).To(BeZero())
		r.run(4 * time.Second)
		Expect(r.owners).To(BeEmpty())
	})

	It("ends on the client's FIN or on RST after the linger time", func() {
		for _, in := range []packet.Info{flagged(true, false), flagged(false, true)} {
			r.send(t.self, syn(k))
			r.send(t.self, in)
			Expect(r.owners).To(HaveLen(1)) // lingers for retransmissions
			r.run(4 * time.Second)
			Expect(r.owners).To(BeEmpty())
		}
	})

	It("reopens an ended flow on a new SYN", func() {
		r.send(t.self, flagged(false, true))
		r.send(t.self, syn(k))
		r.run(10 * time.Second)
		Expect(t.Open()).To(Equal(1))
	})

	It("ends idle UDP after 3 min and keeps an idle TCP feed for a day", func() {
		u := key(2, packet.ProtoUDP)
		r.send(t.self, udp(u))
		r.run(3*time.Minute + 2*time.Second)
		Expect(r.owners).To(HaveLen(1))
		r.now = 24*time.Hour - time.Minute
		r.run(30 * time.Second)
		Expect(t.Open()).To(Equal(1))
		r.run(time.Minute)
		Expect(t.Open()).To(BeZero())
	})
})

var _ = Describe("bounded state", func() {
	It("holds at most MaxFlows, MaxDigest and MaxOwnerRecords", func() {
		r := newRig(2, TableConfig{MaxFlows: 10, MaxDigest: 5, MaxOwnerRecords: 3})
		r.run(settled)
		for n := range 100 {
			r.send(r.named("a"), syn(key(n, packet.ProtoTCP)))
			r.run(100 * time.Millisecond)
		}
		r.run(settled)
		for _, t := range r.agents {
			Expect(t.Open()).To(BeNumerically("<=", 10))
			Expect(t.digestRoom()).To(BeNumerically(">=", 0))
			Expect(len(t.ownerRecords.byHash)).To(BeNumerically("<=", 3))
		}
	})
})

var _ = Describe("Message", func() {
	It("is unchanged by gob encoding and decoding", func() {
		m := Message{From: 1, To: 2, Incarnation: 3, HasLoad: true, Open: 4, Limit: 5, Seq: 6, Reset: true,
			Add: []uint32{7}, Remove: []uint32{8}, Check: true, Count: 9, Sum: 10, Resync: true}
		var b bytes.Buffer
		Expect(gob.NewEncoder(&b).Encode(m)).To(Succeed())
		var back Message
		Expect(gob.NewDecoder(&b).Decode(&back)).To(Succeed())
		Expect(back).To(Equal(m))
	})

	It("is ignored by an agent that is not its receiver", func() {
		r := newRig(2, TableConfig{})
		t := r.agents[r.named("a").ID]
		t.Handle(r.now, Message{From: r.named("b").ID, To: 99, Seq: 1, Add: []uint32{1}})
		Expect(t.inbox(r.named("b").ID).count).To(BeZero())
	})
})
