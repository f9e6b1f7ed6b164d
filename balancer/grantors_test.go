package balancer

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/quota"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// loseContact lets all pings of the other balancers fail, until each of them counts as unreachable.
func loseContact(b *testBalancer) {
	b.members.Do(func(now time.Duration, n *member.Node) {
		for _, r := range n.Table().Balancers() {
			n.Handle(now, member.Message{Kind: member.KindProbe, Name: r.Name, Target: r.Control})
		}
		for range 2 {
			for _, c := range n.Step(now) {
				n.Unreachable(now, c)
			}
		}
	})
}

var _ = Describe("The grantor of a service", func() {
	const service = "impact-portal"
	var (
		ctx    = context.Background()
		now    time.Duration
		s      *fake.Store
		b1, b2 *testBalancer
	)
	lists := &plan.Installed{Lists: &plan.Lists{
		Customers: []plan.Customer{{Name: "a", Plan: "gold"}},
		Plans:     []plan.Plan{{Name: "gold", Services: map[string]plan.Limits{service: {Connections: 10, NewConnectionsPerSecond: 5}}}},
	}}
	sendRecords := func(to *testBalancer, from ...*testBalancer) {
		for _, b := range from {
			r := b.self()
			to.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, []member.Record{r}) })
		}
	}
	addBalancer := func(name string) *testBalancer {
		b := newStoreBalancer(name, s.NewClient(), upstreamRecord("u1", "127.0.0.1:7101"))
		b.now = startTimeout
		b.grantors.active = func() *plan.Installed { return lists }
		return b
	}
	term := func(b *testBalancer) int64 {
		if t := b.grantors.terms[service]; t != nil {
			return t.number
		}
		return 0
	}
	elect := func(balancers ...*testBalancer) {
		for _, b := range balancers {
			b.grantors.elect(ctx)
		}
	}
	renew := func(b *testBalancer, number, known int64) int {
		return len(b.grantors.handle(daemon.QuotaBatch{Messages: []quota.Message{{
			Kind: quota.MessageRenew, Service: packet.ServiceIDOf(service), Seq: 1, Term: known,
			From: quota.Party{ID: packet.AgentIDOf("u1"), Incarnation: 1}, To: grantorParty(b.cfg.Name, number),
		}}}))
	}
	BeforeEach(func() {
		now = 0
		s = fake.NewStore(func() time.Duration { return now })
		b1, b2 = addBalancer("b1"), addBalancer("b2")
	})

	// Guards against overloading the store: 5,300 balancers with one read per second each
	// exceed its capacity of 2,000 reads per second.
	It("is elected with at most 50 store reads per second by all balancers together", func() {
		Expect(electionInterval(4)).To(Equal(time.Second))
		for _, n := range []int{50, 500, 5300} {
			Expect(float64(n) / electionInterval(n).Seconds()).To(BeNumerically("<=", 50))
		}
	})

	// Guards against two grantors of one service: the balancers do not know each other, so
	// both campaign after the same read.
	It("is one balancer if two campaign at the same time", func() {
		raced := false
		s.Before = func(c fake.Call) error {
			if c == fake.CallTxn && !raced {
				raced = true
				elect(b2)
			}
			return nil
		}
		elect(b1)
		Expect(raced).To(BeTrue())
		Expect(term(b1)).To(BeZero())
		Expect(term(b2)).NotTo(BeZero())
	})

	// Guards against a balancer that ignores its write because the response was lost, and
	// against starting a second grantor in one term, which would count the tokens twice.
	It("starts its term after a lost response", func() {
		s.LoseResponses = 1
		elect(b1)
		Expect(term(b1)).To(BeZero())
		elect(b1)
		first := b1.grantors.terms[service]
		Expect(first).NotTo(BeNil())
		elect(b1)
		Expect(b1.grantors.terms[service]).To(BeIdenticalTo(first))
	})

	// Guards against a grantor that continues after another has replaced it, and against a
	// graceful shutdown after which no successor is elected.
	It("is replaced during a graceful shutdown", func() {
		elect(b1)
		old := term(b1)
		sendRecords(b2, b1)
		elect(b2)
		Expect(term(b2)).To(BeZero(), "the grantor is ready")
		b1.setState(flow.Draining)
		sendRecords(b2, b1)
		elect(b1)
		Expect(term(b1)).To(Equal(old), "no other balancer has replaced it yet")
		elect(b2)
		Expect(term(b2)).To(BeNumerically(">", old))
		elect(b1)
		Expect(term(b1)).To(BeZero())
		Expect(renew(b1, old, old)).To(BeZero())
		Expect(b1.log.String()).To(ContainSubstring("event=1501"))
	})

	// Guards against a service that never has a grantor again because only the preferred balancer
	// campaigns, or because the grantor's record remains ready: both are gone and are not marked as
	// failed. A grantor that cannot be reached for less than 10 s is not replaced.
	It("is replaced after it has become unreachable without a mark as failed", func() {
		elect(b1)
		old := term(b1)
		sendRecords(b2, b1)
		for i := range 9 { // some of them rank before b2
			gone := upstreamRecord("b"+strconv.Itoa(i+3), "127.0.0.1:"+strconv.Itoa(8000+i))
			gone.Role, gone.FailureDomain = member.RoleBalancer, "a"
			b2.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, []member.Record{gone}) })
		}
		elect(b2)
		Expect(term(b2)).To(BeZero(), "the grantor is ready")
		loseContact(b2)
		later := func(d time.Duration) {
			b2.now += d
			b2.members.Do(func(now time.Duration, n *member.Node) { n.Step(now) })
			elect(b2)
		}
		later(grantorUnreachableAfter - time.Second)
		Expect(term(b2)).To(BeZero(), "the grantor may only be paused")
		later(time.Second)
		Expect(term(b2)).To(BeNumerically(">", old))
	})

	// Guards against a grantor that answers holders that already know its successor.
	It("ends its term when a holder knows a higher term", func() {
		elect(b1)
		old := term(b1)
		Expect(renew(b1, old, old)).To(Equal(1))
		Expect(renew(b1, old, old+1)).To(BeZero())
		Expect(term(b1)).To(BeZero())
		elect(b1)
		Expect(term(b1)).To(BeNumerically(">", old), "the store still contained the old term")
	})

	// Guards against two grantors, or one that no holder accepts, after the store has returned from a
	// copy in which another balancer is the grantor, or none is, and in which the revision of its term
	// is assigned again.
	DescribeTable("has a higher term than all before after the store has returned from a copy", func(electedInCopy bool) {
		if electedInCopy {
			elect(b1)
		}
		copied := s.Copy()
		elect(b1)
		b1.setState(flow.Draining)
		sendRecords(b2, b1)
		elect(b2, b1)
		old := term(b2)
		Expect(old).NotTo(BeZero())
		Expect(term(b1)).To(BeZero())
		b1.setState(flow.Ready)
		sendRecords(b2, b1)
		sendRecords(b1, b2)

		s.Restore(copied)
		for range 2 {
			elect(b1, b2)
		}
		current := max(term(b1), term(b2))
		Expect(min(term(b1), term(b2))).To(BeZero(), "two grantors")
		Expect(current).To(BeNumerically(">", old))
		Expect(renew(b2, old, old)).To(BeZero(), "a permission of a term that has ended")
		for _, b := range []*testBalancer{b1, b2} {
			b.members.Do(func(_ time.Duration, n *member.Node) {
				known, _ := n.Table().Get("u1")
				a := member.NewAnnouncer(member.Config{Seeds: []netip.AddrPort{dataAddr}}, known, daemon.NewRand(b.rng))
				Expect(n.Handle(b.now, a.Step(b.now)[0].Request).Grantor).To(HaveValue(HaveField("Term", current)))
			})
		}
	},
		Entry("with a grantor", true),
		Entry("without one", false),
	)

	// Guards against a service without a grantor during an outage of the store.
	It("continues while the store is unavailable", func() {
		elect(b1)
		old := term(b1)
		s.Outage = true
		elect(b1)
		Expect(term(b1)).To(Equal(old))
		Expect(renew(b1, old, old)).To(Equal(1))
	})

	// Guards against a grantor without lists, which would recall all tokens.
	It("requires lists", func() {
		b1.grantors.active = func() *plan.Installed { return nil }
		elect(b1)
		Expect(term(b1)).To(BeZero())
	})

	// Guards against home balancers that do not announce the grantor to their agents.
	It("is named in heartbeat replies", func() {
		elect(b1, b2)
		reply := member.Message{}
		b2.members.Do(func(now time.Duration, n *member.Node) {
			known, _ := n.Table().Get("u1")
			a := member.NewAnnouncer(member.Config{Seeds: []netip.AddrPort{dataAddr}}, known, daemon.NewRand(b2.rng))
			reply = n.Handle(now, a.Step(now)[0].Request)
		})
		Expect(reply.Grantor).To(HaveValue(HaveField("Term", term(b1))))
	})

	// Guards against a service without a grantor, against agents that are sent to an address that
	// does not exist, and against a line in the log at each election.
	DescribeTable("replaces an odd record", func(value string) {
		elect(b1)
		number := term(b1)
		self := b1.self()
		value = strings.NewReplacer("NAME", self.Name, "INCARNATION", strconv.FormatUint(self.Incarnation, 10)).Replace(value)
		for _, key := range []string{quotaPrefix, quotaPrefix + service, quotaPrefix + "no such service/x"} {
			_, err := s.Txn(ctx, nil, []store.Op{{Key: key, Value: []byte(value)}})
			Expect(err).NotTo(HaveOccurred())
		}
		sendRecords(b2, b1)
		for range 5 {
			elect(b1, b2)
		}
		Expect(max(term(b1), term(b2))).To(BeNumerically(">", number))
		Expect(min(term(b1), term(b2))).To(BeZero())
		kv, err := s.Get(ctx, quotaPrefix+service)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(kv.Value)).To(ContainSubstring(`"control":"127.0.0.1:79`))
		Expect(unreadable(b1, quotaPrefix+service)).To(Equal(1))
		Expect(strings.Count(b1.log.String(), "event=1308")).To(Equal(3))
		records, err := b1.grantors.readRecords(ctx)
		Expect(err).NotTo(HaveOccurred())
		b1.grantors.publish(records)
	},
		Entry("empty", ``),
		Entry("null", `null`),
		Entry("a list", `[]`),
		Entry("not UTF-8", "\xff\xfe"),
		Entry("truncated", `{"name":"NAME","incarnation":INCARNATION,"control":"127.0.0.1:7`),
		Entry("10,000 arrays", strings.Repeat("[", 10_000)+strings.Repeat("]", 10_000)),
		Entry("1,000,000 objects", strings.Repeat(`{"name":`, 1_000_000)+"1"+strings.Repeat("}", 1_000_000)),
		Entry("no name", `{"incarnation":INCARNATION,"control":"127.0.0.1:7949"}`),
		Entry("no incarnation", `{"name":"NAME","control":"127.0.0.1:7949"}`),
		Entry("an incarnation of 2^64", `{"name":"NAME","incarnation":18446744073709551616,"control":"127.0.0.1:7949"}`),
		Entry("an incarnation of 1e400", `{"name":"NAME","incarnation":1e400,"control":"127.0.0.1:7949"}`),
		Entry("a negative incarnation", `{"name":"NAME","incarnation":-1,"control":"127.0.0.1:7949"}`),
		Entry("half an incarnation", `{"name":"NAME","incarnation":0.5,"control":"127.0.0.1:7949"}`),
		Entry("no address", `{"name":"NAME","incarnation":INCARNATION}`),
		Entry("port 0", `{"name":"NAME","incarnation":INCARNATION,"control":"127.0.0.1:0"}`),
		Entry("port 65536", `{"name":"NAME","incarnation":INCARNATION,"control":"127.0.0.1:65536"}`),
		Entry("a negative port", `{"name":"NAME","incarnation":INCARNATION,"control":"127.0.0.1:-1"}`),
		Entry("an address of another type", `{"name":"NAME","incarnation":INCARNATION,"control":{"port":1}}`),
		Entry("a name given twice", `{"name":"NAME","name":"","incarnation":INCARNATION,"control":"127.0.0.1:7949"}`),
	)

	// Guards against limits of the plan for which no tokens are issued.
	It("issues the tokens of the active lists", func() {
		elect(b1)
		Expect(b1.grantors.terms[service].lists).To(BeNil())
		b1.grantors.step(ctx)
		Expect(b1.grantors.state()).To(HaveLen(1))
		Expect(b1.grantors.state()[0].Ledger).To(Equal([]LedgerEntry{
			{Customer: "a", Kind: "connections", Limit: 10},
			{Customer: "a", Kind: "new_connections_per_second", Limit: 5},
		}))
	})
})
