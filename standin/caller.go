package standin

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Target is one service that clients use.
type Target struct {
	Service   string           `json:"service"`
	Addresses []netip.AddrPort `json:"addresses"` // each is used for TCP and UDP
	// Greedy is set for a customer that asks for more than its plan: its flows come
	// from Sources alone, Flows of them are kept open or tried, and one that gets no
	// answer is refused, not broken. All use TCP, because an agent counts a UDP flow
	// for minutes after its client has gone.
	Greedy  bool           `json:"greedy,omitempty"`
	Sources []netip.Prefix `json:"sources,omitempty"`
	Flows   int            `json:"flows,omitempty"`
}

// targetKey identifies a target in the counts of flows.
type targetKey struct {
	service string
	greedy  bool
}

func (t *Target) key() targetKey { return targetKey{t.Service, t.Greedy} }

// CallersConfig describes the load of all clients of one process.
type CallersConfig struct {
	Targets  []Target       `json:"targets"`
	Sources  []netip.Prefix `json:"sources"` // client addresses are drawn from these
	Flows    int            `json:"flows"`   // open flows for each service
	Feeds    float64        `json:"feeds"`   // share of flows that stay open
	UDP      float64        `json:"udp"`     // share of the feeds that use UDP
	RampUp   time.Duration  `json:"ramp_up"` // time in which the first flows are opened
	Lifetime time.Duration  `json:"lifetime"`
	Pause    time.Duration  `json:"pause"` // mean time between two requests of a flow
	// Run distinguishes the flow IDs of several processes.
	Run uint32 `json:"run"`
}

// Defaults fills in what is not set.
func (c *CallersConfig) Defaults() {
	setDefault(&c.Flows, 300)
	setDefault(&c.Feeds, 0.6)
	setDefault(&c.UDP, 0.15)
	setDefault(&c.RampUp, time.Second)
	setDefault(&c.Lifetime, 3*time.Second)
	setDefault(&c.Pause, 400*time.Millisecond)
}

// Check reports settings with which no client could open a flow.
func (c *CallersConfig) Check() error {
	for _, t := range c.Targets {
		reachable := func(a netip.AddrPort) bool { return reachable(c.sourcesOf(&t), a) }
		if !slices.ContainsFunc(t.Addresses, reachable) {
			return errors.Newf("no source has the IP version of an address of %s", t.Service)
		}
	}
	return nil
}

// sourcesOf returns the prefixes from which a target's clients come.
func (c *CallersConfig) sourcesOf(t *Target) []netip.Prefix {
	if t.Greedy {
		return t.Sources
	}
	return c.Sources
}

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
	firstRetransmission = 150 * time.Millisecond
	// openingRetransmission is the retransmission time before a round-trip time is
	// known (RFC 6298, section 2).
	openingRetransmission = time.Second
	// maxRetransmission and maxTransmissions let a flow be silent for about 8 s
	// before it counts as broken. That is shorter than a TCP stack would wait, and
	// longer than the system may need after a balancer's death.
	maxRetransmission = time.Second
	maxTransmissions  = 10
	// maxOpenings gives a flow that was never answered the same 8 s.
	maxOpenings = 8
	firstPort   = 1024
)

// Callers is the pure part of the client stand-in: many clients, each with its
// own source address and flows.
type Callers struct {
	cfg     CallersConfig
	rng     *rand.Rand
	byKey   map[packet.Key]*callerFlow // keys in the direction to the service
	flows   []*callerFlow              // in order of opening
	open    map[targetKey]int
	feeds   map[targetKey]int // those of the open flows that stay open
	killed  map[uint16]bool   // tags of the upstreams killed on purpose
	report  CallersReport
	nextID  FlowID
	closing bool
	out     func([]byte)
}

// NewCallers returns clients without flows. They send packets through out, which
// must not keep its argument.
func NewCallers(cfg CallersConfig, rng *rand.Rand, out func([]byte)) *Callers {
	cfg.Defaults()
	return &Callers{
		cfg:    cfg,
		rng:    rng,
		byKey:  make(map[packet.Key]*callerFlow),
		open:   make(map[targetKey]int),
		feeds:  make(map[targetKey]int),
		killed: make(map[uint16]bool),
		nextID: FlowID(cfg.Run) << 32,
		out:    out,
	}
}

// Step opens the flows that are missing, sends the requests that are due and
// retransmits.
func (c *Callers) Step(now time.Duration) {
	if !c.closing {
		c.fill(now)
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

// fill opens flows up to the configured number, spread over the ramp-up time.
func (c *Callers) fill(now time.Duration) {
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

// Close stops opening flows and closes those that wait for no response.
func (c *Callers) Close() { c.closing = true }

// SetFlows changes the number of open flows for each service.
func (c *Callers) SetFlows(n int) { c.cfg.Flows = n }

// MarkKilled notes that the upstream was killed on purpose: the flows it held
// count as unplanned when they break from now on.
func (c *Callers) MarkKilled(upstream string) { c.killed[UpstreamTag(upstream)] = true }

// EndSessions closes all flows that the upstream has answered within the given
// time, feeds included.
func (c *Callers) EndSessions(now, within time.Duration, upstream string) {
	for _, f := range c.flows {
		if f.id.upstream != upstream {
			continue
		}
		end := now + time.Duration(c.rng.Float64()*float64(within))
		if f.until == 0 {
			c.feeds[f.target.key()]--
			f.until = end
		}
		f.until = min(f.until, end)
	}
}

// Report returns what was observed.
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

// openFlow starts a flow of a new or returning client.
func (c *Callers) openFlow(now time.Duration, t *Target) {
	f := c.newFlow(now, t)
	c.byKey[f.key] = f
	c.flows = append(c.flows, f)
	c.open[t.key()]++
	if f.until == 0 {
		c.feeds[t.key()]++
	}
	c.report.FlowsOpened++
	c.report.FlowsOpenMax = max(c.report.FlowsOpenMax, c.totalOpen())
	if f.key.Proto == packet.ProtoUDP {
		f.phase = phaseOpen
		c.sendRequest(now, f)
		return
	}
	c.transmit(now, f, packet.FlagSYN, f.isn, 0, nil)
}

func (c *Callers) totalOpen() int {
	n := 0
	for _, v := range c.open {
		n += v
	}
	return n
}

// newFlow draws kind, addresses and ports of a flow whose key is not in use.
func (c *Callers) newFlow(now time.Duration, t *Target) *callerFlow {
	c.nextID++
	f := &callerFlow{target: t, opened: now, isn: c.rng.Uint32()}
	f.sendNext = f.isn + 1
	f.id.request = Request{Service: packet.ServiceIDOf(t.Service), Flow: c.nextID}
	proto := uint8(packet.ProtoTCP)
	// A drawn kind would turn all flows into feeds in time, as only the others end.
	if float64(c.feeds[t.key()]) >= c.cfg.Feeds*float64(c.open[t.key()]+1) {
		f.until = now + c.around(c.cfg.Lifetime)
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

// drawKey draws a source of the same IP version as the service's address.
func (c *Callers) drawKey(t *Target, proto uint8) packet.Key {
	for {
		dst := t.Addresses[c.rng.IntN(len(t.Addresses))]
		sources := c.cfg.sourcesOf(t)
		prefix := sources[c.rng.IntN(len(sources))]
		if prefix.Addr().Is4() != dst.Addr().Is4() {
			continue
		}
		port := uint16(firstPort + c.rng.IntN(1<<16-firstPort))
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

// around returns a random duration between half and one and a half of d.
func (c *Callers) around(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Float64()*float64(d))
}
