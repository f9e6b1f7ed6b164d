package bench

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	tick     = 100 * time.Millisecond
	warmUp   = 60 * time.Second // before the first change; counts states what is counted in this time
	coolDown = 60 * time.Second // after the last change

	connections    = 2000 // connection limit of one upstream
	load           = 0.7  // open flows as a share of the limit
	otherUpstreams = 3    // size of the service whose fleet does not change

	startingTime = 15 * time.Second // from start to ready; the default of flow.TableConfig.Settling
	minDraining  = 15 * time.Second // minimum time from draining to leaving; also the default of flow.TableConfig.Settling
	slowStart    = 30 * time.Second
	callTimeout  = time.Second      // until the sender of a lost message reports it as undelivered
	idleUDP      = 30 * time.Second // short, so that agents keep fewer ended UDP flows than open ones
)

var serviceNames = [...]string{"impact-portal", "evidence-intake"}

// upstream is one upstream VM with its agent.
type upstream struct {
	flow.Upstream
	service      int
	agent        flow.Agent
	records      recordList
	stateSince   time.Duration // time of the last change of state
	openFlows    int           // open flows of clients
	mailbox      []flow.Message
	control      int // control bytes in the current second
	controlTotal int // control bytes since the warm-up
	startedAt    time.Duration
}

type balancer struct {
	router  flow.Balancer
	records recordList
	addr    netip.AddrPort
	alive   bool
}

// record is one version of the state of an upstream.
type record struct {
	flow.Upstream
	service int
	version int
}

// recordList holds the newest record of each upstream that one daemon has received, in
// the order in which the upstreams were first received.
type recordList []record

// merge adds or replaces a record unless the present one is at least as new, and reports
// whether it did.
func (l *recordList) merge(r record) bool {
	for i := range *l {
		if (*l)[i].ID != r.ID {
			continue
		}
		if (*l)[i].version >= r.version {
			return false
		}
		(*l)[i] = r
		return true
	}
	*l = append(*l, r)
	return true
}

// active returns the upstreams of a service that are not leaving.
func (l recordList) active(service int) []flow.Upstream {
	var out []flow.Upstream
	for _, r := range l {
		if r.service == service && r.State != flow.Leaving {
			out = append(out, r.Upstream)
		}
	}
	return out
}

func (l recordList) view() *flow.View {
	v := &flow.View{}
	for i, name := range serviceNames {
		s := flow.Service{ID: packet.ServiceIDOf(name), Name: name, Upstreams: l.active(i)}
		for _, a := range [...]netip.Addr{serviceAddr(i, false), serviceAddr(i, true)} {
			for _, proto := range [...]uint8{packet.ProtoTCP, packet.ProtoUDP} {
				s.Endpoints = append(s.Endpoints, flow.Endpoint{Addr: netip.AddrPortFrom(a, 443), Proto: proto})
			}
		}
		v.Services = append(v.Services, s)
	}
	return v
}

func serviceAddr(service int, v6 bool) netip.Addr {
	if v6 {
		a := netip.MustParseAddr("2001:db8::").As16()
		a[15] = byte(service + 1)
		return netip.AddrFrom16(a)
	}
	return netip.AddrFrom4([4]byte{192, 0, 2, byte(service + 1)})
}

// event is a scheduled function. Events with the same time run in the order in which
// they were scheduled.
type event struct {
	at  time.Duration
	run func()
}

// at schedules run for time t.
func (w *world) at(t time.Duration, run func()) {
	i := len(w.events)
	for i > 0 && w.events[i-1].at > t {
		i--
	}
	w.events = append(w.events, event{})
	copy(w.events[i+1:], w.events[i:])
	w.events[i] = event{at: t, run: run}
}

func (w *world) runEvents() {
	for len(w.events) > 0 && w.events[0].at <= w.now {
		run := w.events[0].run
		w.events = w.events[1:]
		run()
	}
}

// addUpstream starts an upstream with its agent.
func (w *world) addUpstream(service int, state flow.State) *upstream {
	w.daemons++
	name := fmt.Sprintf("%s-%d", serviceNames[service], w.daemons)
	u := &upstream{service: service, stateSince: w.now, startedAt: w.now}
	u.Upstream = flow.Upstream{
		ID:          packet.AgentIDOf(name),
		Name:        name,
		Incarnation: w.fleetRand.Uint64(),
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, byte(w.daemons >> 8), byte(w.daemons)}), 4000),
		State:       state,
	}
	cfg := flow.TableConfig{
		MaxFlows: connections, Threshold: w.cfg.Threshold, IdleUDP: idleUDP, SlowStart: slowStart, Observer: w,
	}
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(w.daemons)))
	u.agent = w.policy.NewAgent(cfg, u.Upstream, packet.ServiceIDOf(name[:len(serviceNames[service])]), rng)
	u.records = append(recordList(nil), w.copiedRecords()...)
	w.upstreams = append(w.upstreams, u)
	w.byID[u.ID] = u
	w.announce(u)
	w.sendCurrentRecords(func(r record) { w.notifyUpstream(u, r) })
	return u
}

