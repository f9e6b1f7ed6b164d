package soak

import (
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"time"
)

// Config configures a run.
type Config struct {
	Seconds   float64 // duration of fault injection
	Seed      uint64
	Pause     float64 // maximum pause between the starts of two faults, seconds; 0: random
	Balancers int     // default 3
	Upstreams int     // of each of two services; default 3
	Clients   int     // default 6
	Busy      int     // processes that compute beside the run; RandomBusy: the seed decides
	Cold      float64 // new flows a second that a server which has just started may be given; 0: no limit
	Only      string  // part of the names of the faults to inject; empty: all faults
	Dir       string
	Program   string // executable with the subcommands balancer, agent and busy
	Progress  io.Writer

	network byte // second byte of the run's addresses
}

func (c Config) withDefaults() Config {
	setDefault(&c.Balancers, 3)
	setDefault(&c.Upstreams, 3)
	setDefault(&c.Clients, 6)
	if c.Busy == RandomBusy {
		c.Busy = randomBusy(c.Seed, runtime.NumCPU())
	}
	return c
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// Ports, which are the same on all addresses of a run, as on the platform.
const (
	clientPort   = 8172 // clients, the fabric, a balancer's client_address, an agent's data_address
	readyPort    = 8167 // health_address of a daemon
	controlPort  = 8166 // a balancer's control_listen
	internalPort = 7720 // a balancer's data_address, an agent's control_listen
	outboundPort = 8162 // an agent's reply_listen
	appPort      = 8165 // an agent's upstream_sink_address: packets to the server
	announcePort = 8160 // an agent's upstream_listen: announcements of the server
	storePort    = 8169
	proxyPort    = 7730 // UDP proxy of an agent, TCP proxy of any daemon
)

// Address kinds, the third byte of an address.
const (
	netBalancer = 1 + iota
	netAgent
	netClient
	netRoute
	netStore
)

// Runs have the networks 127.10.0.0/16 to 127.209.0.0/16, so that as many can run at the same time.
const (
	firstNetwork = 10
	networks     = 200
)

// networkName returns the network of the run.
func (c *Config) networkName() string { return fmt.Sprintf("127.%d.0.0/16", c.network) }

// address returns an address in the network of the run.
func (c *Config) address(kind, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, c.network, byte(kind), byte(1 + n)}), uint16(port))
}

// Bounds with which the oracle checks the guarantees. The platform's sites specify the
// guarantees with their bounds.
const (
	recoveryTime    = 4 * time.Second // after a fault, during which the guarantees are not checked for the VM
	drainBound      = 3 * time.Second // from the acknowledgement of a drain to the last new flow
	evacuationBound = 5 * time.Second // from the acknowledgement of an order to evacuate to the last new flow
	configBound     = 3 * time.Second // from a route change until it takes effect
	// routeRemovalBound is configBound plus the time until a client's last SYN retransmission,
	// 600 ms, and the time for which an agent may buffer that packet.
	routeRemovalBound = configBound + 2*time.Second
	misdeliveryPeriod = 2 * time.Second  // how long the packets of a flow may reach only other servers than its own
	minMisdelivered   = 3                // minimum number of packets at other servers for a violation
	faultFreeTime     = 12 * time.Second // from the last fault to the final check, for recovery
	minAnsweredShare  = 0.9              // minimum share of the requests sent in the final check that must be answered
)

// Result is the outcome of a run.
type Result struct {
	Seed       uint64   `json:"seed"`
	Network    string   `json:"network"` // of all addresses of the run
	Busy       int      `json:"busy"`    // processes that computed beside the run
	Faults     int      `json:"faults"`
	Requests   int      `json:"requests"`
	Answered   int      `json:"answered"`
	Reset      int      `json:"reset"`
	TimedOut   int      `json:"timed_out"`
	Judged     int      `json:"judged"`        // resets and packets at other servers that were checked against the guarantees
	Excused    int      `json:"excused"`       // those that were not checked because of a recent fault of a VM
	CalmSent   int      `json:"calm_sent"`     // requests sent in the final check, which starts faultFreeTime after the last fault
	CalmOK     int      `json:"calm_answered"` // those of CalmSent that were answered
	MaxCold    int      `json:"max_cold"`      // most new flows that a cold server got within a second; see Config.Cold
	Violations []string `json:"violations"`
}

func (r *Result) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d requests, %d answered, %d reset, %d timed out; final check %d of %d answered; %d violations",
		r.Seed, r.Faults, r.Requests, r.Answered, r.Reset, r.TimedOut, r.CalmOK, r.CalmSent, len(r.Violations))
}
