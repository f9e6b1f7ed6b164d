package flow

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// routedView returns a view with upstreams a and b in testService and c and d in otherService, and with
// one route for testAddress.
func routedView(targets ...Target) *View {
	v := &View{Services: []Service{{ID: testService}, {ID: otherService}}, Routes: []Route{}}
	for i, name := range []string{"a", "b", "c", "d"} {
		s := &v.Services[i/2]
		s.Upstreams = append(s.Upstreams, Upstream{ID: packet.AgentIDOf(name), Name: name, Incarnation: 1, State: Ready})
	}
	if len(targets) > 0 {
		v.Routes = append(v.Routes, Route{Endpoint: testEndpoint, Targets: targets})
	}
	return v
}

var (
	testEndpoint = Endpoint{Addr: testAddress, Proto: packet.ProtoTCP}
	toTest       = []Target{{Service: testService, Weight: 1}}
	toOther      = []Target{{Service: otherService, Weight: 1}}
)

// services returns the services to which a packet is sent.
func (d Decision) services() (out []packet.ServiceID) {
	if d.OK {
		out = append(out, d.Service)
	}
	for _, c := range d.Copies {
		if c.Agent != 0 {
			out = append(out, c.Service)
		}
	}
	return out
}

var _ = Describe("A route whose services change", func() {
	var (
		router *Router
		now    time.Duration
		k      = key(1, packet.ProtoTCP)
		owner  = packet.AgentIDOf("b")
	)
	route := func(in packet.Info) Decision { return router.Route(now, &in) }
	set := func(targets ...Target) { router.SetView(now, routedView(targets...)) }
	BeforeEach(func() {
		now = 0
		router = NewRouter(RouterConfig{Hints: 64})
		set(toTest...)
	})

	// Guards against open flows that are reset because a newer version sends new flows of their address
	// to another service (review/2).
	It("keeps open flows at their owner and sends new ones to the new service", func() {
		router.Learn(now, &k, owner)
		set(toOther...)
		d := route(data(k))
		Expect(d.Agent).To(Equal(owner))
		Expect(d.Shared).To(BeTrue())
		Expect(d.services()).To(HaveLen(1))
		now += 2 * MaxFlowAge
		Expect(route(data(k)).Agent).To(Equal(owner), "a flow in use")
		Expect(route(syn(k)).services()).To(Equal([]packet.ServiceID{otherService}))
	})

	// Guards against the same where the balancer has no hint, or only assumes where the flow is.
	It("sends packets of flows whose owner is unknown to all services that the address has had", func() {
		assumed := key(2, packet.ProtoTCP)
		Expect(route(syn(assumed)).Service).To(Equal(testService))
		set(toOther...)
		now += MaxFlowAge - 1
		for _, unknown := range []packet.Key{k, k, assumed, assumed} {
			d := route(data(unknown))
			Expect(d.services()).To(ConsistOf(testService, otherService))
			Expect(d.Shared).To(BeTrue())
		}
		Expect(route(syn(key(3, packet.ProtoTCP))).services()).To(Equal([]packet.ServiceID{otherService}))
		now += 1
		d := route(data(k))
		Expect(d.services()).To(Equal([]packet.ServiceID{otherService}), "older flows may be discarded")
		Expect(d.Shared).To(BeFalse(), "a lost flow is reset")
	})

	It("finds flows of each version after a change to another service and back", func() {
		set(toOther...)
		other := key(2, packet.ProtoTCP)
		router.Learn(now, &other, packet.AgentIDOf("c"))
		set(toTest...)
		Expect(route(data(k)).services()).To(ConsistOf(testService, otherService))
		Expect(route(data(other)).Agent).To(Equal(packet.AgentIDOf("c")))
		Expect(route(syn(other)).Service).To(Equal(testService))
	})

	DescribeTable("finds flows after a change of weights", func(restarted bool) {
		set(Target{testService, 90}, Target{otherService, 10})
		if restarted {
			router = NewRouter(RouterConfig{Hints: 64})
		}
		set(Target{testService, 0}, Target{otherService, 100})
		for n := range 50 {
			Expect(route(data(key(n, packet.ProtoTCP))).services()).To(ConsistOf(testService, otherService))
			Expect(route(syn(key(n, packet.ProtoTCP))).Service).To(Equal(otherService))
		}
		now += MaxFlowAge
		Expect(route(data(k)).Shared).To(BeFalse())
	},
		Entry("that the balancer has seen", false),
		Entry("that a balancer has not seen which has started since", true),
	)

	// Guards against a balancer that has started after the change and knows only the newest version.
	It("finds flows at a service whose upstreams announce the address", func() {
		router = NewRouter(RouterConfig{Hints: 64})
		v := routedView(toOther...)
		v.Services[0].Endpoints = []Endpoint{testEndpoint}
		router.SetView(now, v)
		Expect(route(data(k)).services()).To(ConsistOf(testService, otherService))
		router.Learn(now, &k, owner)
		Expect(route(data(k)).Agent).To(Equal(owner))
		Expect(route(syn(k)).services()).To(Equal([]packet.ServiceID{otherService}))
	})

	// Guards against resets while it is unknown which upstreams the earlier service has, and against
	// silence once all of them have announced that they have ended their flows.
	It("shares no flows with a service whose upstreams have left", func() {
		left := func(state State, upstreams []Upstream) *View {
			v := routedView(toOther...)
			v.Services[0].Upstreams = upstreams
			for i := range upstreams {
				upstreams[i].State = state
			}
			return v
		}
		all := routedView().Services[0].Upstreams
		router.SetView(now, left(Leaving, slices.Clone(all)))
		Expect(route(data(k)).Shared).To(BeFalse())
		router.SetView(now, left(Failed, slices.Clone(all)))
		Expect(route(data(k)).Shared).To(BeTrue())
		v := routedView(toOther...)
		v.Services = v.Services[1:]
		router.SetView(now, v)
		Expect(route(data(k)).Shared).To(BeTrue())
	})

	It("keeps the flows of a route that is removed and added again with another service", func() {
		set()
		Expect(route(data(k)).Reason).To(Equal(ReasonNoService))
		now += MaxFlowAge / 2
		set(toOther...)
		Expect(route(data(k)).services()).To(ConsistOf(testService, otherService))
	})

	It("sends packets to the earlier service while the new one has no upstreams", func() {
		v := routedView(toOther...)
		v.Services = v.Services[:1]
		router.SetView(now, v)
		Expect(route(data(k)).services()).To(Equal([]packet.ServiceID{testService}))
		Expect(route(syn(k)).Reason).To(Equal(ReasonNoUpstream))
	})
})

