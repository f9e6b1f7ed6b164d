package standin

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// ResponderConfig describes one upstream.
type ResponderConfig struct {
	Name        string
	Service     string
	Addresses   []netip.AddrPort // the service's addresses
	LedgerLimit int              // requests
	FlowLimit   int              // flows
	Fault       Fault
}

const (
	// defaultLedgerLimit keeps a ledger below 32 MB.
	defaultLedgerLimit = 2_000_000
	defaultFlowLimit   = 200_000
	// closedLinger is how long a closed flow still answers retransmissions.
	closedLinger = 5 * time.Second
	// udpActive is how long a UDP flow counts as open after its last request.
	udpActive = 10 * time.Second
	// idleLimit ends flows whose client has disappeared.
	idleLimit    = 5 * time.Minute
	sweepEvery   = time.Second
	tagBits      = 16
	wrongLogSize = 20
)

// UpstreamTag returns the upper half of every initial sequence number that the
// named upstream chooses. Clients know by it which upstream sent a SYN-ACK.
func UpstreamTag(name string) uint16 {
	return uint16(xxhash.Sum64String(name))
}

// Responder is the pure part of an upstream: it answers the packets of its
// service's flows and records what it ran.
type Responder struct {
	cfg       ResponderConfig
	service   packet.ServiceID
	addresses map[netip.AddrPort]bool
	rng       *rand.Rand
	flows     map[packet.Key]*serverFlow
	ledger    *Ledger
	// connections has the same limit as ledger.
	connections connectionLog
	counts      UpstreamCounts
	previous    []byte // latest response, for FaultCross
	nextSweep   time.Duration
}

// UpstreamCounts is what an upstream has counted since its start.
type UpstreamCounts struct {
	Packets             uint64   `json:"packets"`
	Malformed           uint64   `json:"malformed"`
	FlowsOpened         uint64   `json:"flows_opened"`
	ResetsSent          uint64   `json:"resets_sent"`
	WrongServicePackets uint64   `json:"wrong_service_packets"`
	WrongDestinations   []string `json:"wrong_destinations,omitempty"` // the first ones
	FlowsRefused        uint64   `json:"flows_refused"`                // above the flow limit
	RequestsRun         uint64   `json:"requests_run"`
	// LastOpen is when the latest flow was opened; its reference is the
	// process start, or in a report the Unix epoch.
	LastOpen time.Duration `json:"last_open"`
}

// NewResponder returns an upstream without flows.
func NewResponder(cfg ResponderConfig, rng *rand.Rand) *Responder {
	if cfg.LedgerLimit == 0 {
		cfg.LedgerLimit = defaultLedgerLimit
	}
	if cfg.FlowLimit == 0 {
		cfg.FlowLimit = defaultFlowLimit
	}
	r := &Responder{
		cfg:       cfg,
		service:   packet.ServiceIDOf(cfg.Service),
		addresses: make(map[netip.AddrPort]bool),
		rng:       rng,
		flows:     make(map[packet.Key]*serverFlow),
		ledger:    NewLedger(cfg.LedgerLimit),

		connections: connectionLog{limit: cfg.LedgerLimit},
	}
	for _, a := range cfg.Addresses {
		r.addresses[a] = true
	}
	return r
}

// Receive handles one IP packet and returns the reply, or nil.
func (r *Responder) Receive(now time.Duration, raw []byte) []byte {
	r.sweep(now)
	r.counts.Packets++
	var in packet.Info
	if err := packet.Parse(raw, &in); err != nil || in.ICMPError {
		r.counts.Malformed++
		return nil
	}
	if !r.addresses[in.Key.Destination()] || r.cfg.Fault == FaultForeign {
		r.countWrongService(&in)
		if r.cfg.Fault != FaultAnyAddress {
			return nil
		}
	}
	if in.Key.Proto == packet.ProtoTCP {
		return r.receiveTCP(now, &in)
	}
	return r.receiveUDP(now, &in)
}

func (r *Responder) countWrongService(in *packet.Info) {
	r.counts.WrongServicePackets++
	if len(r.counts.WrongDestinations) < wrongLogSize {
		r.counts.WrongDestinations = append(r.counts.WrongDestinations, in.Key.Destination().String())
	}
}

// Open returns the number of open flows at now.
func (r *Responder) Open(now time.Duration) int {
	open := 0
	for k, f := range r.flows {
		if f.isOpen(now, k.Proto) {
			open++
		}
	}
	return open
}

// Counts returns the counters.
func (r *Responder) Counts() UpstreamCounts { return r.counts }

// Runs returns the recorded requests and the number of those not recorded.
func (r *Responder) Runs() ([]Run, uint64) { return r.ledger.runs, r.ledger.dropped }

// newFlow adds a state for the key, or returns nil at the flow limit.
func (r *Responder) newFlow(now time.Duration, k packet.Key) *serverFlow {
	if len(r.flows) >= r.cfg.FlowLimit {
		r.counts.FlowsRefused++
		return nil
	}
	isn := uint32(UpstreamTag(r.cfg.Name))<<tagBits | uint32(uint16(r.rng.Uint32()))
	f := &serverFlow{state: r.rng.Uint64(), isn: isn, sendNext: isn + 1, lastSeen: now}
	f.connection = r.connections.open(now, k.Source().Addr())
	r.flows[k] = f
	r.counts.FlowsOpened++
	r.counts.LastOpen = now
	return f
}

// sweep removes flows that ended or were abandoned.
func (r *Responder) sweep(now time.Duration) {
	if now < r.nextSweep {
		return
	}
	r.nextSweep = now + sweepEvery
	for k, f := range r.flows {
		limit := idleLimit
		if f.closed {
			limit = closedLinger
		}
		if now-f.lastSeen > limit {
			r.connections.close(f.lastSeen, f.connection)
			delete(r.flows, k)
		}
	}
}
