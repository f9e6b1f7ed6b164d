package bench

import (
	"fmt"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	// routedPackets is the number of packets over which the cost of a routing decision is
	// averaged.
	routedPackets = 20000
	// afterSettling is a time after the end of an agent's slow start and of its settling
	// time, in which processes may have different views. The measurements of plan readers,
	// which have neither, use it as the interval between two revisions.
	afterSettling = 10 * time.Minute
	// loadSeconds is the virtual time over which load messages are counted.
	loadSeconds = 60
)

func balancerMeasurements() []measurement {
	return []measurement{
		{"route one packet without a hint", CPU, "upstream of the service", []int{10, 30, 100, 300, 1000}, routeUnhinted},
		{"route one packet of each flow by its hint", CPU, "flow", []int{2000, 6000, 20000, 60000, 200000}, routeHinted},
		{"hint table", Memory, "flow", []int{4096, 16384, 65536, 262144, 524288}, hintMemory},
		{"view and its index", Memory, "upstream", []int{480, 1600, 4800, 16000, targetUpstreams}, viewMemory},
		{"view of a service with 11 upstreams and its index", Memory, "address", []int{43, 130, 430, 1300, targetServices}, addressMemory},
		{"route one packet without a hint, 11 upstreams", CPU, "address", []int{43, 130, 430, 1300, targetServices}, routeAddresses},
		{"install a view", CPU, "upstream", []int{480, 1600, 4800, 16000, targetUpstreams}, viewCPU},
	}
}

func routeUnhinted(m meter, n int) Point {
	r := flow.NewRouter(flow.RouterConfig{Hints: -1})
	r.SetView(0, slopeView(n, 1))
	packets := firstPackets(routedPackets)
	total := m.cpu(func() {}, func() { routeAll(r, packets) })
	return Point{float64(n), total / routedPackets}
}

func routeHinted(m meter, n int) Point {
	r := flow.NewRouter(flow.RouterConfig{Hints: 4 * n})
	r.SetView(0, slopeView(11, 1))
	packets := firstPackets(n)
	routeAll(r, packets)
	return Point{float64(n), m.cpu(func() {}, func() { routeAll(r, packets) })}
}

func routeAll(r *flow.Router, packets []packet.Info) {
	for i := range packets {
		if d := r.Route(afterSettling, &packets[i]); !d.OK {
			panic("bench: packet was not routed: " + d.Reason.String())
		}
	}
}

func hintMemory(m meter, n int) Point {
	return Point{float64(n), m.heap(func() any { return flow.NewRouter(flow.RouterConfig{Hints: n}) })}
}

func viewMemory(m meter, n int) Point {
	return Point{float64(n), m.heap(func() any {
		r := flow.NewRouter(flow.RouterConfig{Hints: -1})
		r.SetView(0, slopeView(n, servicesOf(n)))
		return r
	})}
}

// addressView returns a view of one service with n addresses.
func addressView(n int) *flow.View {
	v := slopeView(11, 1)
	for i := 1; i < n; i++ {
		v.Services[0].Endpoints = append(v.Services[0].Endpoints, flow.Endpoint{Addr: slopeServiceAddr(i), Proto: packet.ProtoTCP})
	}
	return v
}

func addressMemory(m meter, n int) Point {
	return Point{float64(n), m.heap(func() any {
		r := flow.NewRouter(flow.RouterConfig{Hints: -1})
		r.SetView(0, addressView(n))
		return r
	})}
}

func routeAddresses(m meter, n int) Point {
	r := flow.NewRouter(flow.RouterConfig{Hints: -1})
	r.SetView(0, addressView(n))
	packets := firstPackets(routedPackets)
	for i := range packets {
		k := &packets[i].Key
		*k = packet.KeyOf(k.Source(), slopeServiceAddr(i%n), packet.ProtoTCP)
	}
	total := m.cpu(func() {}, func() { routeAll(r, packets) })
	return Point{float64(n), total / routedPackets}
}

func viewCPU(m meter, n int) Point {
	v := slopeView(n, servicesOf(n))
	r := flow.NewRouter(flow.RouterConfig{Hints: -1})
	return Point{float64(n), m.cpu(func() {}, func() { r.SetView(0, v) })}
}

