package standin

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// ResponderConfig configures a Responder, which answers as one upstream.
type ResponderConfig struct {
	Name        string
	Service     string
	Addresses   []netip.AddrPort // the service's addresses
	LedgerLimit int              // maximum number of recorded requests, and of recorded connections
	FlowLimit   int              // maximum number of flow states
	Fault       UpstreamFault
}

const (
	// defaultLedgerLimit keeps the size of a ledger below 32 MB.
	defaultLedgerLimit = 2_000_000
	defaultFlowLimit   = 200_000
	// closedRetention is how long the state of a closed flow is kept to answer
	// retransmissions.
	closedRetention = 5 * time.Second
	// udpOpenPeriod is how long a UDP flow counts as open after its last packet.
	udpOpenPeriod = 10 * time.Second
	// idleTimeout is how long a flow may be idle before its state is removed, so that
	// flows whose client no longer exists do not remain.
	idleTimeout          = 5 * time.Minute
	sweepInterval        = time.Second
	tagBits              = 16
	maxWrongDestinations = 20
)

// UpstreamTag returns the upper half of every initial sequence number that the
// named upstream chooses. Clients use it to identify the upstream that sent a
// SYN-ACK.
func UpstreamTag(name string) uint16 {
	return uint16(xxhash.Sum64String(name))
}

// Responder answers the packets of its service's flows and records the requests that
// it ran. It performs no I/O.
type Responder struct {
	cfg       ResponderConfig
	service   packet.ServiceID
	addresses map[netip.AddrPort]bool
	rng       *rand.Rand
	flows     map[packet.Key]*serverFlow
	ledger    *Ledger
	// connections has the same limit as the ledger.
	connections  connectionLog
	counts       UpstreamCounts
	lastResponse []byte // latest response of any flow, for FaultCross
	nextSweep    time.Duration
}

// UpstreamCounts contains the counters of an upstream since its start.
type UpstreamCounts struct {
	Packets             uint64   `json:"packets"`
	Malformed           uint64   `json:"malformed"`
	FlowsOpened         uint64   `json:"flows_opened"`
	ResetsSent          uint64   `json:"resets_sent"`
	WrongServicePackets uint64   `json:"wrong_service_packets"`
	WrongDestinations   []string `json:"wrong_destinations,omitempty"` // first maxWrongDestinations only
	FlowsRefused        uint64   `json:"flows_refused"`                // packets that were to open a flow beyond the flow limit
	RequestsRun         uint64   `json:"requests_run"`
	// LastOpen is the time at which the latest flow was opened, since the start of the
	// process; in a report, since the Unix epoch.
	LastOpen time.Duration `json:"last_open"`
}

// NewResponder returns a responder without flows.
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

// Receive processes one IP packet and returns the reply, or nil if there is none.
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
	if len(r.counts.WrongDestinations) < maxWrongDestinations {
		r.counts.WrongDestinations = append(r.counts.WrongDestinations, in.Key.Destination().String())
	}
}

// OpenFlows returns the number of flows that are open at now.
func (r *Responder) OpenFlows(now time.Duration) int {
	open := 0
	for k, f := range r.flows {
		if f.isOpen(now, k.Proto) {
			open++
		}
	}
	return open
}

// Counts returns the counters since the start.
func (r *Responder) Counts() UpstreamCounts { return r.counts }

// Runs returns the recorded requests and the number of requests beyond the limit.
func (r *Responder) Runs() ([]Run, uint64) { return r.ledger.runs, r.ledger.dropped }

// newFlow adds a flow state for the key, or returns nil if the flow limit is
// reached.
func (r *Responder) newFlow(now time.Duration, k packet.Key) *serverFlow {
	if len(r.flows) >= r.cfg.FlowLimit {
		r.counts.FlowsRefused++
		return nil
	}
	isn := uint32(UpstreamTag(r.cfg.Name))<<tagBits | uint32(uint16(r.rng.Uint32()))
	f := &serverFlow{state: r.rng.Uint64(), isn: isn, sendNext: isn + 1, lastSeen: now}
	f.logIndex = r.connections.open(now, k.Source().Addr())
	r.flows[k] = f
	r.counts.FlowsOpened++
	r.counts.LastOpen = now
	return f
}

// sweep removes closed and idle flows after their timeouts.
func (r *Responder) sweep(now time.Duration) {
	if now < r.nextSweep {
		return
	}
	r.nextSweep = now + sweepInterval
	for k, f := range r.flows {
		limit := idleTimeout
		if f.closed {
			limit = closedRetention
		}
		if now-f.lastSeen > limit {
			r.connections.close(f.lastSeen, f.logIndex)
			delete(r.flows, k)
		}
	}
}