// copiedRecords returns the records of a random balancer, from which a new daemon
// loads the fleet.
func (w *world) copiedRecords() recordList {
	if b := w.randomBalancer(w.fleetRand); b != nil {
		return b.records
	}
	return nil
}

// sendCurrentRecords sends the current records to a new daemon within the lag, including those
// that the balancer from which it loaded the fleet had not received.
func (w *world) sendCurrentRecords(notify func(record)) {
	current := append([]record(nil), w.records...)
	w.at(w.now+w.delay(), func() {
		for _, r := range current {
			notify(r)
		}
	})
}

func (w *world) delay() time.Duration {
	if w.now == 0 {
		return 0
	}
	return time.Duration(w.fleetRand.Int64N(int64(w.cfg.Lag) + 1))
}

// setState changes an upstream's state. Each other daemon is notified after a random
// delay.
func (w *world) setState(u *upstream, s flow.State) {
	u.State, u.stateSince = s, w.now
	u.agent.SetState(w.now, s)
	w.announce(u)
}

func (w *world) announce(u *upstream) {
	w.versions++
	r := record{Upstream: u.Upstream, service: u.service, version: w.versions}
	(*recordList)(&w.records).merge(r)
	w.notifyUpstream(u, r)
	for _, other := range w.upstreams {
		if other != u {
			w.at(w.now+w.delay(), func() { w.notifyUpstream(other, r) })
		}
	}
	for _, b := range w.balancers {
		w.at(w.now+w.delay(), func() { w.notifyBalancer(b, r) })
	}
}

func (w *world) notifyUpstream(u *upstream, r record) {
	if u.records.merge(r) && r.service == u.service {
		u.agent.SetPeers(w.now, u.records.active(u.service))
	}
}

func (w *world) notifyBalancer(b *balancer, r record) {
	if b.records.merge(r) {
		b.router.SetView(w.now, b.records.view())
	}
}

func (w *world) addBalancer() {
	w.daemons++
	b := &balancer{
		router:  w.policy.NewBalancer(flow.RouterConfig{}),
		records: append(recordList(nil), w.copiedRecords()...),
		addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 254, byte(w.daemons >> 8), byte(w.daemons)}), 4000),
		alive:   true,
	}
	b.router.SetView(w.now, b.records.view())
	w.balancers = append(w.balancers, b)
	w.sendCurrentRecords(func(r record) { w.notifyBalancer(b, r) })
}

func (w *world) randomBalancer(rng *rand.Rand) *balancer {
	if len(w.balancers) == 0 {
		return nil
	}
	return w.balancers[rng.IntN(len(w.balancers))]
}

// removeDrained removes the draining upstreams whose flows have ended.
func (w *world) removeDrained() {
	for i := 0; i < len(w.upstreams); i++ {
		u := w.upstreams[i]
		if u.State != flow.Draining || u.openFlows > 0 || w.now-u.stateSince < minDraining {
			continue
		}
		w.setState(u, flow.Leaving)
		w.count.recordControlRate(w.now, u)
		delete(w.byID, u.ID)
		w.upstreams = append(w.upstreams[:i], w.upstreams[i+1:]...)
		i--
	}
}

// ready returns the ready upstreams of a service.
func (w *world) ready(service int) []*upstream {
	var out []*upstream
	for _, u := range w.upstreams {
		if u.service == service && u.State == flow.Ready {
			out = append(out, u)
		}
	}
	return out
}

// clientAddr encodes the index of a client in its source address, so that FlowTaken and
// FlowEnded find the client of a flow without a map.
func clientAddr(index int, v6 bool) netip.Addr {
	if v6 {
		a := netip.MustParseAddr("2001:db8:1::").As16()
		binary.BigEndian.PutUint32(a[12:], uint32(index))
		return netip.AddrFrom16(a)
	}
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], 10<<24|uint32(index))
	return netip.AddrFrom4(a)
}
