package flow

import (
	"math"
	"net/netip"
	"slices"
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
	// Shared says that upstreams of other services may hold the flow: it is open, and the services of its
	// address have changed during its life.
	Shared bool
	// Copies are the agents of other services to which the packet is to be sent too. Unused entries
	// are zero.
	Copies [maxCopies]Copy
}

// Router is the balancer side of flow placement. It is not safe for concurrent use.
type Router struct {
	cfg       RouterConfig
	hints     hintTable
	traffic   map[packet.ServiceID]*traffic
	services  []routedService
	endpoints map[endpointKey]destination
	history   map[endpointKey]*addressHistory // of the addresses of routes
	balancers int                             // number of live balancers
}

// destination says where the flows to one address go: to one service, or to several by
// weight. A service is given by its position in the view, or noService if none of its
// upstreams is known.
type destination struct {
	service int
	split   []share // nil for a single service
	total   uint64
	class   packet.Class
	// others are services that may hold open flows though no new ones go there. Until sharedUntil, an
	// open flow without a hint may be held by any of the services.
	others      []possibleService
	sharedUntil time.Duration
	// doubtUntil is the time until which a flow that was opened before this router has started may be held by a service
	// that neither the routes nor an upstream names.
	doubtUntil time.Duration
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
	id        packet.ServiceID
	upstreams []Upstream
	byID      map[packet.AgentID]int
	open      candidates // for packets of open flows
	fresh     candidates // for SYNs: the same without evacuated upstreams
	evacuated bool       // all upstreams that are not gone are evacuated
	traffic   *traffic
	// warmupRate is the number of requests a second that a cold upstream may be given; 0: no limit.
	warmupRate float64
	cold       bool // one of fresh is cold and the service has a rate
}

// candidates are the upstreams among which the first choice is made.
type candidates struct {
	all   []candidate
	local []candidate // those in the balancer's failure domain; nil without one
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
	return &Router{cfg: cfg, hints: newHintTable(cfg.Hints), traffic: make(map[packet.ServiceID]*traffic), balancers: 1, history: make(map[endpointKey]*addressHistory)}
}

// SetView replaces the router's view of the fleet.
func (r *Router) SetView(now time.Duration, v *View) {
	r.services = make([]routedService, len(v.Services))
	r.endpoints = make(map[endpointKey]destination)
	position := make(map[packet.ServiceID]int, len(v.Services))
	announced := make(map[endpointKey][]int) // services by the addresses that their upstreams announce
	var uncertain []int                      // services whose upstreams may hold flows of further addresses
	for i := range v.Services {
		s := &v.Services[i]
		r.services[i] = r.prepareService(s)
		if rate := v.WarmupRates[s.ID]; rate > 0 {
			r.services[i].warmupRate, r.services[i].cold = rate, r.services[i].anyCold()
		}
		position[s.ID] = i
		for _, e := range s.Endpoints {
			if e == AnyEndpoint {
				uncertain = append(uncertain, i)
				continue
			}
			announced[keyOfEndpoint(e)] = append(announced[keyOfEndpoint(e)], i)
		}
	}
	if v.Routes == nil {
		r.setAnnounced(announced, uncertain, v.Incomplete)
		return
	}
	r.noteRoutes(now, v.Routes)
	if v.FirstRoutes {
		for _, h := range r.history {
			h.unknownUntil = 0
		}
	}
	for i := range v.Routes {
		key := keyOfEndpoint(v.Routes[i].Endpoint)
		d := newDestination(&v.Routes[i], position)
		h := r.history[key]
		r.addFormer(&d, h, position)
		r.addPossible(&d, announced[key], uncertain, v.Incomplete, h.unknownUntil)
		r.endpoints[key] = d
	}
}

// setAnnounced sets the destinations of the addresses that upstreams announce. The upstreams of several
// services may hold flows of one address if the routes, which could not be read yet, have changed.
func (r *Router) setAnnounced(announced map[endpointKey][]int, uncertain []int, incomplete bool) {
	for key, services := range announced {
		d := destination{service: services[len(services)-1]}
		r.addPossible(&d, services, uncertain, incomplete, forever)
		r.endpoints[key] = d
	}
}

const forever = time.Duration(math.MaxInt64)

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
	out.open = r.candidatesAmong(upstreams, func(*Upstream) bool { return true })
	out.fresh = out.open
	if slices.ContainsFunc(upstreams, func(u Upstream) bool { return u.Evacuated }) {
		out.fresh = r.candidatesAmong(upstreams, func(u *Upstream) bool { return !u.Evacuated })
		out.evacuated = len(out.fresh.all) == 0 && len(out.open.all) > 0
	}
	if len(out.open.all) == 0 {
		// Upstreams that are marked as failed may hold open flows.
		out.open.all = selectUpstreams(upstreams, func(u *Upstream) bool { return u.State != Leaving })
	}
	out.traffic = r.trafficOf(s.ID)
	return out
}

