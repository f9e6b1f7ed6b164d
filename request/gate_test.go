package request

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func always(Ticket) bool { return true }

func request(plan string, deadline time.Duration) Request {
	return Request{Plan: plan, Deadline: deadline}
}

// startAll starts all requests that may start and returns their tickets.
func startAll(g *Gate, now time.Duration) (out []Ticket) {
	for {
		t, ok := g.Next(now, always)
		if !ok {
			return out
		}
		out = append(out, t)
	}
}

var _ = ginkgo.Describe("Gate", func() {
	ginkgo.It("keeps a slot in use until the upstream no longer processes the request", func() {
		// Guards against a sixth request in five slots after a caller disconnected.
		n := newTestNode(0, NodeConfig{}, 0)
		tickets := make([]Ticket, 6)
		for i := range tickets {
			tickets[i] = n.Submit(0, request("", time.Minute))
		}
		n.Cancel(0, tickets[0])
		n.Step(ms)
		Expect(n.State().Running).To(Equal(5))
		Expect(n.State().Queued).To(Equal(1))
		n.Free(2*ms, tickets[0])
		Expect(n.State().Queued).To(BeZero())
	})

	ginkgo.It("starts the earliest deadline first and refuses requests that cannot finish in time", func() {
		// Guards against a queue that runs requests whose callers have given up.
		g := NewGate(GateConfig{Slots: 1, Queue: 3, MaxWait: time.Hour})
		Expect(g.Offer(0, 1, request("", 100*ms))).To(Equal(ReasonNone))
		startAll(g, 0)
		g.Free(50*ms, 1) // the median service time is now 50 ms
		Expect(g.Offer(50*ms, 2, request("", time.Second))).To(Equal(ReasonNone))
		startAll(g, 50*ms)
		Expect(g.Offer(50*ms, 3, request("", 900*ms))).To(Equal(ReasonNone))
		Expect(g.Offer(50*ms, 4, request("", 200*ms))).To(Equal(ReasonNone))
		Expect(g.Offer(50*ms, 5, request("", 120*ms))).To(Equal(ReasonTooLate))
		Expect(g.Offer(50*ms, 6, request("", 40*ms))).To(Equal(ReasonDeadline))
		Expect(g.RemoveExpired(160 * ms)).To(Equal([]Ticket{4}))
		g.Free(170*ms, 2)
		Expect(startAll(g, 170*ms)).To(Equal([]Ticket{3}))
	})

	ginkgo.It("admits requests again after the estimate was too high", func() {
		// Guards against an estimate that refuses all requests and is therefore never corrected.
		g := NewGate(GateConfig{})
		g.Offer(0, 1, request("", time.Hour))
		startAll(g, 0)
		g.Free(time.Minute, 1)
		Expect(g.Offer(time.Minute, 2, request("", time.Minute+100*ms))).To(Equal(ReasonNone))
	})

	ginkgo.It("limits the queue and reserves places for retries", func() {
		// Guards against an overload that turns each lost answer into an unknown outcome.
		g := NewGate(GateConfig{Queue: 1, RetryReserve: 1})
		retry := Request{Deadline: time.Minute, Retry: true}
		Expect(g.Offer(0, 1, request("", time.Minute))).To(Equal(ReasonNone))
		Expect(g.Offer(0, 2, request("", time.Minute))).To(Equal(ReasonQueueFull))
		Expect(g.Offer(0, 3, retry)).To(Equal(ReasonNone))
		Expect(g.Offer(0, 4, retry)).To(Equal(ReasonQueueFull))
	})

	ginkgo.It("keeps the unused minimum of a plan free and shares the other slots by weight", func() {
		// Guards against one plan's load occupying the slots guaranteed to another.
		g := NewGate(GateConfig{Slots: 6, Queue: 30, Shares: map[string]Share{"a": {Minimum: 1}, "b": {Weight: 2}, "c": {Weight: 1}}})
		for t := Ticket(1); t <= 10; t++ {
			g.Offer(0, t, request("b", time.Minute))
			g.Offer(0, t+10, request("c", time.Minute))
		}
		Expect(startAll(g, 0)).To(HaveLen(5))
		Expect(g.used["b"]).To(Equal(3))
		g.Offer(0, 30, request("a", time.Minute))
		Expect(startAll(g, 0)).To(Equal([]Ticket{30}))
	})

	ginkgo.It("panics when more requests start than there are slots", func() {
		// Guards against a fault in Next that would exceed the slots silently.
		g := NewGate(GateConfig{Slots: 1})
		g.start(0, queued{ticket: 1})
		Expect(func() { g.start(0, queued{ticket: 2}) }).To(PanicWith(ContainSubstring("2 requests in 1 slots")))
	})
})
