package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Routes say where new flows go. An open flow stays at its upstream when a newer version gives its
// address another service or other weights, so the services that may hold the open flows of an
// address are those of all versions that were in force during the life of a flow. A router knows
// the versions since its own start and, of earlier ones, the services whose upstreams announce that
// they hold flows of the address (Service.Endpoints). An upstream whose agent does not know all of its
// flows (AnyEndpoint), or that a router does not know yet, may hold flows of any address.

// MaxFlowAge is the age from which a flow may be discarded: the platform's flow-ttl-s.
const MaxFlowAge = time.Minute

const (
	// maxFormerServices limits the earlier services that are known of an address.
	maxFormerServices = 4
	// maxCopies limits the further services to which a packet of an open flow is sent.
	maxCopies = 3
	// maxUncertainProbes is the number of copies beyond which a service that is only suspected to hold the flow is not
	// asked to probe: each service makes a probe of its own, and three strays of a flow count as misrouted.
	maxUncertainProbes = 1
)

// addressHistory is what a router knows of the services of one address.
type addressHistory struct {
	targets []Target // of the newest routes; nil if they do not contain the address
	changed time.Duration
	// unknownUntil is the time until which a flow may be open by routes that this router has not seen.
	unknownUntil time.Duration
	former       []formerService // services of earlier routes, the latest last
}

// formerService is a service that an earlier version of an address's route named.
type formerService struct {
	id packet.ServiceID
	// until is the time until which flows that were opened by that version count as open.
	until time.Duration
}

// replace records the targets of newer routes.
func (h *addressHistory) replace(now time.Duration, targets []Target) {
	for _, t := range h.targets {
		h.former = slices.DeleteFunc(h.former, func(f formerService) bool { return f.id == t.Service })
		h.former = append(h.former, formerService{id: t.Service, until: now + MaxFlowAge})
	}
	if excess := len(h.former) - maxFormerServices; excess > 0 {
		h.former = slices.Delete(h.former, 0, excess)
	}
	h.targets, h.changed = targets, now
}

// noteRoutes updates the histories of all addresses.
func (r *Router) noteRoutes(now time.Duration, routes []Route) {
	before := len(r.history) > 0
	present := make(map[endpointKey]bool, len(routes))
	for i := range routes {
		key := keyOfEndpoint(routes[i].Endpoint)
		present[key] = true
		h := r.history[key]
		switch {
		case h == nil:
			h = &addressHistory{targets: routes[i].Targets}
			if !before {
				h.unknownUntil = now + MaxFlowAge
			}
			r.history[key] = h
		case !slices.Equal(h.targets, routes[i].Targets):
			h.replace(now, routes[i].Targets)
		}
	}
	for key, h := range r.history {
		if present[key] {
			continue
		}
		if h.targets != nil {
			h.replace(now, nil)
		} else if now-h.changed >= MaxFlowAge {
			delete(r.history, key)
		}
	}
}

// possibleService is a service, besides the targets of the newest routes, that may hold open flows of an
// address, as its position in the view or noService.
type possibleService struct {
	service int
	until   time.Duration // until then, also flows without a hint may be there
	// uncertain says that neither a version of the routes nor an upstream names the service for the address.
	uncertain bool
}

// addFormer adds the services of earlier routes to a destination.
func (r *Router) addFormer(d *destination, h *addressHistory, position map[packet.ServiceID]int) {
	for _, f := range h.former {
		i, known := position[f.id]
		if !known {
			i = noService
		}
		d.addOther(r.services, possibleService{service: i, until: f.until})
	}
}

// addPossible adds the services that may hold flows which were opened by routes that this router has not seen, until
// such flows have ended: announced are those whose upstreams announce the address, and uncertain those whose agents do
// not know all addresses of their flows. If services may be missing, packets are only marked as shared.
func (r *Router) addPossible(d *destination, announced, uncertain []int, incomplete bool, until time.Duration) {
	for _, i := range announced {
		d.addOther(r.services, possibleService{service: i, until: until})
	}
	for _, i := range uncertain {
		d.addOther(r.services, possibleService{service: i, until: until, uncertain: true})
	}
	if len(d.split) > 1 {
		d.sharedUntil = max(d.sharedUntil, until)
	}
	if incomplete {
		d.doubtUntil = max(d.doubtUntil, until)
	}
}

// addOther adds a service to a destination. A service whose upstreams have all announced that they
// have ended their flows holds none.
func (d *destination) addOther(services []routedService, o possibleService) {
	service := o.service
	if service != noService && !services[service].mayHoldFlows() {
		return
	}
	target := service == d.service && d.split == nil ||
		slices.ContainsFunc(d.split, func(s share) bool { return s.service == service })
	known := slices.ContainsFunc(d.others, func(o possibleService) bool { return o.service == service })
	if !target && !known {
		d.others = append(d.others, o)
	}
	switch {
	case o.uncertain && !target && !known:
		d.doubtUntil = max(d.doubtUntil, o.until)
	case !target || d.split != nil:
		d.sharedUntil = max(d.sharedUntil, o.until)
	}
}

// mayHoldFlows reports whether any upstream of the service may hold flows.
func (s *routedService) mayHoldFlows() bool {
	return slices.ContainsFunc(s.upstreams, func(u Upstream) bool { return u.State != Leaving })
}

// isTarget reports whether the newest routes name the service for the address.
func (d *destination) isTarget(r *Router, s *routedService) bool {
	if d.split == nil {
		return d.service != noService && &r.services[d.service] == s
	}
	return slices.ContainsFunc(d.split, func(t share) bool { return t.service != noService && &r.services[t.service] == s })
}

// Copy is a further destination of a packet of an open flow that no agent has sent a hint about.
type Copy struct {
	Service packet.ServiceID
	Agent   packet.AgentID
	Addr    netip.AddrPort
	// Tried is the copy's packet.Header.Tried. With maxTried no upstream is probed, and only an agent that knows the
	// flow delivers the copy.
	Tried uint8
}

// addCopies adds the first choices of the other services that may hold the flow to a decision. If there
// is no decision yet, the first of them becomes the decision.
func (r *Router) addCopies(now time.Duration, out *Decision, d *destination, hash uint64, in *packet.Info) {
	n := 0
	add := func(service int, uncertain bool) {
		if service == noService || n == maxCopies {
			return
		}
		s := &r.services[service]
		u := r.choice(s, hash, in)
		switch {
		case u == nil || out.OK && s.id == out.Service:
		case !out.OK:
			*out = Decision{OK: true, Shared: true, Service: s.id, Agent: u.ID, Addr: u.Addr, Class: d.class}
		default:
			out.Copies[n] = Copy{Service: s.id, Agent: u.ID, Addr: u.Addr}
			if uncertain && n >= maxUncertainProbes {
				out.Copies[n].Tried = maxTried
			}
			n++
		}
	}
	for _, s := range d.split {
		add(s.service, false)
	}
	if d.split == nil {
		add(d.service, false)
	}
	for _, o := range d.others {
		if now < o.until {
			add(o.service, o.uncertain)
		}
	}
}