// candidatesAmong returns the included upstreams that accept flows or, without any, those that are not gone.
func (r *Router) candidatesAmong(list []Upstream, include func(*Upstream) bool) (out candidates) {
	out.all = selectUpstreams(list, func(u *Upstream) bool { return u.State.Accepts() && include(u) })
	if len(out.all) == 0 {
		out.all = selectUpstreams(list, func(u *Upstream) bool { return !u.State.Gone() && include(u) })
	}
	if r.cfg.FailureDomain != "" {
		out.local = localCandidates(list, out.all, r.cfg.FailureDomain)
	}
	return out
}

func selectUpstreams(list []Upstream, include func(*Upstream) bool) []candidate {
	var out []candidate
	for i := range list {
		if include(&list[i]) {
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
	shared := !in.First && now < max(d.sharedUntil, d.doubtUntil)
	if s, u, h := r.hinted(now, &d, hash, in); u != nil {
		s.traffic.count(hash, in)
		if h.placed { // by routes that this router has seen
			shared = !in.First && now < d.sharedUntil
		}
		out := Decision{
			OK: true, Hinted: true, Expected: h.learned || h.placed, Shared: shared || !d.isTarget(r, s),
			Service: s.id, Agent: u.ID, Addr: u.Addr, Class: d.class,
		}
		// An assumed hint shows only which service the routes named when the flow was opened or last routed.
		if shared && !h.learned {
			r.addCopies(now, &out, &d, hash, in)
		}
		return out
	}
	out := r.place(now, &d, hash, in, shared)
	if shared {
		r.addCopies(now, &out, &d, hash, in)
	}
	return out
}

// place decides on a packet without a usable hint by the newest routes. For a flow that another service
// may hold it records no hint: only a hint of the owner tells in which one it is.
func (r *Router) place(now time.Duration, d *destination, hash uint64, in *packet.Info, shared bool) Decision {
	i := d.choose(hash)
	if i == noService {
		return Decision{Reason: ReasonNoUpstream}
	}
	s := &r.services[i]
	s.traffic.count(hash, in)
	if s.evacuated && opensTCP(in) {
		return Decision{Reason: ReasonEvacuated}
	}
	if s.warmupRate > 0 && in.First && in.Repeat == 0 {
		s.traffic.arrivals.note(now)
	}
	var u *Upstream
	if s.cold && opensTCP(in) {
		u = r.newFlowChoice(now, s, hash, in)
	} else {
		u = r.choice(s, hash, in)
	}
	if u == nil {
		return Decision{Reason: ReasonNoUpstream, Service: s.id}
	}
	if !r.cfg.LearnedOnly && !shared {
		r.record(now, hash, u, hint{opening: opensTCP(in), placed: in.First})
	}
	return Decision{OK: true, Service: s.id, Agent: u.ID, Addr: u.Addr, Class: d.class, Shared: shared}
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
// limited to the services of the packet's address: for a first packet those to which new flows go, and
// for other packets also those that its routes named before.
func (r *Router) hinted(now time.Duration, d *destination, hash uint64, in *packet.Info) (*routedService, *Upstream, *hint) {
	h := r.hints.find(hash)
	if h == nil || in.Repeat >= firstRedirectedCopy && !h.waiting {
		return nil, nil, nil
	}
	s, i := r.find(d, h.owner)
	if s == nil && !in.First {
		s, i = r.findOther(d, h.owner)
	}
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
	// A SYN may open a flow there. A packet of another protocol than TCP may belong to an open flow.
	if u.Evacuated && opensTCP(in) {
		return nil, nil, nil
	}
	h.lastUsed = seconds(now)
	h.opening = h.opening && in.First
	return s, u, h
}

// findOther is find for the services to which no new flows go.
func (r *Router) findOther(d *destination, owner packet.AgentID) (*routedService, int) {
	for _, o := range d.others {
		if found, i := r.findIn(o.service, owner); found != nil {
			return found, i
		}
	}
	return nil, 0
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

// choice returns the flow's first choice in a service. For a late copy of a SYN it returns the next
// choice among all candidates, because the first choice has not answered.
func (r *Router) choice(s *routedService, hash uint64, in *packet.Info) *Upstream {
	// Each packet of another protocol than TCP counts as a first one. It goes where the open flows are looked
	// for, and an evacuated agent there hands new ones off.
	among := &s.open
	if opensTCP(in) {
		among = &s.fresh
	}
	first := s.best(hash, r.preferred(s, among), nil)
	if in.Repeat < firstRedirectedCopy || len(among.all) < 2 {
		return first
	}
	return s.best(hash, among.all, first)
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
	s, i := r.find(&d, owner)
	if s == nil {
		s, i = r.findOther(&d, owner)
	}
	if s != nil {
		r.record(now, k.Hash(), &s.upstreams[i], h)
	}
}

// record stores a hint that the upstream's agent owns the flow.
func (r *Router) record(now time.Duration, hash uint64, u *Upstream, h hint) {
	h.hash, h.owner, h.holder = hash, u.ID, u.holder()
	r.hints.put(now, h)
}
