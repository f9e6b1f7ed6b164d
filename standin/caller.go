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
	// Greedy marks a customer that exceeds its plan. Its flows use only source
	// addresses from Sources, and Flows of them are kept open or being opened. A flow
	// that gets no answer counts as refused, not as broken. All of them use TCP,
	// because an agent counts a UDP flow for minutes after its client has stopped.
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

// CallersConfig configures the load that the clients of one process generate.
type CallersConfig struct {
	Targets  []Target       `json:"targets"`
	Sources  []netip.Prefix `json:"sources"` // prefixes of the random client addresses
	Flows    int            `json:"flows"`   // open flows per service
	Feeds    float64        `json:"feeds"`   // share of long-lived flows, which clients do not close
	UDP      float64        `json:"udp"`     // share of the long-lived flows that use UDP
	RampUp   time.Duration  `json:"ramp_up"` // time over which the initial flows are opened
	Lifetime time.Duration  `json:"lifetime"`
	Pause    time.Duration  `json:"pause"` // mean time between a response and the flow's next request
	// Run makes flow IDs unique across several processes.
	Run uint32 `json:"run"`
}

// Defaults replaces zero fields with their defaults.
func (c *CallersConfig) Defaults() {
	setDefault(&c.Flows, 300)
	setDefault(&c.Feeds, 0.6)
	setDefault(&c.UDP, 0.15)
	setDefault(&c.RampUp, time.Second)
	setDefault(&c.Lifetime, 3*time.Second)
	setDefault(&c.Pause, 400*time.Millisecond)
}

// Check returns an error if no client could open a flow to one of the targets.
func (c *CallersConfig) Check() error {
	for _, t := range c.Targets {
		reachable := func(a netip.AddrPort) bool { return reachable(c.sourcesOf(&t), a) }
		if !slices.ContainsFunc(t.Addresses, reachable) {
			return errors.Newf("no source prefix matches the IP version of any address of service %s", t.Service)
		}
	}
	return nil
}