// Guards, under random changes of routes and restarts of the balancer beside upstreams that announce their
// flows, against a new flow that goes to a service that is no target, and against a packet of an open flow
// that does not reach its service, or is not marked where another service could find the flow lost.
func TestPacketsReachTheServiceOfTheirFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type open struct {
			service packet.ServiceID
			at      time.Duration
		}
		var (
			now       time.Duration
			router    = NewRouter(RouterConfig{Hints: 64})
			flows     = map[packet.Key]open{}
			announced = map[packet.ServiceID]bool{}
			targets   = toTest
		)
		install := func() {
			v := routedView(targets...)
			for i := range v.Services {
				if announced[v.Services[i].ID] {
					v.Services[i].Endpoints = []Endpoint{testEndpoint}
				}
			}
			router.SetView(now, v)
		}
		install()
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			switch rapid.SampledFrom([]string{"open", "open", "send", "send", "send", "route", "restart"}).Draw(t, "step") {
			case "open":
				in := syn(key(n, packet.ProtoTCP))
				d := router.Route(now, &in)
				if len(d.services()) != 1 || !slices.ContainsFunc(targets, func(x Target) bool { return x.Service == d.Service && x.Weight > 0 }) {
					t.Fatalf("a new flow goes to %v, the route's targets are %v", d.services(), targets)
				}
				flows[in.Key], announced[d.Service] = open{d.Service, now}, true
				install()
			case "send":
				for k, f := range flows {
					if now-f.at >= MaxFlowAge {
						continue
					}
					in := data(k)
					d := router.Route(now, &in)
					if !slices.Contains(d.services(), f.service) {
						t.Fatalf("a packet goes to %v, its flow is at %d", d.services(), f.service)
					}
					if !d.Shared && d.Service != f.service {
						t.Fatalf("the flow could be found lost at %d", d.Service)
					}
				}
			case "route":
				weight := rapid.IntRange(0, 2).Draw(t, "weight")
				targets = []Target{{testService, weight}, {otherService, 2 - weight}}
				if rapid.Bool().Draw(t, "single") {
					targets = rapid.SampledFrom([][]Target{toTest, toOther}).Draw(t, "targets")
				}
				install()
			case "restart":
				router = NewRouter(RouterConfig{Hints: 64})
				install()
			}
		}
	})
}

// Guards against the reset of a flow that no upstream of the asked service holds, while another service may
// hold it, and against silence about a flow that is lost.
func TestFlowThatAnotherServiceMayHoldIsNotFoundLost(t *testing.T) {
	for _, shared := range []bool{true, false} {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		k := u.keyRanked(packet.ProtoTCP, "a", "b")
		h := packet.Header{Kind: packet.KindData, Service: testService}
		if shared {
			h.Flags = packet.FlagShared
		}
		in, reset := data(k), 0
		for range 20 {
			sent := h
			if u.agents[u.named("a").ID].Receive(u.now, &sent, &in).Kind == Reset {
				reset++
			}
			u.run(100 * time.Millisecond)
			reset += len(u.findLost("a"))
		}
		if shared {
			g.Expect(reset).To(BeZero())
		} else {
			g.Expect(reset).NotTo(BeZero())
		}
	}
}

// Guards against a flow whose packets are shown to two upstreams of each of two services that do not know of
// each other's probes: three that do not hold it break the rule.
func TestSharedFlowIsProbedOnceInAService(t *testing.T) {
	g := NewWithT(t)
	u, k := restartedFleet("a", "b", "c", "d", "e", "f")
	for range 40 {
		u.sendWithFlags("a", data(k), packet.FlagShared)
		u.findLost("a")
		u.now += 200 * time.Millisecond
	}
	g.Expect(u.misdelivered()).To(BeNumerically("<=", maxTried/2))
}
