package standin_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

var _ = Describe("clients and a correct upstream", func() {
	// Guards against false positives of the clients' checks.
	It("complete all flows over both IP versions and transports", func() {
		l := newLink(portalOnly(100), portalServer("u1", standin.FaultNone))
		l.run(20 * time.Second)
		l.clients.Close()
		l.run(5 * time.Second)

		r := l.clients.Report()
		Expect(r.Broken).To(BeEmpty())
		Expect(r.FlowsOpened).To(BeNumerically(">", 100))
		Expect(r.FlowsClosed).To(Equal(r.FlowsOpened))
		Expect(r.FlowsOpen).To(BeZero())
		Expect(r.ResponsesExpected).To(Equal(r.RequestsSent))
		Expect(standin.Duplicates(l.records()...)).To(BeEmpty())
		kinds := map[[2]bool]bool{}
		for _, k := range l.seen {
			kinds[[2]bool{k.Proto == packet.ProtoUDP, k.Source().Addr().Is4()}] = true
		}
		Expect(kinds).To(HaveLen(4))
	})

	// Guards against retransmissions that run a request twice or break its flow.
	It("survive the loss of every third packet to the upstream", func() {
		l := newLink(portalOnly(20), portalServer("u1", standin.FaultNone))
		l.route = func(l *link, _ *packet.Info) int { return min(0, len(l.seen)%3-1) }
		l.run(20 * time.Second)
		r := l.clients.Report()
		Expect(r.Broken).To(BeEmpty())
		Expect(r.Retransmissions).NotTo(BeZero())
		Expect(standin.Duplicates(l.records()...)).To(BeEmpty())
	})

	// Guards against flows that stay open, which would prevent the demo's drain of
	// an upstream from completing.
	It("end all flows of one upstream on request", func() {
		l := newLink(portalOnly(40), portalServer("u1", standin.FaultNone), portalServer("u2", standin.FaultNone))
		onlySecond := false
		owner := map[packet.Key]int{}
		l.route = func(_ *link, in *packet.Info) int {
			if _, known := owner[in.Key]; !known {
				owner[in.Key] = int(in.Key.Hash() % 2)
				if onlySecond {
					owner[in.Key] = 1
				}
			}
			return owner[in.Key]
		}
		l.run(5 * time.Second)
		onlySecond = true
		l.clients.EndFlows(l.now, time.Second, "u1")
		l.run(15 * time.Second) // UDP flows count as open for 10 s after their last packet
		Expect(l.servers[0].OpenFlows(l.now)).To(BeZero())
		r := l.clients.Report()
		Expect(r.Broken).To(BeEmpty())
		Expect(r.FlowsOpen).To(Equal(40))
	})

	// Guards against a wrong number of open flows. The demo computes the imbalance between
	// upstreams from it.
	It("agree on the number of open flows", func() {
		l := newLink(portalOnly(30), portalServer("u1", standin.FaultNone))
		l.run(10 * time.Second)
		Expect(l.servers[0].OpenFlows(l.now)).To(Equal(l.clients.Report().FlowsOpen))
	})
})

var _ = Describe("an upstream", func() {
	// Guards against memory use that grows with the duration of a run.
	It("keeps its ledger within the limit and counts the rest", func() {
		cfg := portalServer("u1", standin.FaultNone)
		cfg.LedgerLimit = 10
		l := newLink(portalOnly(20), cfg)
		l.run(5 * time.Second)
		runs, dropped := l.servers[0].Runs()
		Expect(runs).To(HaveLen(10))
		Expect(dropped).To(Equal(l.servers[0].Counts().RequestsRun - 10))
	})
})
