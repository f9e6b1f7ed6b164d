package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/route"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// datagrams is a datagram format that carries IP packets; a reset is the word "reset".
type datagrams struct{ packet.IP }

func (datagrams) SetTag([]byte, uint32)     {}
func (datagrams) Tag([]byte) uint32         { return 0 }
func (datagrams) ClearTransitFields([]byte) {}
func (datagrams) AppendReset(dst []byte, _ *packet.Info) []byte {
	return append(dst, "reset"...)
}
func (datagrams) ClientAddress(k *packet.Key) netip.AddrPort { return k.Source() }

// portalRoute is a document with one route to impact-portal, of the version in text.
func portalRoute(text []byte) (*route.Document, finding.List, error) {
	version, err := strconv.ParseInt(string(text), 10, 64)
	return &route.Document{Version: version, Routes: []route.Route{{
		Name: "r1", Endpoint: flow.Endpoint{Addr: service, Proto: packet.ProtoTCP},
		Targets: []route.Target{{Service: "impact-portal", Weight: 1}},
	}}}, nil, err
}

var _ = Describe("A balancer with operators' routes", func() {
	const key = "routes"
	var (
		t       *testBalancer
		s       *fake.Store
		clients *packetio.Pipe
		elsew   = netip.MustParseAddrPort("10.96.0.9:80")
		ctx     = context.Background()
	)
	BeforeEach(func() {
		t = &testBalancer{pipe: packetio.NewPipe(1)}
		clients = packetio.NewPipe(1)
		s = fake.NewStore(func() time.Duration { return t.now })
		cfg := settings.Balancer{Name: "b1", FailureDomain: "a", Readers: 1, HintEntries: 1024, Limits: settings.LimitsNone}
		t.Balancer = newBalancer(cfg, event.NewLogger(&t.log), func() time.Duration { return t.now })
		t.options = Options{Packets: datagrams{}, RoutesKey: key, DecodeRoutes: portalRoute}
		t.assemble(ports{data: t.pipe, dataAddr: dataAddr, clients: clients}, s, nil, t.life.Spawn)
		t.reader = t.newReader(clients)
	})
	put := func(version string) {
		_, err := s.Txn(ctx, nil, []store.Op{{Key: key, Value: []byte(version)}})
		Expect(err).NotTo(HaveOccurred())
	}
	// send passes packets through and returns how many were answered with a reset.
	send := func(packets ...[]byte) int {
		t.handle(packets...)
		return len(clients.Sent())
	}
	ack := func(to netip.AddrPort) []byte {
		return packet.AppendTCP(nil, &packet.TCPSegment{
			Key: packet.KeyOf(client, to, packet.ProtoTCP), Flags: packet.FlagACK})
	}

	// Guards against open flows that a balancer resets while it starts: before it has
	// the routes, and when it has read them but does not route by them yet.
	It("resets nothing before it routes by the routes", func() {
		Expect(send(ack(service), ack(elsew))).To(Equal(0))
		put("1")
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		Expect(t.routes.Active()).NotTo(BeNil())
		Expect(send(ack(service), ack(elsew))).To(Equal(0))
	})

	// Guards against first packets that a starting balancer drops although it has read its
	// routes, because it routes by them at the next tick only.
	It("routes by new routes without waiting for a tick", func() {
		put("1")
		Expect(t.wake).NotTo(Receive())
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		Expect(t.wake).To(Receive())
	})

	// Guards against clients that wait for a deadline at an address that no route has.
	It("resets the flows to an address without a route", func() {
		put("1")
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		t.refreshView()
		Expect(send(ack(service), ack(elsew))).To(Equal(1))
	})

	// Guards against resets by a balancer that is cut off from the store and may lack a
	// route that was just added.
	It("resets nothing when its routes may be out of date", func() {
		put("1")
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		t.refreshView()
		t.now += maxRoutesAge
		Expect(send(ack(elsew))).To(Equal(0))
	})

	// Guards against a balancer that takes traffic it can only drop.
	It("is not ready before it has routes", func() {
		t.now = 2 * startLimit
		t.refreshView()
		Expect(t.health.get()).To(Equal(healthStarting))
		put("1")
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		t.refreshView()
		Expect(t.health.get()).To(Equal(healthReady))
	})

	// Guards against a watch from a revision that the store has long forgotten: it ends
	// at once, and a loop of reads and watches without a pause made 23,000 calls in a day.
	It("watches from the store's present revision", func() {
		put("1")
		for range 20 {
			_, err := s.Txn(ctx, nil, []store.Op{{Key: "other", Value: []byte("x")}})
			Expect(err).NotTo(HaveOccurred())
		}
		kv, err := s.Get(ctx, "other")
		Expect(err).NotTo(HaveOccurred())
		s.Compact(kv.ModRevision)
		watched := make(chan struct{}, 2)
		s.Before = func(c fake.Call) error {
			if c == fake.CallWatch {
				watched <- struct{}{}
			}
			return nil
		}
		run, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); t.routes.Run(run) }()
		<-watched
		put("2")
		Eventually(func() int64 { return t.routes.Active().Version }).Should(BeEquivalentTo(2))
		cancel()
		<-ended
		Expect(watched).To(BeEmpty())
	})

	// Guards against open flows that stand still while the store is away and all processes
	// have restarted, and against new flows by what operators may have changed since.
	It("carries open flows, and no new ones, by what the agents have learned", func() {
		u1 := upstreamRecord("u1", "127.0.0.1:7101")
		t.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, []member.Record{u1}) })
		t.refreshView()
		Expect(t.handle(ack(service))).To(HaveLen(1))
		Expect(t.handle(syn(client))).To(BeEmpty())
		Expect(t.counters.dropped[flow.ReasonNoRoutes].Count()).To(BeEquivalentTo(1))
		put("1")
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		t.refreshView()
		Expect(t.handle(syn(client))).To(HaveLen(1))
	})

	// Guards against a service to which nobody can connect after a restart of all processes
	// until the store is back, and against old addresses for new flows where routes can be
	// had: from the store, which may have none, or from a peer.
	It("places new flows by what the agents have learned when the routes cannot be read", func() {
		u1 := upstreamRecord("u1", "127.0.0.1:7101")
		t.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, []member.Record{u1}) })
		t.refreshView()
		t.stepRoutes()
		Expect(t.handle(syn(client))).To(BeEmpty(), "they may still be read")

		s.Outage = true
		Expect(t.routes.Refresh(ctx)).NotTo(Succeed())
		t.stepRoutes()
		Expect(t.handle(syn(client))).To(HaveLen(1))
		Expect(send(ack(elsew))).To(Equal(0))
		Expect(t.log.String()).To(ContainSubstring("event=1313"))

		t.members.Do(func(now time.Duration, n *member.Node) {
			n.Handle(now, member.Message{Kind: member.KindPush, Routes: 1})
		})
		t.stepRoutes()
		Expect(t.handle(syn(client))).To(BeEmpty(), "a peer has routes")
	})

	It("waits for a store that has no routes, and for one that is slow", func() {
		Expect(t.routes.Refresh(ctx)).To(MatchError(store.ErrNotFound))
		t.now = time.Hour
		t.stepRoutes()
		Expect(t.learnedOnly.Load()).To(BeFalse())
		put("1")
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		s.Outage = true
		Expect(t.routes.Refresh(ctx)).NotTo(Succeed())
		t.stepRoutes()
		Expect(t.learnedOnly.Load()).To(BeFalse(), "routes are in force")
	})

	// Guards against routes that go back to an older version.
	It("keeps the highest version", func() {
		put("5")
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		put("4")
		Expect(t.routes.Refresh(ctx)).To(Succeed())
		Expect(t.routes.Active().Version).To(BeEquivalentTo(5))
		Expect(t.log.String()).To(ContainSubstring("event=1311"))
	})
})

var _ = Describe("The readers of the store", func() {
	// Guards against a failure domain whose loss takes all readers that come first, and
	// against two balancers with the same turn.
	It("take turns across failure domains", func() {
		record := func(name, domain string, s flow.State) member.Record {
			return member.Record{Name: name, FailureDomain: domain, Role: member.RoleBalancer, State: s,
				Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[1]}), 7000)}
		}
		records := []member.Record{
			record("b1", "a", flow.Ready), record("b2", "a", flow.Failed), record("b3", "a", flow.Ready),
			record("b4", "a", flow.Ready), record("b5", "b", flow.Ready), record("b6", "b", flow.Draining),
			record("b7", "c", flow.Ready),
		}
		turns := map[string]int{}
		for _, self := range records {
			self.Incarnation = 1
			n := member.NewNode(member.Config{}, self, rand.New(rand.NewPCG(1, 1)))
			n.Load(0, records)
			turns[self.Name] = storeReaderTurn(n)
		}
		delete(turns, "b2")
		Expect(turns).To(Equal(map[string]int{"b1": 0, "b5": 1, "b7": 2, "b3": 3, "b6": 4, "b4": -1}))
	})
})
