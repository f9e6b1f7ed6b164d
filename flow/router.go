package flow

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// RouterConfig configures a Router. Zero fields take their defaults.
type RouterConfig struct {
	// Hints is the capacity of the hint table in flows; 24 bytes each. Default 524288. A
	// negative value disables hints.
	Hints int
	// LearnedOnly restricts the hint table to hints sent by agents. By default the router
	// also records its own decisions, so that a change of the fleet causes no detour for
	// flows that the router has routed before.
	LearnedOnly bool
	// FailureDomain and LocalAbove control the placement of the flows of services whose flows
	// carry much data. If the clients of a service send at least LocalAbove bytes per flow, its
	// new flows are placed in FailureDomain, if an upstream there accepts flows. Without a
	// failure domain the placement of a flow does not depend on the balancer.
	FailureDomain string
	LocalAbove    uint64
}

const defaultHints = 1 << 19

// Decision is the result of Router.Route. If OK is false, the packet is to be dropped.
type Decision struct {
	OK     bool
	Hinted bool // chosen by the flow's hint, sent or assumed, instead of the ranking
	// Expected says that the agent has sent the hint, or that this router has placed the flow there.
	Expected bool
	Reason   Reason
	Service  packet.ServiceID
	Agent    packet.AgentID
	Addr     netip.AddrPort
	Class    packet.Class // request class of the address
}

// Router is the balancer side of flow placement. It is not safe for concurrent use.
type Router struct {
	cfg       RouterConfig
	hints     hintTable
	traffic   map[packet.ServiceID]*traffic
	services  []routedService
	endpoints map[endpointKey]destination
}

// destination says where the flows to one address go: to one service, or to several by
// weight. A service is given by its position in the view, or noService if none of its
// upstreams is known.
type destination struct {
	service int
	split   []share // nil for a single service
	total   uint64
	class   packet.Class
}

type share struct {
	service int
	weight  uint64
}

const noService = -1

// endpointKey is a service address in the format of packet.Key.
type endpointKey struct {
	addr  [16]byte
	port  uint16
	proto uint8
}

// routedService is a service of the view, prepared for ranking.
type routedService struct {
	id         packet.ServiceID
	upstreams  []Upstream
	byID       map[packet.AgentID]int
	candidates []candidate // upstreams among which the first choice is made
	local      []candidate // candidates in the balancer's failure domain; nil without one
	traffic    *traffic
}

type candidate struct {
	seed     uint64
	upstream int
}

// NewRouter returns a router without a view. It drops packets until SetView is called.
func NewRouter(cfg RouterConfig) *Router {
	if cfg.Hints == 0 {
		cfg.Hints = defaultHints
	}
	return &Router{cfg: cfg, hints: newHintTable(cfg.Hints), traffic: make(map[packet.ServiceID]*traffic)}
}

// SetView replaces the router's view of the fleet.
func (r *Router) SetView(_ time.Duration, v *View) {
	r.services = make([]routedService, len(v.Services))
	r.endpoints = make(map[endpointKey]destination)
	position := make(map[packet.ServiceID]int, len(v.Services))
	for i := range v.Services {
		s := &v.Services[i]
		r.services[i] = r.prepareService(s)
		position[s.ID] = i
		if v.Routes != nil {
			continue
		}
		for _, e := range s.Endpoints {
			r.endpoints[keyOfEndpoint(e)] = destination{service: i}
		}
	}
	for i := range v.Routes {
		r.endpoints[keyOfEndpoint(v.Routes[i].Endpoint)] = newDestination(&v.Routes[i], position)
	}
}

func keyOfEndpoint(e Endpoint) endpointKey {
	return endpointKey{addr: e.Addr.Addr().As16(), port: e.Addr.Port(), proto: e.Proto}
}

func newDestination(r *Route, position map[packet.ServiceID]int) destination {
	d := destination{service: noService, class: r.Class}
	for _, t := range r.Targets {
		i, known := position[t.Service]
		if !known {
			i = noService
		}
		if len(r.Targets) == 1 {
			d.service = i
			return d
		}
		d.split = append(d.split, share{service: i, weight: uint64(max(t.Weight, 0))})
		d.total += uint64(max(t.Weight, 0))
	}
	return d
}

// choose returns the service of a flow without a usable hint, new or open, by its hash. A change of
// the weights can change the result.
func (d *destination) choose(hash uint64) int {
	if d.total == 0 {
		return d.service
	}
	at := hash % d.total
	for _, s := range d.split {
		if at < s.weight {
			return s.service
		}
		at -= s.weight
	}
	return noService
}

func (r *Router) prepareService(s *Service) routedService {
	upstreams := withStarting(s.Upstreams)
	out := routedService{id: s.ID, upstreams: upstreams, byID: make(map[packet.AgentID]int, len(upstreams))}
	for i := range upstreams {
		out.byID[upstreams[i].ID] = i
	}
	out.candidates = selectUpstreams(upstreams, State.Accepts)
	if len(out.candidates) == 0 {
		out.candidates = selectUpstreams(upstreams, func(s State) bool { return !s.Gone() })
	}
	out.traffic = r.trafficOf(s.ID)
	if r.cfg.FailureDomain != "" {
		out.local = localCandidates(upstreams, out.candidates, r.cfg.FailureDomain)
	}
	return out
}

func selectUpstreams(list []Upstream, include func(State) bool) []candidate {
	var out []candidate
	for i := range list {
		if include(list[i].State) {
			out = append(out, candidate{seed: seedOf(list[i].ID), upstream: i})
		}
	}
	return out
}