func servicesOf(upstreams int) int { return max(1, upstreams*targetServices/targetUpstreams) }

func agentMeasurements() []measurement {
	flows := []int{500, 1500, 5000, 15000, 50000}
	return []measurement{
		{"open flows", Memory, "flow", flows, flowMemory},
		{"take a flow", CPU, "flow", flows, flowAccept},
		{"deliver one packet of each flow", CPU, "flow", flows, flowDeliver},
		{"one step with open flows", CPU, "flow", flows, flowStep},
		{"digest of flows away from their first choice", Wire, "displaced flow", []int{250, 1000, 3000, 10000, 30000}, digestBytes},
		{"load messages sent in one second", Wire, "upstream of the service", []int{2, 7, 20, 70, 200}, loadBytes},
	}
}

// slopeTable returns the table of an agent without peers, after its slow start and
// settling time.
func slopeTable(flows int) *flow.Table {
	t := flow.NewTable(flow.TableConfig{MaxFlows: flows + 1}, slopeUpstream(0), packet.ServiceIDOf("service-0000"), slopeRand())
	t.SetPeers(0, []flow.Upstream{slopeUpstream(0)})
	t.SetState(0, flow.Ready)
	t.Step(afterSettling)
	return t
}

// receiveAll passes packets to a table and panics unless it delivers all of them.
func receiveAll(t *flow.Table, packets []packet.Info) {
	for i := range packets {
		h := packet.Header{Kind: packet.KindData, Service: packet.ServiceIDOf("service-0000"), Origin: daemonAddr(1, 7000)}
		if a := t.Receive(afterSettling, &h, &packets[i]); a.Kind != flow.Deliver {
			panic(fmt.Sprintf("bench: packet was not delivered: action %d, %v", a.Kind, a.Reason))
		}
	}
}

func flowMemory(m meter, n int) Point {
	packets := firstPackets(n)
	return Point{float64(n), m.heap(func() any {
		t := slopeTable(n)
		receiveAll(t, packets)
		return t
	})}
}

func flowAccept(m meter, n int) Point {
	packets := firstPackets(n)
	var t *flow.Table
	return Point{float64(n), m.cpu(func() { t = slopeTable(n) }, func() { receiveAll(t, packets) })}
}

func flowDeliver(m meter, n int) Point {
	packets := firstPackets(n)
	t := slopeTable(n)
	receiveAll(t, packets)
	for i := range packets {
		packets[i].First = false
	}
	return Point{float64(n), m.cpu(func() {}, func() { receiveAll(t, packets) })}
}

func flowStep(m meter, n int) Point {
	const steps = 10
	t := slopeTable(n)
	receiveAll(t, firstPackets(n))
	now := afterSettling
	total := m.cpu(func() {}, func() {
		for range steps {
			now += time.Second
			t.Step(now)
		}
	})
	return Point{float64(n), total / steps}
}

// digestBytes measures the digest additions that an agent sends after a new peer has become
// the first choice of some of its n flows.
func digestBytes(_ meter, n int) Point {
	t := slopeTable(n)
	receiveAll(t, firstPackets(n))
	t.SetPeers(afterSettling, []flow.Upstream{slopeUpstream(0), slopeUpstream(1)})
	wire := newWireSize()
	displaced, bytes := 0, 0
	for second := range 60 + n/200 {
		for _, m := range t.Step(afterSettling + time.Duration(second)*time.Second) {
			if len(m.Add) > 0 {
				displaced += len(m.Add)
				bytes += wire.message(&m)
			}
		}
	}
	return Point{float64(displaced), float64(bytes)}
}

func loadBytes(_ meter, n int) Point {
	t := slopeTable(1)
	peers := make([]flow.Upstream, n)
	for i := range peers {
		peers[i] = slopeUpstream(i)
	}
	t.SetPeers(afterSettling, peers)
	wire := newWireSize()
	bytes := 0
	for second := range loadSeconds {
		for _, m := range t.Step(afterSettling + time.Duration(second+1)*time.Second) {
			bytes += wire.message(&m)
		}
	}
	return Point{float64(n), float64(bytes) / loadSeconds}
}
