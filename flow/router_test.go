package flow

import (
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

var testAddress6 = netip.MustParseAddrPort("[2001:db8::1]:443")

func testView(list []Upstream) *View {
	endpoints := []Endpoint{{Addr: testAddress, Proto: packet.ProtoTCP}, {Addr: testAddress6, Proto: packet.ProtoTCP}}
	return &View{Services: []Service{
		{ID: testService, Endpoints: endpoints, Upstreams: list},
		{ID: otherService, Endpoints: []Endpoint{{Addr: netip.MustParseAddrPort("192.0.2.2:443"), Proto: packet.ProtoTCP}}},
	}}
}

var _ = Describe("Router", func() {
	var r *rig
	var router *Router
	k := key(1, packet.ProtoTCP)
	route := func(in packet.Info) Decision { return router.Route(0, &in) }
	BeforeEach(func() {
		r = newRig(4, TableConfig{})
		router = NewRouter(RouterConfig{Hints: 64, LearnedOnly: true})
		router.SetView(0, testView(r.list))
	})

	It("sends a flow to its first choice among the accepting upstreams", func() {
		ranking := r.ranking(k)
		Expect(route(syn(k)).Agent).To(Equal(ranking[0].ID))
		r.setState(ranking[0].Name, Draining)
		router.SetView(0, testView(r.list))
		Expect(route(syn(k))).To(Equal(Decision{OK: true, Service: testService, Agent: ranking[1].ID, Addr: ranking[1].Addr}))
	})

	It("falls back to draining and starting upstreams when none accepts flows", func() {
		for _, u := range r.list {
			r.setState(u.Name, Failed)
		}
		r.setState("b", Draining)
		router.SetView(0, testView(r.list))
		Expect(route(data(k)).Agent).To(Equal(r.named("b").ID))
	})

	It("drops packets for unknown services and for a service without upstreams", func() {
		Expect(route(data(key(1, packet.ProtoUDP))).Reason).To(Equal(ReasonNoService))
		other := packet.KeyOf(testOrigin, netip.MustParseAddrPort("192.0.2.2:443"), packet.ProtoTCP)
		Expect(route(data(other)).Reason).To(Equal(ReasonNoUpstream))
	})

	It("prefers a hint, for IPv4 and IPv6, while its upstream has the same incarnation", func() {
		for _, dst := range []netip.AddrPort{testAddress, testAddress6} {
			src := netip.AddrPortFrom(dst.Addr().Next(), 999)
			k := packet.KeyOf(src, dst, packet.ProtoTCP)
			owner := r.ranking(k)[2]
			router.Learn(0, &k, owner.ID)
			Expect(route(data(k))).To(Equal(Decision{OK: true, Hinted: true, Expected: true, Service: testService, Agent: owner.ID, Addr: owner.Addr}))
			restarted := append([]Upstream(nil), r.list...)
			for i := range restarted {
				restarted[i].Incarnation += 100
			}
			router.SetView(0, testView(restarted))
			Expect(route(data(k)).Hinted).To(BeFalse())
			router.SetView(0, testView(r.list))
		}
	})

	It("keeps packets of a failed upstream's flows on it, but not first packets", func() {
		owner := r.ranking(k)[0]
		router.Learn(0, &k, owner.ID)
		r.setState(owner.Name, Failed)
		router.SetView(0, testView(r.list))
		Expect(route(data(k)).Agent).To(Equal(owner.ID))
		Expect(route(syn(k)).Agent).NotTo(Equal(owner.ID))
	})

	// Load pattern: every upstream is busy and flows wait longer than the client waits between
	// two copies of its SYN. Guards against a late copy that opens the flow a second time at
	// another upstream, where it takes a place in the queue and a slot for nobody.
	It("sends late copies of a SYN to the agent where the flow waits", func() {
		waitsAt := r.ranking(k)[2]
		router.LearnWaiting(0, &k, waitsAt.ID)
		for repeat := range uint8(3) {
			Expect(route(numbered(k, repeat)).Agent).To(Equal(waitsAt.ID))
		}
	})

	// Guards against a client that gets no answer because the upstream that its agent has
	// chosen does not answer: a late copy of an accepted flow's SYN still goes elsewhere.
	It("sends late copies of a SYN elsewhere once the flow no longer waits", func() {
		owner := r.ranking(k)[0]
		router.LearnWaiting(0, &k, owner.ID)
		router.Learn(0, &k, owner.ID)
		Expect(route(numbered(k, 1)).Agent).To(Equal(owner.ID))
		Expect(route(numbered(k, 2)).Agent).NotTo(Equal(owner.ID))
	})

	It("never uses a hint of another service", func() {
		router.Learn(0, &k, r.named("a").ID)
		moved := testView(r.list)
		moved.Services[0].Endpoints, moved.Services[1].Endpoints = moved.Services[1].Endpoints, moved.Services[0].Endpoints
		router.SetView(0, moved)
		Expect(route(data(k)).OK).To(BeFalse())
	})

	It("evicts its own decisions before the hints of owners when a set is full", func() {
		router = NewRouter(RouterConfig{Hints: hintWays})
		router.SetView(0, testView(r.list))
		owner := r.ranking(k)[3]
		router.Learn(0, &k, owner.ID)
		for n := range 1000 {
			route(data(key(n+100, packet.ProtoTCP)))
		}
		Expect(route(data(k)).Agent).To(Equal(owner.ID))
		Expect(router.hints.entries).To(HaveLen(hintWays))
	})

	It("spreads flows evenly and moves only those of an upstream that leaves", func() {
		counts := map[packet.AgentID]int{}
		moved := 0
		smaller := append([]Upstream(nil), r.list[1:]...)
		after := NewRouter(RouterConfig{Hints: -1})
		after.SetView(0, testView(smaller))
		for n := range 40000 {
			in := data(key(n, packet.ProtoTCP))
			before := route(in).Agent
			counts[before]++
			if before != r.list[0].ID && after.Route(0, &in).Agent != before {
				moved++
			}
		}
		Expect(moved).To(BeZero())
		for _, c := range counts {
			Expect(c).To(BeNumerically("~", 10000, 400)) // 4.6 standard deviations
		}
	})
})

// fullRouter returns a router with n hints and their flows.
func fullRouter(n int) (*Router, []packet.Info) {
	r := newRig(11, TableConfig{})
	router := NewRouter(RouterConfig{})
	router.SetView(0, testView(r.list))
	infos := make([]packet.Info, n)
	for i := range infos {
		src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), uint16(i))
		infos[i] = data(packet.KeyOf(src, testAddress, packet.ProtoTCP))
		router.Learn(0, &infos[i].Key, r.list[i%len(r.list)].ID)
	}
	return router, infos
}

// Guards against an allocation for each packet, with and without a hint.
func TestRouteAllocations(t *testing.T) {
	router, infos := fullRouter(200_000)
	unknown := data(packet.KeyOf(testOrigin, testAddress6, packet.ProtoTCP))
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		router.Route(0, &infos[i])
		router.Route(0, &unknown)
		router.Learn(0, &infos[i].Key, 1)
		i++
	}); n != 0 {
		t.Fatalf("Route and Learn allocate %v times", n)
	}
}

func BenchmarkRoute(b *testing.B) {
	router, infos := fullRouter(210_000) // about 3% map to a full set
	hinted := 0
	for _, in := range infos {
		if router.Route(0, &in).Hinted {
			hinted++
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		router.Route(0, &infos[i*7919%len(infos)])
	}
	b.ReportMetric(float64(hinted), "hints")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}
