package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

const thirdService, fourthService = otherService + 1, otherService + 2

// routeOpenFlow returns the decision of a router that has just started on a packet of an open flow.
func routeOpenFlow(v *View) Decision {
	router := NewRouter(RouterConfig{Hints: 64})
	router.SetView(0, v)
	return router.Route(time.Second, &packet.Info{Key: key(1, packet.ProtoTCP), Flags: packet.FlagACK})
}

// Guards against the reset of open flows whose address has got another service, after a kill of the balancers and of the
// former service's agents: "does not know its flows yet" was taken for "holds none of this address".
func TestServiceWhoseAgentsDoNotKnowTheirFlowsMayHoldThem(t *testing.T) {
	g := NewWithT(t)
	v := routedView(toOther...)
	g.Expect(routeOpenFlow(v).Shared).To(BeFalse(), "the agents of the other service know all their flows")
	v.Services[0].Endpoints = []Endpoint{AnyEndpoint}
	d := routeOpenFlow(v)
	g.Expect(d.Shared).To(BeTrue())
	g.Expect(d.services()).To(Equal([]packet.ServiceID{otherService, testService}))
	g.Expect(d.Copies[0].Tried).To(BeZero(), "it may be probed")
	router := NewRouter(RouterConfig{Hints: 64})
	router.SetView(0, v)
	syn := packet.Info{Key: key(1, packet.ProtoTCP), First: true, Flags: packet.FlagSYN}
	g.Expect(router.Route(0, &syn).Shared).To(BeFalse())
	later := router.Route(0, &packet.Info{Key: syn.Key, Flags: packet.FlagACK})
	g.Expect(later.Shared).To(BeFalse(), "this router has placed the flow")
	g.Expect(later.services()).To(Equal([]packet.ServiceID{otherService}))
	v.FirstRoutes = true
	g.Expect(routeOpenFlow(v).services()).To(Equal([]packet.ServiceID{otherService}), "no other routes were ever in force")
}

// Guards against a flow of which each of several suspected services probes an upstream: three strays are misrouted packets.
func TestOneServiceIsProbedOnSuspicion(t *testing.T) {
	g := NewWithT(t)
	v := routedView(toOther...)
	v.Services[0].Endpoints = []Endpoint{AnyEndpoint}
	for i, id := range []packet.ServiceID{thirdService, fourthService} {
		v.Services = append(v.Services, Service{ID: id, Endpoints: []Endpoint{AnyEndpoint},
			Upstreams: []Upstream{{ID: packet.AgentID(100 + i), Incarnation: 1, State: Ready}}})
	}
	d := routeOpenFlow(v)
	g.Expect(d.services()).To(HaveLen(4))
	g.Expect([]uint8{d.Copies[0].Tried, d.Copies[1].Tried, d.Copies[2].Tried}).To(Equal([]uint8{0, maxTried, maxTried}))
}

// Guards against resets on the word of a balancer that forwards packets before it knows all upstreams.
func TestPacketsAreMarkedWhileUpstreamsMayBeMissing(t *testing.T) {
	g := NewWithT(t)
	v := routedView(toOther...)
	v.Incomplete = true
	g.Expect(routeOpenFlow(v).Shared).To(BeTrue())
	v.Routes = nil
	v.Services[1].Endpoints = []Endpoint{testEndpoint}
	g.Expect(routeOpenFlow(v).Shared).To(BeTrue(), "without routes")
}

// Guards against resets of the flows of a former service that is suspected to have failed.
func TestFormerServiceWhoseUpstreamsAreMarkedAsFailedIsAsked(t *testing.T) {
	g := NewWithT(t)
	v := routedView(toOther...)
	v.Services[0].Endpoints = []Endpoint{testEndpoint}
	for i := range v.Services[0].Upstreams {
		v.Services[0].Upstreams[i].State = Failed
	}
	g.Expect(routeOpenFlow(v).services()).To(ContainElement(testService))
}

// Guards against lost flows that are never reset because a balancer was in doubt in its first moments.
func TestLostFlowIsFoundOnceItsPacketsAreNotMarked(t *testing.T) {
	g := NewWithT(t)
	var f unknownFlow
	f.noteShared(&packet.Header{Flags: packet.FlagShared})
	f.noteShared(&packet.Header{})
	g.Expect(f.shared).To(BeFalse())
	g.Expect((&Table{}).maxProbes(&f)).To(BeEquivalentTo(maxTried/2), "another service may have probed")
}
