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
	warmUp   = 60 * time.Second // before the first change; traffic is not counted
	coolDown = 60 * time.Second // after the last change

	connections    = 2000 // connection limit of one upstream
	load           = 0.7  // open flows as a share of the limit
	otherUpstreams = 3    // size of the service whose fleet does not change

	startingTime = 15 * time.Second // from start to ready; the default of flow.TableConfig.Settling
	drainingMin  = 15 * time.Second // minimum time from draining to leaving; the same default
	slowStart    = 30 * time.Second
	callTimeout  = time.Second      // until the sender of a lost message reports it as undelivered
	idleUDP      = 30 * time.Second // short, so that there are fewer ended UDP flows than open ones
)

var serviceNames = [...]string{"impact-portal", "evidence-intake"}

// upstream is one upstream VM with its agent.
type upstream struct {
	flow.Upstream
	service  int
	agent    flow.Agent
	known    knowledge
	since    time.Duration // time of the last change of state
	open     int           // open flows of clients
	mailbox  []flow.Message
	control  int // control bytes in the current second
	controls int // control bytes since the warm-up
	born     time.Duration
}

type balancer struct {
	router flow.Balancer
	known  knowledge
	addr   netip.AddrPort
	alive  bool
}

// record is one version of the state of an upstream.
type record struct {
	flow.Upstream
	service int
	version int
}

// knowledge holds the newest record of each upstream that one process has received, in
// the order in which the upstreams were first received.
type knowledge []record

// learn adds or replaces a record unless the present one is at least as new, and reports
// whether it did.
func (k *knowledge) learn(r record) bool {
	for i := range *k {
		if (*k)[i].ID != r.ID {
			continue
		}
		if (*k)[i].version >= r.version {
			return false
		}
		(*k)[i] = r
		return true
	}
	*k = append(*k, r)
	return true
}

// listed returns the upstreams of a service that are not leaving.
func (k knowledge) listed(service int) []flow.Upstream {
	var out []flow.Upstream
	for _, r := range k {
		if r.service == service && r.State != flow.Leaving {
			out = append(out, r.Upstream)
		}
	}
	return out
}

func (k knowledge) view() *flow.View {
	v := &flow.View{}
	for i, name := range serviceNames {
		s := flow.Service{ID: packet.ServiceIDOf(name), Name: name, Upstreams: k.listed(i)}
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
	w.names++
	name := fmt.Sprintf("%s-%d", serviceNames[service], w.names)
	u := &upstream{service: service, since: w.now, born: w.now}
	u.Upstream = flow.Upstream{
		ID:          packet.AgentIDOf(name),
		Name:        name,
		Incarnation: w.fleetRand.Uint64(),
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, byte(w.names >> 8), byte(w.names)}), 4000),
		State:       state,
	}
	cfg := flow.TableConfig{
		MaxFlows: connections, Threshold: w.cfg.Threshold, IdleUDP: idleUDP, SlowStart: slowStart, Observer: w,
	}
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(w.names)))
	u.agent = w.policy.NewAgent(cfg, u.Upstream, packet.ServiceIDOf(name[:len(serviceNames[service])]), rng)
	u.known = append(knowledge(nil), w.someKnowledge()...)
	w.upstreams = append(w.upstreams, u)
	w.byID[u.ID] = u
	w.announce(u)
	w.catchUp(func(r record) { w.tellUpstream(u, r) })
	return u
}

// someKnowledge returns the records of a random balancer, from which a new process
// loads the fleet.
func (w *world) someKnowledge() knowledge {
	if b := w.anyBalancer(w.fleetRand); b != nil {
		return b.known
	}
	return nil
}

// catchUp sends the current records to a new process within the lag, including those
// that the balancer from which it loaded the fleet had not received.
func (w *world) catchUp(tell func(record)) {
	truth := append([]record(nil), w.truth...)
	w.at(w.now+w.delay(), func() {
		for _, r := range truth {
			tell(r)
		}
	})
}

func (w *world) delay() time.Duration {
	if w.now == 0 {
		return 0
	}
	return time.Duration(w.fleetRand.Int64N(int64(w.cfg.Lag) + 1))
}

// setState changes an upstream's state. Each other process is notified after a random
// delay.
func (w *world) setState(u *upstream, s flow.State) {
	u.State, u.since = s, w.now
	u.agent.SetState(w.now, s)
	w.announce(u)
}

func (w *world) announce(u *upstream) {
	w.versions++
	r := record{Upstream: u.Upstream, service: u.service, version: w.versions}
	(*knowledge)(&w.truth).learn(r)
	w.tellUpstream(u, r)
	for _, other := range w.upstreams {
		if other != u {
			w.at(w.now+w.delay(), func() { w.tellUpstream(other, r) })
		}
	}
	for _, b := range w.balancers {
		w.at(w.now+w.delay(), func() { w.tellBalancer(b, r) })
	}
}

func (w *world) tellUpstream(u *upstream, r record) {
	if u.known.learn(r) && r.service == u.service {
		u.agent.SetPeers(w.now, u.known.listed(u.service))
	}
}

func (w *world) tellBalancer(b *balancer, r record) {
	if b.known.learn(r) {
		b.router.SetView(w.now, b.known.view())
	}
}

func (w *world) addBalancer() {
	w.names++
	b := &balancer{
		router: w.policy.NewBalancer(flow.RouterConfig{}),
		known:  append(knowledge(nil), w.someKnowledge()...),
		addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 254, byte(w.names >> 8), byte(w.names)}), 4000),
		alive:  true,
	}
	b.router.SetView(w.now, b.known.view())
	w.balancers = append(w.balancers, b)
	w.catchUp(func(r record) { w.tellBalancer(b, r) })
}

func (w *world) anyBalancer(rng *rand.Rand) *balancer {
	if len(w.balancers) == 0 {
		return nil
	}
	return w.balancers[rng.IntN(len(w.balancers))]
}

// removeDrained removes the draining upstreams whose flows have ended.
func (w *world) removeDrained() {
	for i := 0; i < len(w.upstreams); i++ {
		u := w.upstreams[i]
		if u.State != flow.Draining || u.open > 0 || w.now-u.since < drainingMin {
			continue
		}
		w.setState(u, flow.Leaving)
		w.count.left(w.now, u)
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

// slotAddr encodes the index of a client in its source address, so that the observer
// finds the client of a flow without a map.
func slotAddr(slot int, v6 bool) netip.Addr {
	if v6 {
		a := netip.MustParseAddr("2001:db8:1::").As16()
		binary.BigEndian.PutUint32(a[12:], uint32(slot))
		return netip.AddrFrom16(a)
	}
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], 10<<24|uint32(slot))
	return netip.AddrFrom4(a)
}
