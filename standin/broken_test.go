package standin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

// reasons counts the broken flows of a report by reason.
func reasons(r standin.LoadReport) map[standin.Reason]int {
	m := map[standin.Reason]int{}
	for _, b := range r.Broken {
		m[b.Reason]++
	}
	return m
}

// Each entry injects one failure that a faulty load balancer could cause. Guards
// against demo checks that do not detect it.
var _ = DescribeTable("a client reports",
	func(fault standin.UpstreamFault, want standin.Reason) {
		l := newLink(portalOnly(20), portalServer("u1", fault))
		l.run(20 * time.Second)
		r := l.clients.Report()
		Expect(reasons(r)).To(HaveKey(want))
		Expect(r.BrokenPlanned).NotTo(BeZero())
		Expect(r.BrokenUnplanned).To(BeZero())
	},
	Entry("a reset", standin.FaultForget, standin.ReasonReset),
	Entry("a response from another server state", standin.FaultAdopt, standin.ReasonOtherState),
	Entry("the response to another request", standin.FaultCross, standin.ReasonMismatch),
	Entry("a flow that times out", standin.FaultSilent, standin.ReasonSilent),
)

var _ = Describe("packets that reach a second upstream", func() {
	// Guards against per-packet load balancing that the client's checks do not detect.
	It("break TCP and UDP flows", func() {
		l := newLink(portalOnly(20), portalServer("u1", standin.FaultNone), portalServer("u2", standin.FaultNone))
		l.route = func(l *link, _ *packet.Info) int { return min(1, int(l.now/(3*time.Second))) }
		l.run(8 * time.Second)
		got := reasons(l.clients.Report())
		Expect(got).To(HaveKey(standin.ReasonReset))
		Expect(got).To(HaveKey(standin.ReasonOtherState))
	})

	// Guards against a SYN that opens the same flow on two upstreams.
	It("break a flow that two upstreams accept", func() {
		l := newLink(portalOnly(1), portalServer("u1", standin.FaultNone), portalServer("u2", standin.FaultNone))
		l.route = func(l *link, in *packet.Info) int {
			if in.First && in.Key.Proto == packet.ProtoTCP {
				raw := packet.AppendTCP(nil, &packet.TCPSegment{Key: in.Key, Seq: in.Seq, Flags: in.Flags})
				defer func() { l.clients.Receive(l.now, l.servers[1].Receive(l.now, raw)) }()
				l.clients.Receive(l.now, l.servers[0].Receive(l.now, raw))
				return -1
			}
			return 0
		}
		l.run(10 * time.Second)
		Expect(reasons(l.clients.Report())).To(HaveKey(standin.ReasonOtherState))
	})
})

var _ = Describe("packets for another service", func() {
	twoServices := func(fault standin.UpstreamFault) *link {
		cfg := portalOnly(20)
		cfg.Targets = append(cfg.Targets, standin.Target{Service: "intake", Addresses: intake})
		l := newLink(cfg, portalServer("u1", fault)) // packets for both services reach the portal's upstream
		l.run(10 * time.Second)
		return l
	}

	// Guards against undetected delivery of one service's traffic to another service.
	It("are counted by the upstream and not answered", func() {
		l := twoServices(standin.FaultNone)
		Expect(l.servers[0].Counts().WrongServicePackets).NotTo(BeZero())
		Expect(reasons(l.clients.Report())).To(HaveKey(standin.ReasonSilentOpen))
	})

	It("are counted for every packet under FaultForeign, which tests the demo's check", func() {
		Expect(twoServices(standin.FaultForeign).servers[0].Counts().WrongServicePackets).
			To(Equal(uint64(len(twoServices(standin.FaultForeign).seen))))
	})

	It("are reported by the client if the upstream answers them", func() {
		l := twoServices(standin.FaultAnyAddress)
		r := l.clients.Report()
		Expect(r.WrongService).NotTo(BeZero())
		Expect(reasons(r)).To(HaveKey(standin.ReasonService))
	})
})

var _ = Describe("a request that runs twice", func() {
	// Guards against duplicate runs that are not counted.
	It("is found in the ledger of one upstream", func() {
		l := newLink(portalOnly(10), portalServer("u1", standin.FaultRunTwice))
		l.run(20 * time.Second)
		Expect(standin.Duplicates(l.records()...)).NotTo(BeEmpty())
	})

	It("is found across the ledgers of two upstreams", func() {
		r := standin.Run{Flow: 7, Number: 3}
		Expect(standin.Duplicates([]standin.Run{r}, []standin.Run{r})).To(Equal([]standin.Run{r}))
	})
})

var _ = Describe("an upstream killed on purpose", func() {
	// Guards against broken flows that are attributed to the kill of another upstream.
	It("makes only the broken flows of that upstream count as unplanned", func() {
		l := newLink(portalOnly(40), portalServer("u1", standin.FaultNone), portalServer("u2", standin.FaultNone))
		unreachable := false
		l.route = func(_ *link, in *packet.Info) int {
			to := int(in.Key.Hash() % 2)
			if unreachable {
				return -1 // neither upstream receives packets; only u2 counts as killed on purpose
			}
			return to
		}
		l.run(3 * time.Second)
		unreachable = true
		l.clients.MarkKilled("u2")
		l.run(15 * time.Second)
		r := l.clients.Report()
		Expect(r.BrokenUnplanned).NotTo(BeZero())
		Expect(r.BrokenPlanned).NotTo(BeZero())
		for _, b := range r.Broken {
			Expect(b.Planned).To(Equal(b.Upstream != "u2"), "%+v", b)
		}
	})
})
