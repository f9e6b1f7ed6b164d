package flow

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// RouterConfig configures a Router. A zero field takes its default.
type RouterConfig struct {
	// Hints is the capacity of the hint table in flows; 24 bytes each.
	// Default 524288. Negative: no hints.
	Hints int
	// LearnedOnly keeps only hints sent by agents. By default the router also
	// remembers its own decisions, so that a change of the fleet causes no
	// detour for flows that the router has carried before.
	LearnedOnly bool
}

const defaultHints = 1 << 19

// Decision is where a balancer sends a packet. OK is false for a packet to drop.
type Decision struct {
	OK      bool
	Hinted  bool // the flow's hint was used, not the ranking
	Reason  Reason
	Service packet.ServiceID
	Agent   packet.AgentID
	Addr    netip.AddrPort
}

// Router is the balancer's side of placement. It is not safe for concurrent use.
type Router struct {
	cfg       RouterConfig
	hints     hintTable
	services  []routedService
	endpoints map[endpointKey]int
}

// endpointKey is a service address in the form that a packet's key has.
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
	candidates []candidate // upstreams that may be a first choice
}

type candidate struct {
	seed     uint64
	upstream int
}

// NewRouter returns a router without a view; it drops packets until SetView.
func NewRouter(cfg RouterConfig) *Router {
	if cfg.Hints == 0 {
		cfg.Hints = defaultHints
	}
	return &Router{cfg: cfg, hints: newHintTable(cfg.Hints)}
}

// SetView replaces the fleet as the router knows it.
func (r *Router) SetView(_ time.Duration, v *View) {
	r.services = make([]routedService, len(v.Services))
	r.endpoints = make(map[endpointKey]int)
	for i := range v.Services {
		s := &v.Services[i]
		r.services[i] = prepareService(s)
		for _, e := range s.Endpoints {
			k := endpointKey{addr: e.Addr.Addr().As16(), port: e.Addr.Port(), proto: e.Proto}
			r.endpoints[k] = i
		}
	}
}

func prepareService(s *Service) routedService {
	out := routedService{id: s.ID, upstreams: s.Upstreams, byID: make(map[packet.AgentID]int, len(s.Upstreams))}
	for i := range s.Upstreams {
		out.byID[s.Upstreams[i].ID] = i
	}
	out.candidates = selectUpstreams(s.Upstreams, State.Accepts)
	if len(out.candidates) == 0 {
		out.candidates = selectUpstreams(s.Upstreams, func(s State) bool { return !s.Gone() })
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
	k := endpointKey{addr: in.Key.Dst, port: in.Key.DstPort, proto: in.Key.Proto}
	i, found := r.endpoints[k]
	if !found {
		return Decision{Reason: ReasonNoService}
	}
	s := &r.services[i]
	hash := in.Key.Hash()
	if u := r.hinted(now, s, hash, in); u != nil {
		return Decision{OK: true, Hinted: true, Service: s.id, Agent: u.ID, Addr: u.Addr}
	}
	u := s.firstChoice(hash)
	if u == nil {
		return Decision{Reason: ReasonNoUpstream, Service: s.id}
	}
	if !r.cfg.LearnedOnly {
		r.remember(now, hash, u, hint{opening: opensTCP(in)})
	}
	return Decision{OK: true, Service: s.id, Agent: u.ID, Addr: u.Addr}
}

// Knows reports whether the router has carried the packet's flow or has a hint for
// it. It does not allocate.
func (r *Router) Knows(now time.Duration, in *packet.Info) bool {
	i, found := r.endpoints[endpointKey{addr: in.Key.Dst, port: in.Key.DstPort, proto: in.Key.Proto}]
	return found && r.hinted(now, &r.services[i], in.Key.Hash(), in) != nil
}

// hinted returns the upstream that the flow's hint names if it can still hold
// the flow. The lookup is limited to the packet's own service, so that an address
// that moved to another service never follows an old hint.
func (r *Router) hinted(now time.Duration, s *routedService, hash uint64, in *packet.Info) *Upstream {
	h := r.hints.find(hash)
	if h == nil {
		return nil
	}
	i, found := s.byID[h.owner]
	if !found {
		return nil
	}
	u := &s.upstreams[i]
	if uint32(u.Incarnation) != h.incarnation || u.State == Leaving {
		return nil
	}
	// A SYN that this balancer sent to a failed upstream may have been lost there,
	// and another balancer may have placed its repetition elsewhere.
	if u.State == Failed && (in.First || h.opening) {
		return nil
	}
	h.used = seconds(now)
	h.opening = h.opening && in.First
	return u
}

func (s *routedService) firstChoice(hash uint64) *Upstream {
	var best uint64
	var u *Upstream
	for _, c := range s.candidates {
		if v := score(hash, c.seed); u == nil || v > best {
			best, u = v, &s.upstreams[c.upstream]
		}
	}
	return u
}

// Learn records a hint that an agent sent. A hint for an unknown service address
// or upstream is ignored.
func (r *Router) Learn(now time.Duration, k *packet.Key, owner packet.AgentID) {
	i, found := r.endpoints[endpointKey{addr: k.Dst, port: k.DstPort, proto: k.Proto}]
	if !found {
		return
	}
	s := &r.services[i]
	if j, known := s.byID[owner]; known {
		r.remember(now, k.Hash(), &s.upstreams[j], hint{learned: true})
	}
}

// remember stores a hint that names the upstream.
func (r *Router) remember(now time.Duration, hash uint64, u *Upstream, h hint) {
	h.hash, h.owner, h.incarnation = hash, u.ID, uint32(u.Incarnation)
	r.hints.put(now, h)
}
