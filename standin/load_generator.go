package standin

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Target is one service to which clients open flows.
type Target struct {
	Service   string           `json:"service"`
	Addresses []netip.AddrPort `json:"addresses"` // each is used for TCP and UDP
	// Greedy marks a target whose clients belong to a customer that exceeds its plan.
	// The clients use the addresses in Sources and keep Flows flows open, counting those
	// that are still being opened. A flow that gets no answer counts as refused, not as
	// broken. All these flows use TCP, because an agent counts a UDP flow for minutes
	// after its client has stopped.
	Greedy  bool           `json:"greedy,omitempty"`
	Sources []netip.Prefix `json:"sources,omitempty"`
	Flows   int            `json:"flows,omitempty"`
}

// targetKey identifies a target in the flow counts.
type targetKey struct {
	service string
	greedy  bool
}

func (t *Target) key() targetKey { return targetKey{t.Service, t.Greedy} }

// LoadConfig configures the load that the clients of one process generate.
type LoadConfig struct {
	Targets  []Target       `json:"targets"`
	Sources  []netip.Prefix `json:"sources"` // prefixes of the random client addresses
	Flows    int            `json:"flows"`   // open flows per service
	Feeds    float64        `json:"feeds"`   // share of the flows that are long-lived: clients do not close them
	UDP      float64        `json:"udp"`     // share of the long-lived flows that use UDP; all other flows use TCP
	RampUp   time.Duration  `json:"ramp_up"` // time over which the initial flows are opened
	Lifetime time.Duration  `json:"lifetime"`
	Pause    time.Duration  `json:"pause"` // mean time between a response and the flow's next request
	// Run is the upper half of the flow IDs. It must differ between client processes, so
	// that flow IDs are unique across them.
	Run uint32 `json:"run"`
}

// Defaults replaces zero fields with their defaults.
func (c *LoadConfig) Defaults() {
	setDefault(&c.Flows, 300)
	setDefault(&c.Feeds, 0.6)
	setDefault(&c.UDP, 0.15)
	setDefault(&c.RampUp, time.Second)
	setDefault(&c.Lifetime, 3*time.Second)
	setDefault(&c.Pause, 400*time.Millisecond)
}

// Check returns an error if no client could open a flow to one of the targets.
func (c *LoadConfig) Check() error {
	for _, t := range c.Targets {
		reachable := func(a netip.AddrPort) bool { return reachable(c.sourcesOf(&t), a) }
		if !slices.ContainsFunc(t.Addresses, reachable) {
			return errors.Newf("no source prefix matches the IP version of any address of service %s", t.Service)
		}
	}
	return nil
}

// sourcesOf returns the prefixes of the client addresses for a target.
func (c *LoadConfig) sourcesOf(t *Target) []netip.Prefix {
	if t.Greedy {
		return t.Sources
	}
	return c.Sources
}

