package bench

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	// The target fleet of design section 1.5. Smaller fleets have the same proportions.
	targetBalancers = 5300
	targetUpstreams = 48000
	targetServices  = 4300
	targetDomains   = 14
	targetDaemons   = targetBalancers + targetUpstreams
)

// fleetSizes are numbers of daemons of the whole fleet, up to the size of the target.
var fleetSizes = []int{targetDaemons / 100, targetDaemons / 30, targetDaemons / 10, targetDaemons / 3, targetDaemons}

// domainSizes are numbers of daemons of one failure domain, up to that of the target.
var domainSizes = []int{38, 120, 380, 1200, targetDaemons / targetDomains}

func slopeRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// fleetRecords returns the records of a fleet, balancers first.
func fleetRecords(daemons int) []member.Record {
	balancers := max(2, daemons*targetBalancers/targetDaemons)
	services := max(1, daemons*targetServices/targetDaemons)
	out := make([]member.Record, daemons)
	for i := range out {
		out[i] = balancerRecord(i)
		if i >= balancers {
			out[i] = upstreamRecord(i, (i-balancers)%services)
		}
		out[i].FailureDomain = fmt.Sprintf("region-%d", i%targetDomains)
	}
	return out
}

func balancerRecord(i int) member.Record {
	return member.Record{
		Name: fmt.Sprintf("balancer-%05d", i), Role: member.RoleBalancer, FailureDomain: "region-0",
		Incarnation: uint64(i)*0x9e3779b97f4a7c15 | 1, State: flow.Ready, Data: daemonAddr(i, 7000), Control: daemonAddr(i, 7001),
	}
}

func upstreamRecord(i, service int) member.Record {
	r := balancerRecord(i)
	r.Name, r.Role, r.Service = fmt.Sprintf("upstream-%05d", i), member.RoleUpstream, fmt.Sprintf("service-%04d", service)
	r.Endpoints = []flow.Endpoint{{Addr: slopeServiceAddr(service), Proto: packet.ProtoTCP}}
	r.Slots, r.Connections = 5, 2000
	return r
}

func daemonAddr(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), port)
}

func slopeServiceAddr(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(service >> 8), byte(service)}), 443)
}

// slopeView returns a view of n upstreams in the given number of services.
func slopeView(n, services int) *flow.View {
	v := &flow.View{Services: make([]flow.Service, services)}
	for s := range v.Services {
		name := fmt.Sprintf("service-%04d", s)
		v.Services[s] = flow.Service{
			ID: packet.ServiceIDOf(name), Name: name,
			Endpoints: []flow.Endpoint{{Addr: slopeServiceAddr(s), Proto: packet.ProtoTCP}},
		}
	}
	for i := range n {
		s := &v.Services[i%services]
		s.Upstreams = append(s.Upstreams, slopeUpstream(i))
	}
	return v
}

func slopeUpstream(i int) flow.Upstream {
	name := fmt.Sprintf("upstream-%05d", i)
	return flow.Upstream{
		ID: packet.AgentIDOf(name), Name: name, Incarnation: uint64(i) + 1,
		Addr: daemonAddr(i, 7000), State: flow.Ready, FailureDomain: "region-0",
	}
}

// firstPackets returns the first packets of n flows to service 0.
func firstPackets(n int) []packet.Info {
	out := make([]packet.Info, n)
	for i := range out {
		src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}), 40000)
		out[i] = packet.Info{Key: packet.KeyOf(src, slopeServiceAddr(0), packet.ProtoTCP), First: true}
	}
	return out
}
