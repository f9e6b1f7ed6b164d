package soak

import (
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Config is what a run is made of.
type Config struct {
	Seconds   float64 // length of the faults
	Seed      uint64
	Pause     float64 // longest pause between the starts of two faults, seconds; 0: drawn
	Balancers int     // default 3
	Upstreams int     // of each of two services; default 3
	Clients   int     // default 6
	Dir       string
	Program   string // executable with the subcommands balancer and agent
	Progress  io.Writer
}

func (c Config) withDefaults() Config {
	setDefault(&c.Balancers, 3)
	setDefault(&c.Upstreams, 3)
	setDefault(&c.Clients, 6)
	return c
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// Ports are the same on all addresses of a run, as on the platform.
const (
	clientPort   = 8172 // of clients and balancers' client sockets, and agents' data
	readyPort    = 8167
	controlPort  = 8166
	internalPort = 7720
	outboundPort = 8162
	appPort      = 8165
	announcePort = 8160
	storePort    = 8169
	proxyPort    = 7730 // UDP proxy of an agent, TCP proxy of any daemon
)

// Kinds of addresses, the third byte.
const (
	netBalancer = 1 + iota
	netAgent
	netClient
	netRoute
	netStore
)

// address returns an address of the run in 127.0.0.0/8. Runs with other seeds have other
// addresses, so that some can be made at the same time.
func (c *Config) address(kind, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(10 + c.Seed%200), byte(kind), byte(1 + n)}), uint16(port))
}

// Bounds of the promises, as the platform's sites state them.
const (
	touchTime   = 4 * time.Second // after a disturbance in which a VM is not held to its promises
	drainBound  = 3 * time.Second // from the acknowledgement of a drain to the last new flow
	configBound = 3 * time.Second // from a change of the routes to its effect
	// removedBound is configBound with the time of a client's last copy, 600 ms, and that for
	// which it may wait beside an upstream.
	removedBound = configBound + 2*time.Second
	flowWindow   = 2 * time.Second // in which packets of a flow reach others and not its own
	flowPackets  = 3               // so many of them
	calmTime     = 12 * time.Second
	calmShare    = 0.9 // of the requests sent after calmTime that must succeed
)

// Result is the outcome of a run.
type Result struct {
	Seed       uint64   `json:"seed"`
	Faults     int      `json:"faults"`
	Requests   int      `json:"requests"`
	Answered   int      `json:"answered"`
	Reset      int      `json:"reset"`
	TimedOut   int      `json:"timed_out"`
	Judged     int      `json:"judged"`  // resets and packets at other servers that were held against the promises
	Excused    int      `json:"excused"` // those that were not, as a VM was disturbed
	CalmSent   int      `json:"calm_sent"`
	CalmOK     int      `json:"calm_answered"`
	Violations []string `json:"violations"`
}

func (r *Result) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d requests, %d answered, %d reset, %d timed out; calm %d of %d; %d violations",
		r.Seed, r.Faults, r.Requests, r.Answered, r.Reset, r.TimedOut, r.CalmOK, r.CalmSent, len(r.Violations))
}