// reachable reports whether a source prefix has the IP version of dst.
func reachable(sources []netip.Prefix, dst netip.AddrPort) bool {
	return slices.ContainsFunc(sources, func(p netip.Prefix) bool {
		return p.Addr().Is4() == dst.Addr().Is4()
	})
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

const (
	minRetransmissionTimeout = 150 * time.Millisecond
	// synRetransmissionTimeout is the retransmission timeout before a round-trip time
	// has been measured (RFC 6298, section 2).
	synRetransmissionTimeout = time.Second
	// With maxRetransmissionTimeout and maxTransmissions, a flow counts as broken after
	// about 8 s without an answer. That is shorter than the timeout of a TCP stack,
	// and longer than the system may take to recover from a balancer failure.
	maxRetransmissionTimeout = time.Second
	maxTransmissions         = 10
	// maxSYNTransmissions results in the same timeout of 8 s for a SYN.
	maxSYNTransmissions = 8
	minClientPort       = 1024
)

// LoadGenerator simulates many clients, each with its own source address and flows. It
// performs no I/O.
type LoadGenerator struct {
	cfg        LoadConfig
	rng        *rand.Rand
	byKey      map[packet.Key]*clientFlow // key: direction from client to service
	flows      []*clientFlow              // in the order in which they were opened
	open       map[targetKey]int
	longLived  map[targetKey]int // long-lived flows among the open ones
	killedTags map[uint16]bool   // tags of the upstreams that were killed on purpose
	report     LoadReport
	nextID     FlowID
	closing    bool
	send       func([]byte)
}

// NewLoadGenerator returns a load generator without flows. It sends packets through send,
// which must not retain its argument.
func NewLoadGenerator(cfg LoadConfig, rng *rand.Rand, send func([]byte)) *LoadGenerator {
	cfg.Defaults()
	return &LoadGenerator{
		cfg:        cfg,
		rng:        rng,
		byKey:      make(map[packet.Key]*clientFlow),
		open:       make(map[targetKey]int),
		longLived:  make(map[targetKey]int),
		killedTags: make(map[uint16]bool),
		nextID:     FlowID(cfg.Run) << 32,
		send:       send,
	}
}

// Step opens flows up to the configured number, sends the requests that are due,
// and retransmits unanswered packets.
func (g *LoadGenerator) Step(now time.Duration) {
	if !g.closing {
		g.openMissing(now)
	}
	kept := g.flows[:0]
	for _, f := range g.flows {
		g.stepFlow(now, f)
		if f.phase != phaseEnded {
			kept = append(kept, f)
		}
	}
	clear(g.flows[len(kept):])
	g.flows = kept
}

// openMissing opens flows up to the configured number, which grows linearly during
// the ramp-up time.
func (g *LoadGenerator) openMissing(now time.Duration) {
	for i := range g.cfg.Targets {
		t := &g.cfg.Targets[i]
		wanted := g.cfg.Flows
		if t.Greedy {
			wanted = t.Flows
		}
		if now < g.cfg.RampUp {
			wanted = int(float64(wanted) * float64(now) / float64(g.cfg.RampUp))
		}
		for g.open[t.key()] < wanted {
			g.openFlow(now, t)
		}
	}
}

// Close stops opening flows and closes each open flow once it has no outstanding
// request.
func (g *LoadGenerator) Close() { g.closing = true }

// SetFlows changes the configured number of open flows per service.
func (g *LoadGenerator) SetFlows(n int) { g.cfg.Flows = n }

// MarkKilled records that the upstream was killed on purpose: flows that it
// answered and that break from now on count as unplanned.
func (g *LoadGenerator) MarkKilled(upstream string) { g.killedTags[UpstreamTag(upstream)] = true }

// EndFlows closes all flows of the upstream, including long-lived ones, at
// random times within the given period.
func (g *LoadGenerator) EndFlows(now, within time.Duration, upstream string) {
	for _, f := range g.flows {
		if f.exchange.upstream != upstream {
			continue
		}
		end := now + time.Duration(g.rng.Float64()*float64(within))
		if f.closeAt == 0 {
			g.longLived[f.target.key()]--
			f.closeAt = end
		}
		f.closeAt = min(f.closeAt, end)
	}
}

// Report returns a copy of the counters and records.
func (g *LoadGenerator) Report() LoadReport {
	r := g.report
	r.FlowsOpenBy = make(map[string]int)
	for _, t := range g.cfg.Targets {
		r.FlowsOpenBy[t.Service] += g.open[t.key()]
		r.FlowsOpen += g.open[t.key()]
	}
	r.Broken = append([]BrokenFlow(nil), r.Broken...)
	r.Attempts = append([]Attempt(nil), r.Attempts...)
	return r
}

// openFlow opens a flow from a random source address.
func (g *LoadGenerator) openFlow(now time.Duration, t *Target) {
	f := g.newFlow(now, t)
	g.byKey[f.key] = f
	g.flows = append(g.flows, f)
	g.open[t.key()]++
	if f.closeAt == 0 {
		g.longLived[t.key()]++
	}
	g.report.FlowsOpened++
	g.report.FlowsOpenMax = max(g.report.FlowsOpenMax, g.openFlows())
	if f.key.Proto == packet.ProtoUDP {
		f.phase = phaseOpen
		g.sendRequest(now, f)
		return
	}
	g.transmit(now, f, packet.FlagSYN, f.isn, 0, nil)
}

func (g *LoadGenerator) openFlows() int {
	n := 0
	for _, v := range g.open {
		n += v
	}
	return n
}

// newFlow returns a flow with random addresses and ports whose key is not in use.
func (g *LoadGenerator) newFlow(now time.Duration, t *Target) *clientFlow {
	g.nextID++
	f := &clientFlow{target: t, opened: now, isn: g.rng.Uint32()}
	f.sendNext = f.isn + 1
	f.exchange.request = Request{Service: packet.ServiceIDOf(t.Service), Flow: g.nextID}
	proto := uint8(packet.ProtoTCP)
	// If long-lived flows were chosen at random, in time all flows would be long-lived,
	// since only short-lived flows end. So a new flow is long-lived only while the share
	// of long-lived flows is too low.
	if float64(g.longLived[t.key()]) >= g.cfg.Feeds*float64(g.open[t.key()]+1) {
		f.closeAt = now + g.jitter(g.cfg.Lifetime)
	} else if !t.Greedy && g.rng.Float64() < g.cfg.UDP {
		proto = packet.ProtoUDP
	}
	for {
		f.key = g.drawKey(t, proto)
		if g.byKey[f.key] == nil {
			return f
		}
	}
}

// drawKey returns a random flow key whose source and destination have the same IP
// version.
func (g *LoadGenerator) drawKey(t *Target, proto uint8) packet.Key {
	for {
		dst := t.Addresses[g.rng.IntN(len(t.Addresses))]
		sources := g.cfg.sourcesOf(t)
		prefix := sources[g.rng.IntN(len(sources))]
		if prefix.Addr().Is4() != dst.Addr().Is4() {
			continue
		}
		port := uint16(minClientPort + g.rng.IntN(1<<16-minClientPort))
		src := netip.AddrPortFrom(drawAddr(prefix, g.rng), port)
		return packet.KeyOf(src, dst, proto)
	}
}

// drawAddr returns a random address of the prefix.
func drawAddr(p netip.Prefix, rng *rand.Rand) netip.Addr {
	b := p.Masked().Addr().AsSlice()
	for bit := p.Bits(); bit < len(b)*8; bit++ {
		b[bit/8] |= byte(rng.UintN(2)) << (7 - bit%8)
	}
	addr, _ := netip.AddrFromSlice(b)
	return addr
}

// jitter returns a uniformly distributed duration between 0.5 d and 1.5 d.
func (g *LoadGenerator) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.rng.Float64()*float64(d))
}