// sourcesOf returns the prefixes of the client addresses for a target.
func (c *CallersConfig) sourcesOf(t *Target) []netip.Prefix {
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

// Callers simulates many clients, each with its own source address and flows. It
// performs no I/O.
type Callers struct {
	cfg        CallersConfig
	rng        *rand.Rand
	byKey      map[packet.Key]*clientFlow // key: direction from client to service
	flows      []*clientFlow              // in the order in which they were opened
	open       map[targetKey]int
	longLived  map[targetKey]int // long-lived flows among the open ones
	killedTags map[uint16]bool   // tags of the upstreams that were killed on purpose
	report     CallersReport
	nextID     FlowID
	closing    bool
	send       func([]byte)
}

// NewCallers returns clients without flows. They send packets through send, which
// must not retain its argument.
func NewCallers(cfg CallersConfig, rng *rand.Rand, send func([]byte)) *Callers {
	cfg.Defaults()
	return &Callers{
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
func (c *Callers) Step(now time.Duration) {
	if !c.closing {
		c.openMissing(now)
	}
	kept := c.flows[:0]
	for _, f := range c.flows {
		c.stepFlow(now, f)
		if f.phase != phaseEnded {
			kept = append(kept, f)
		}
	}
	clear(c.flows[len(kept):])
	c.flows = kept
}

// openMissing opens flows up to the configured number, which grows linearly during
// the ramp-up time.
func (c *Callers) openMissing(now time.Duration) {
	for i := range c.cfg.Targets {
		t := &c.cfg.Targets[i]
		wanted := c.cfg.Flows
		if t.Greedy {
			wanted = t.Flows
		}
		if now < c.cfg.RampUp {
			wanted = int(float64(wanted) * float64(now) / float64(c.cfg.RampUp))
		}
		for c.open[t.key()] < wanted {
			c.openFlow(now, t)
		}
	}
}

// Close stops opening flows and closes each open flow once it has no outstanding
// request.
func (c *Callers) Close() { c.closing = true }

// SetFlows changes the configured number of open flows per service.
func (c *Callers) SetFlows(n int) { c.cfg.Flows = n }

// MarkKilled records that the upstream was killed on purpose: flows that it
// answered and that break from now on count as unplanned.
func (c *Callers) MarkKilled(upstream string) { c.killedTags[UpstreamTag(upstream)] = true }

// EndSessions closes all flows of the upstream, including long-lived ones, at
// random times within the given period.
func (c *Callers) EndSessions(now, within time.Duration, upstream string) {
	for _, f := range c.flows {
		if f.exchange.upstream != upstream {
			continue
		}
		end := now + time.Duration(c.rng.Float64()*float64(within))
		if f.closeAt == 0 {
			c.longLived[f.target.key()]--
			f.closeAt = end
		}
		f.closeAt = min(f.closeAt, end)
	}
}

// Report returns a copy of the counters and records.
func (c *Callers) Report() CallersReport {
	r := c.report
	r.FlowsOpenBy = make(map[string]int)
	for _, t := range c.cfg.Targets {
		r.FlowsOpenBy[t.Service] += c.open[t.key()]
		r.FlowsOpen += c.open[t.key()]
	}
	r.Broken = append([]BrokenFlow(nil), r.Broken...)
	r.Attempts = append([]Attempt(nil), r.Attempts...)
	return r
}

// openFlow opens a flow from a random source address.
func (c *Callers) openFlow(now time.Duration, t *Target) {
	f := c.newFlow(now, t)
	c.byKey[f.key] = f
	c.flows = append(c.flows, f)
	c.open[t.key()]++
	if f.closeAt == 0 {
		c.longLived[t.key()]++
	}
	c.report.FlowsOpened++
	c.report.FlowsOpenMax = max(c.report.FlowsOpenMax, c.openFlows())
	if f.key.Proto == packet.ProtoUDP {
		f.phase = phaseOpen
		c.sendRequest(now, f)
		return
	}
	c.transmit(now, f, packet.FlagSYN, f.isn, 0, nil)
}

func (c *Callers) openFlows() int {
	n := 0
	for _, v := range c.open {
		n += v
	}
	return n
}

// newFlow returns a flow with random addresses and ports whose key is not in use.
func (c *Callers) newFlow(now time.Duration, t *Target) *clientFlow {
	c.nextID++
	f := &clientFlow{target: t, opened: now, isn: c.rng.Uint32()}
	f.sendNext = f.isn + 1
	f.exchange.request = Request{Service: packet.ServiceIDOf(t.Service), Flow: c.nextID}
	proto := uint8(packet.ProtoTCP)
	// Choosing the kind at random would in time make all flows long-lived, since only
	// the others end. So a flow is long-lived only while their share is too low.
	if float64(c.longLived[t.key()]) >= c.cfg.Feeds*float64(c.open[t.key()]+1) {
		f.closeAt = now + c.jitter(c.cfg.Lifetime)
	} else if !t.Greedy && c.rng.Float64() < c.cfg.UDP {
		proto = packet.ProtoUDP
	}
	for {
		f.key = c.drawKey(t, proto)
		if c.byKey[f.key] == nil {
			return f
		}
	}
}

// drawKey returns a random flow key whose source and destination have the same IP
// version.
func (c *Callers) drawKey(t *Target, proto uint8) packet.Key {
	for {
		dst := t.Addresses[c.rng.IntN(len(t.Addresses))]
		sources := c.cfg.sourcesOf(t)
		prefix := sources[c.rng.IntN(len(sources))]
		if prefix.Addr().Is4() != dst.Addr().Is4() {
			continue
		}
		port := uint16(minClientPort + c.rng.IntN(1<<16-minClientPort))
		src := netip.AddrPortFrom(drawAddr(prefix, c.rng), port)
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
func (c *Callers) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Float64()*float64(d))
}
