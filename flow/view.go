package flow

import (
	"net/netip"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// State is the state of an upstream as announced by its agent.
type State uint8

const (
	// Starting upstreams receive digests but no flows, except while the whole fleet starts.
	Starting State = iota
	// Ready upstreams receive new flows.
	Ready
	// Draining upstreams keep their flows and receive no new ones.
	Draining
	// Leaving upstreams have ended their flows and are about to exit.
	Leaving
	// Failed upstreams were marked as failed by the arbiter, a balancer, because several balancers
	// could not reach their agent, or were announced as failed by their own agent, because the
	// upstream has ended or has shown no sign of life for too long.
	Failed
	// AgentRestarting upstreams (String returns "away") keep running while their agent
	// restarts. They receive no flows, and packets of their flows are delivered to no other
	// upstream.
	AgentRestarting
)

// MaxState is the highest State.
const MaxState = AgentRestarting

var stateNames = [...]string{"starting", "ready", "draining", "leaving", "failed", "away"}

// String returns the state's lower-case name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// holder returns a number that identifies the process that holds the upstream's flows: an odd one from
// the start ID of the upstream or, if that is unknown, an even one from the incarnation of its agent.
// It has nothing to do with a quota.Holder.
func (u *Upstream) holder() uint32 {
	if u.Start != 0 {
		return uint32(u.Start) | 1
	}
	return uint32(u.Incarnation) << 1
}

// mayStillHold reports whether flows that were recorded under a holder may still be held. Numbers of
// different kinds do not contradict each other: the start of an upstream becomes known some time after
// its agent accepts flows, and is unknown for a moment after a restart of the agent.
func (u *Upstream) mayStillHold(holder uint32) bool {
	own := u.holder()
	return own == holder || own&1 != holder&1
}

// Accepts reports whether an upstream in this state accepts new flows, unless its failure domain is
// evacuated. Packets of open flows are placed by the state alone.
func (s State) Accepts() bool { return s == Ready }

// Gone reports whether an upstream in this state counts as absent.
func (s State) Gone() bool { return s == Leaving || s == Failed }

// acceptsFlows reports whether the upstream accepts new flows. Decisions on them use it, and those on open
// flows State.Accepts, so that an order to evacuate changes the way of no open flow.
func (u *Upstream) acceptsFlows() bool { return u.State.Accepts() && !u.Evacuated }

// Endpoint is one address of a service.
type Endpoint struct {
	Addr  netip.AddrPort
	Proto uint8 // IP protocol number
}

// AnyEndpoint among the addresses at which an upstream is known to receive flows says that it may hold flows of
// others: its agent has restarted and does not know all of them yet. A process that does not know this value
// takes it for an address that no packet has.
var AnyEndpoint Endpoint

// Upstream is one upstream VM of a service in a view.
type Upstream struct {
	ID          packet.AgentID
	Name        string
	Incarnation uint64 // of the agent's process
	// Start is an ID that changes with each start of the upstream process. Its flows survive a
	// restart of the agent. It is 0 if unknown or not distinguished from the agent's start.
	Start         uint64
	Addr          netip.AddrPort // agent's data address, to which packets for the agent are sent
	State         State
	StateSource   StateSource
	FailureDomain string
	// Evacuated says that operators have ordered its failure domain to be evacuated: it keeps its flows and
	// receives no new ones.
	Evacuated bool
	// Cold says that its agent limits the rate of its requests because it has started lately.
	Cold bool
}

// Service is one service with its addresses and upstreams.
type Service struct {
	ID        packet.ServiceID
	Name      string
	Endpoints []Endpoint
	Upstreams []Upstream
}

// Target is a service that receives a share of a route's new flows.
type Target struct {
	Service packet.ServiceID
	Weight  int // share of new flows, relative to the sum of the route's weights
}

// Route maps one address to the services that receive its flows.
type Route struct {
	Endpoint Endpoint
	Targets  []Target
	Class    packet.Class // of the address's requests
}

// View is a process's view of the fleet. It replaces the previous view as a whole and is not
// modified afterwards.
type View struct {
	Services []Service
	// Incomplete says that services or upstreams may be missing, because the process has just started.
	Incomplete bool
	// Routes replaces the endpoints of the services if operators configure the services'
	// addresses. It is nil if the upstreams announce them.
	Routes []Route
	// FirstRoutes says that no other routes were ever in force.
	FirstRoutes bool
	// WarmupRates are the rates of requests a second that a cold upstream may be given, of the services that
	// have one.
	WarmupRates map[packet.ServiceID]float64
}