// Route decides where a packet goes. It does not allocate.
func (r *Router) Route(now time.Duration, in *packet.Info) Decision {
	d, found := r.destination(&in.Key)
	if !found {
		return Decision{Reason: ReasonNoService}
	}
	hash := in.Key.Hash()
	if s, u, h := r.hinted(now, &d, hash, in); u != nil {
		s.traffic.count(hash, in)
		return Decision{
			OK: true, Hinted: true, Expected: h.learned || h.placed,
			Service: s.id, Agent: u.ID, Addr: u.Addr, Class: d.class,
		}
	}
	i := d.choose(hash)
	if i == noService {
		return Decision{Reason: ReasonNoUpstream}
	}
	s := &r.services[i]
	s.traffic.count(hash, in)
	u := s.choice(hash, in, r.candidatesFor(s))
	if u == nil {
		return Decision{Reason: ReasonNoUpstream, Service: s.id}
	}
	if !r.cfg.LearnedOnly {
		r.record(now, hash, u, hint{opening: opensTCP(in), placed: in.First})
	}
	return Decision{OK: true, Service: s.id, Agent: u.ID, Addr: u.Addr, Class: d.class}
}

func (r *Router) destination(k *packet.Key) (destination, bool) {
	d, found := r.endpoints[endpointKey{addr: k.Dst, port: k.DstPort, proto: k.Proto}]
	return d, found
}

// HasHint reports whether the router has a usable hint for the packet's flow, from an agent or
// from its own decisions. It does not allocate.
func (r *Router) HasHint(now time.Duration, in *packet.Info) bool {
	d, found := r.destination(&in.Key)
	if !found {
		return false
	}
	_, u, _ := r.hinted(now, &d, in.Key.Hash(), in)
	return u != nil
}

// hinted returns the flow's hint and its upstream, if that can still hold the flow. The lookup is
// limited to the services of the packet's address, so that an old hint is never used after an
// address has moved to another service.
func (r *Router) hinted(now time.Duration, d *destination, hash uint64, in *packet.Info) (*routedService, *Upstream, *hint) {
	h := r.hints.find(hash)
	if h == nil || in.Repeat >= firstRedirectedCopy && !h.waiting {
		return nil, nil, nil
	}
	s, i := r.find(d, h.owner)
	if s == nil {
		return nil, nil, nil
	}
	u := &s.upstreams[i]
	if !u.mayStillHold(h.holder) || u.State == Leaving {
		return nil, nil, nil
	}
	// A SYN that this balancer sent to a failed upstream may have been lost there, and
	// another balancer may have placed its retransmission elsewhere.
	if u.State == Failed && (in.First || h.opening) {
		return nil, nil, nil
	}
	h.lastUsed = seconds(now)
	h.opening = h.opening && in.First
	return s, u, h
}

// find returns the service of the destination that contains the upstream, and the upstream's
// position in it, or nil.
func (r *Router) find(d *destination, owner packet.AgentID) (*routedService, int) {
	if d.split == nil {
		return r.findIn(d.service, owner)
	}
	for _, s := range d.split {
		if found, i := r.findIn(s.service, owner); found != nil {
			return found, i
		}
	}
	return nil, 0
}

func (r *Router) findIn(service int, owner packet.AgentID) (*routedService, int) {
	if service == noService {
		return nil, 0
	}
	s := &r.services[service]
	i, known := s.byID[owner]
	if !known {
		return nil, 0
	}
	return s, i
}

// firstRedirectedCopy is the number of the first copy of a SYN that goes to another upstream
// than the first choice, where it may open the flow a second time, unless the flow is known to wait
// at an agent. Copy 1 still goes to the first choice, because the original may have been lost on the
// way or may wait there.
const firstRedirectedCopy = 2

// choice returns the flow's first choice among the given candidates. For a late copy of a
// SYN it returns the next choice among all candidates, because the first choice has not
// answered.
func (s *routedService) choice(hash uint64, in *packet.Info, among []candidate) *Upstream {
	first := s.best(hash, among, nil)
	if in.Repeat < firstRedirectedCopy || len(s.candidates) < 2 {
		return first
	}
	return s.best(hash, s.candidates, first)
}

// best returns the highest-ranked candidate except one upstream, which may be nil.
func (s *routedService) best(hash uint64, among []candidate, except *Upstream) (found *Upstream) {
	var top uint64
	for _, c := range among {
		u := &s.upstreams[c.upstream]
		if v := score(hash, c.seed); u != except && (found == nil || v > top) {
			top, found = v, u
		}
	}
	return found
}

// Learn stores a hint sent by an agent. Hints for unknown service addresses or upstreams are
// ignored.
func (r *Router) Learn(now time.Duration, k *packet.Key, owner packet.AgentID) {
	r.learn(now, k, owner, hint{learned: true})
}

// LearnWaiting stores a hint that the flow waits for a slot at an agent. Late copies of its SYN go
// to this agent too instead of opening the flow a second time.
func (r *Router) LearnWaiting(now time.Duration, k *packet.Key, owner packet.AgentID) {
	r.learn(now, k, owner, hint{learned: true, waiting: true})
}

func (r *Router) learn(now time.Duration, k *packet.Key, owner packet.AgentID, h hint) {
	d, found := r.destination(k)
	if !found {
		return
	}
	if s, i := r.find(&d, owner); s != nil {
		r.record(now, k.Hash(), &s.upstreams[i], h)
	}
}

// record stores a hint that the upstream's agent owns the flow.
func (r *Router) record(now time.Duration, hash uint64, u *Upstream, h hint) {
	h.hash, h.owner, h.holder = hash, u.ID, u.holder()
	r.hints.put(now, h)
}
