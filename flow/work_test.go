package flow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

var _ = Describe("A table with a gate", func() {
	var (
		r *rig
		t *Table
	)
	BeforeEach(func() {
		r = newRig(1, TableConfig{Rebuild: rebuildTime, Gate: load.NewGate(load.Config{})})
		t = r.agents[r.named("a").ID]
		t.SetSlots(1) // the gate's slack allows two more
	})
	receive := func(in packet.Info) Action {
		h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin, Class: packet.NewClass(1, 200*time.Millisecond, false)}
		return t.Receive(r.now, &h, &in)
	}
	request := func(n int, seq uint32) packet.Info {
		in := data(key(n, packet.ProtoTCP))
		in.Seq, in.Payload = seq, []byte("request")
		return in
	}
	answer := func(n int) {
		k := key(n, packet.ProtoTCP)
		in := packet.Info{Key: k.Reverse(), Payload: []byte("answer")}
		t.HandleReply(r.now, &in)
	}
	open := func(n int) Action { return receive(numbered(key(n, packet.ProtoTCP), 0)) }

	// Guards against requests that are counted twice or never stop counting.
	It("counts the requests at its upstream", func() {
		open(1)
		Expect(t.Load()).To(Equal(load.Load{Slots: 1, Opening: 1}))
		receive(request(1, 100))
		receive(request(1, 100)) // retransmitted
		Expect(t.Load()).To(Equal(load.Load{Slots: 1, Busy: 1, BusyBelow: [load.Priorities]int{1}}))
		answer(1)
		receive(request(1, 100)) // late copy
		Expect(t.Load()).To(Equal(load.Load{Slots: 1}))
		receive(request(1, 107))
		Expect(t.Load().Busy).To(Equal(1))
		receive(packet.Info{Key: key(1, packet.ProtoTCP), RST: true})
		Expect(t.Load()).To(Equal(load.Load{Slots: 1}))
	})

	// Load pattern: requests on flows that stay open fill the slots without asking the gate. Guards
	// against flows of a higher priority that wait behind them, and against a count that a change of
	// the routes during a request leaves wrong.
	It("accepts flows of a higher priority beside requests of a lower one", func() {
		class := packet.NewClass(2, 200*time.Millisecond, true)
		send := func(in packet.Info) Action {
			h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin, Class: class}
			return t.Receive(r.now, &h, &in)
		}
		t.SetSlots(2) // the gate's slack allows two more
		for n := range 4 {
			send(numbered(key(n, packet.ProtoTCP), 0))
			send(request(n, 1))
		}
		Expect(send(numbered(key(10, packet.ProtoTCP), 0)).Kind).To(Equal(Wait))
		Expect(open(11).Kind).To(Equal(Deliver))
		Expect(open(12).Kind).To(Equal(Deliver))
		Expect(open(13).Kind).To(Equal(Wait), "three requests for each slot are the limit")
		class = packet.NewClass(1, 200*time.Millisecond, true) // the routes have changed
		for n := range 4 {
			send(request(n, 8))
			answer(n)
		}
		Expect(t.Load().BusyBelow).To(Equal([load.Priorities]int{}))
	})

	// Guards against a slot that stays reserved for a client that has timed out.
	It("expects the first request of a new flow only for a short time", func() {
		open(1)
		r.now += openDelayInitial
		t.expireOpenings(r.now)
		Expect(t.Load().Opening).To(Equal(0))
	})

	// Load pattern: all clients open flows again after an outage, and many have timed out or
	// have had their flows accepted elsewhere too. Guards against slots that stay idle for such
	// clients when the round trip is short, and against slots that are assigned twice when it
	// is long.
	DescribeTable("expects the first request for as long as its clients' round trips take", func(trip time.Duration) {
		for n := range 50 {
			open(n)
			r.now += trip + time.Duration(n%3)*time.Millisecond
			receive(request(n, 1))
			answer(n)
			receive(packet.Info{Key: key(n, packet.ProtoTCP), RST: true})
		}
		open(100)
		r.now += trip
		t.expireOpenings(r.now)
		Expect(t.Load().Opening).To(Equal(1), "the request may still arrive")
		r.now += 12 * time.Millisecond
		t.expireOpenings(r.now)
		Expect(t.Load().Opening).To(Equal(0))
	},
		Entry("within one region", 8*time.Millisecond),
		Entry("between distant regions", 80*time.Millisecond),
	)

	// Guards against an estimate that is too low and stays so, because longer round trips
	// are not measured.
	It("measures longer round trips although their requests were not expected any more", func() {
		for n := range 100 {
			open(n)
			trip := 8 * time.Millisecond
			if n >= 50 {
				trip = 90 * time.Millisecond
			}
			r.now += trip
			t.expireOpenings(r.now)
			receive(request(n, 1))
			answer(n)
		}
		open(100)
		r.now += 89 * time.Millisecond
		t.expireOpenings(r.now)
		Expect(t.Load().Opening).To(Equal(1))
	})

	// Guards against a flow that is delivered while all slots are in use, and against one
	// that waits although a slot is free.
	It("keeps a flow waiting until a slot is free", func() {
		for n := range 3 {
			Expect(open(n).Kind).To(Equal(Deliver))
			receive(request(n, 1))
		}
		held := open(3)
		Expect(held.Kind).To(Equal(Wait))
		Expect(t.WaitingDue()).To(BeFalse())
		Expect(open(3)).To(Equal(Action{Kind: Drop, Reason: ReasonWaiting}))
		for n := range 3 {
			answer(n)
		}
		Expect(t.WaitingDue()).To(BeTrue())
		number, a, _ := t.NextWaiting(r.now)
		Expect(number).To(Equal(held.Flow))
		Expect(a.Kind).To(Equal(Deliver))
		Expect(t.Open()).To(Equal(4))
		number, _, _ = t.NextWaiting(r.now)
		Expect(number).To(BeZero())
	})

	// Guards against first packets that are kept forever, and against a flow that opens after
	// its client has timed out.
	It("refuses a flow that has waited too long", func() {
		for n := range 3 {
			open(n)
			receive(request(n, 1))
		}
		held := open(3)
		r.now += 1200 * time.Millisecond
		t.Step(r.now)
		Expect(t.IsWaiting(held.Flow)).To(BeFalse())
	})

	// Load pattern: flows that stay open and are mostly idle, unevenly spread, beside many short
	// ones. Guards against a new flow that leaves an upstream with free slots because the next
	// choice has fewer open flows: it has fewer hops left then, and waited at a busy upstream. Seen
	// on a copy of the deployment tkl-ub-schools with four slots.
	It("accepts a flow while a slot is free however many idle flows are open", func() {
		r = newRig(2, TableConfig{Rebuild: rebuildTime, Gate: load.NewGate(load.Config{})})
		t = r.agents[r.named("a").ID]
		t.SetSlots(4)
		for n := range 40 {
			k := key(1000+n, packet.ProtoTCP)
			t.takeOwnership(r.now, k.Hash(), &k)
		}
		k := r.keyRanked(packet.ProtoTCP, "a", "b")
		t.Handle(r.now, Message{From: r.named("b").ID, To: t.self.ID, HasLoad: true, Open: 0, Limit: 1000})
		t.Step(r.now)
		Expect(receive(numbered(k, 0)).Kind).To(Equal(Deliver))
	})

	// Load pattern: more load than can be served, so that flows wait until their clients abort the
	// attempt. Guards against clients that get no answer although nothing has run and nothing can
	// run any more, and against a reset of a flow that another upstream may have opened.
	DescribeTable("tells the client of a flow that has waited too long, if it cannot be open elsewhere",
		func(first uint8, copies []uint8, told bool) {
			for n := range 3 {
				open(n)
				receive(request(n, 1))
			}
			k := key(3, packet.ProtoTCP)
			Expect(receive(numbered(k, first)).Kind).To(Equal(Wait))
			for _, repeat := range copies {
				Expect(receive(numbered(k, repeat)).Reason).To(Equal(ReasonWaiting))
			}
			r.now += 1200*time.Millisecond - SYNCopyDelay(first)
			t.Step(r.now)
			refused := t.RefusedFlows()
			Expect(refused).To(HaveLen(1))
			Expect(refused[0].Key).To(Equal(k))
			Expect(refused[0].Reset).To(Equal(told))
		},
		Entry("all copies of the SYN have arrived here", uint8(0), []uint8{1, 2}, true),
		Entry("the copy that may go elsewhere has not arrived here", uint8(0), []uint8{1}, false),
		Entry("the second copy went elsewhere after a change of balancers", uint8(0), []uint8{2}, false),
		Entry("the first copy may have gone elsewhere", uint8(1), []uint8{2}, false),
		Entry("an earlier copy may have gone elsewhere", uint8(2), nil, false),
	)

	// Guards against late copies that are sent to another upstream because the balancer does not
	// know where the flow waits.
	It("sends the balancer a hint about a flow that waits", func() {
		for n := range 3 {
			open(n)
			receive(request(n, 1))
		}
		Expect(open(3)).To(Equal(Action{Kind: Wait, Flow: 4, Hint: true}))
	})

	// Guards against flows that wait at an upstream which accepts none any more.
	It("hands off waiting flows when it drains", func() {
		r = newRig(2, TableConfig{Rebuild: rebuildTime, Gate: load.NewGate(load.Config{MaxPasses: 1})})
		t = r.agents[r.named("a").ID]
		t.SetSlots(1)
		r.agents[r.named("b").ID].SetSlots(1)
		for n := range 3 {
			k := r.keyRanked(packet.ProtoTCP, "a", "b")
			k.SrcPort += uint16(n)
			h := packet.Header{Service: testService, Hops: 1, Visited: [4]packet.AgentID{r.named("b").ID}}
			in := numbered(k, 0)
			t.Receive(r.now, &h, &in)
		}
		k := key(77, packet.ProtoTCP)
		h := packet.Header{Service: testService, Hops: 1, Visited: [4]packet.AgentID{99}}
		in := numbered(k, 0)
		Expect(t.Receive(r.now, &h, &in).Kind).To(Equal(Wait))
		t.SetState(r.now, Draining)
		_, a, passed := t.NextWaiting(r.now)
		Expect(a.Kind).To(Equal(Forward))
		Expect(a.To).To(Equal(r.named("b").ID))
		Expect(passed.Hops).To(BeEquivalentTo(2))
	})
})
