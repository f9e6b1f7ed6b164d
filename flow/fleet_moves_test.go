package flow

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// fleetMoving has two services, and versions of the routes that give the addresses another service or other weights,
// beside planned work. Each balancer learns of a version at another time.
var fleetMoving = func() fleetShape {
	s := fleetPlanned
	s.name, s.moves, s.agents = "moving", true, [2]int{4, 10}
	return s
}()

const (
	fleetRoutesDelay = 2 * time.Second // maximum time until a balancer has a version
	fleetShardDelay  = 3 * time.Second // maximum time until a record is in the store
)

var (
	fleetServices  = []packet.ServiceID{testService, testService + 1}
	fleetEndpoints = []Endpoint{{Addr: fleetRepeatable, Proto: packet.ProtoTCP}, {Addr: fleetOnce, Proto: packet.ProtoTCP}}
)

// fleetRoutes is a version of the routes: the targets of each endpoint.
type fleetRoutes struct {
	at      time.Duration
	targets [][]Target
}

func (f *fleet) drawRoutes() fleetRoutes {
	r := fleetRoutes{at: f.now}
	for range fleetEndpoints {
		service := f.rng.IntN(len(fleetServices))
		targets := []Target{{Service: fleetServices[service], Weight: 1}}
		if f.chance(0.3) {
			targets = []Target{{Service: fleetServices[0], Weight: 1 + f.rng.IntN(9)}, {Service: fleetServices[1], Weight: 1 + f.rng.IntN(9)}}
		}
		r.targets = append(r.targets, targets)
	}
	return r
}

// moveRoutes plans versions of the routes.
func (f *fleet) moveRoutes() {
	for at := f.between(4*time.Second, 10*time.Second); at < f.end-6*time.Second; at += f.between(time.Second, 20*time.Second) {
		f.after(at, func() {
			f.note("the routes change")
			f.routes = append(f.routes, f.drawRoutes())
			for _, b := range f.balancers {
				f.after(b.routesDelay(len(f.routes)-1), func() { b.input(queueControl, 0, b.installView) })
			}
		})
	}
}

// routesDelay returns the time until the balancer has a version. One that starts reads the newest.
func (b *fleetBalancer) routesDelay(version int) time.Duration {
	return time.Duration(seedOf(packet.AgentIDOf(b.name)+packet.AgentID(version))%uint64(fleetRoutesDelay)) + 1
}

// knownRoutes returns the newest version that the balancer has.
func (b *fleetBalancer) knownRoutes() *fleetRoutes {
	for i := len(b.f.routes) - 1; i > 0; i-- {
		if r := &b.f.routes[i]; r.at <= b.startedAt || b.f.now-r.at >= b.routesDelay(i) {
			return r
		}
	}
	return &b.f.routes[0]
}

func (b *fleetBalancer) viewOfServices() *View {
	v := &View{Incomplete: !b.complete()}
	for _, id := range fleetServices {
		s := Service{ID: id, Name: string(rune('s' + id)), Endpoints: []Endpoint{}}
		for _, u := range b.withOrders(sortedUpstreams(b.view)) {
			if b.f.agentOf(u.ID).service == id {
				s.Upstreams = append(s.Upstreams, u)
			}
		}
		s.Endpoints = b.endpointsOf(s.Upstreams)
		v.Services = append(v.Services, s)
	}
	for i, e := range fleetEndpoints {
		v.Routes = append(v.Routes, Route{Endpoint: e, Targets: b.knownRoutes().targets[i], Class: packet.NewClass(0, 0, i == 0)})
	}
	return v
}

// endpointsOf returns the endpoints that upstreams have announced, without those that are leaving unless all are: see
// member.group.endpoints.
func (b *fleetBalancer) endpointsOf(upstreams []Upstream) []Endpoint {
	holding, all := map[Endpoint]bool{}, map[Endpoint]bool{}
	for _, u := range upstreams {
		for _, e := range b.view[u.ID].endpoints {
			all[e] = true
			if u.State != Leaving {
				holding[e] = true
			}
		}
	}
	if len(holding) == 0 {
		holding = all
	}
	return slices.SortedFunc(maps.Keys(holding), func(x, y Endpoint) int { return x.Addr.Compare(y.Addr) })
}

// store writes a record to the store, from which a balancer that starts reads it.
func (f *fleet) store(r memberRecord) {
	if r.version > f.stored[r.u.ID].version {
		f.stored[r.u.ID] = r
	}
}

func (b *fleetBalancer) load() {
	b.loaded = true
	for _, a := range b.f.agents {
		if r, found := b.f.stored[a.id]; found {
			b.receiveRecord(r)
		}
	}
}

// sendCopies sends the copies of a packet to the agents of other services that may hold its flow.
func (b *fleetBalancer) sendCopies(d *Decision, p fleetPacket) {
	for _, c := range d.Copies {
		if c.Agent == 0 {
			continue
		}
		to := b.f.agentAt(c.Addr)
		b.f.trace(p.flow, "%s sends a copy to %s", b.name, to.name)
		p.h.Service, p.h.Flags, p.h.Tried = c.Service, p.h.Flags&^packet.FlagExpected, c.Tried
		b.f.sendPacket(b.vm, to, p)
	}
}

func endpointOf(k *packet.Key) Endpoint {
	return Endpoint{Addr: netip.AddrPortFrom(netip.AddrFrom16(k.Dst).Unmap(), k.DstPort), Proto: k.Proto}
}

// learnRestored learns the endpoints of restored flows. It reports whether any endpoint has not been announced.
func (a *fleetAgent) learnRestored() bool {
	for _, k := range a.table.TakeRestored() {
		a.learned[endpointOf(&k)] = true
	}
	announced := a.learnedEndpoints()
	fresh := a.f.shape.moves && !slices.Equal(announced, a.announcedEndpoints)
	a.announcedEndpoints = announced
	return fresh
}

// learnedEndpoints is Agent.learnedEndpoints.
func (a *fleetAgent) learnedEndpoints() []Endpoint {
	delete(a.learned, AnyEndpoint)
	if a.table.Completeness(a.clock()) == Incomplete {
		a.learned[AnyEndpoint] = true
	}
	return slices.SortedFunc(maps.Keys(a.learned), func(x, y Endpoint) int { return x.Addr.Compare(y.Addr) })
}

// Guards against resets of open flows of a service by agents of another one that their address has got.
func TestMovingFleetResetsNoOpenFlow(t *testing.T) { checkFleets(t, &fleetMoving, ruleReset) }

func TestMovingFleetDeniesNoOpenFlow(t *testing.T) { checkFleets(t, &fleetMoving, ruleDenied) }

func TestMovingFleetKeepsFlowsAtTheirUpstream(t *testing.T) {
	checkFleets(t, &fleetMoving, ruleMisdelivered)
}
