package route

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Kind is the kind of a route's requests. It determines whether they may be repeated.
type Kind uint8

const (
	// NonIdempotent requests are run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be repeated after any failure.
	Idempotent
	// Upload requests have large bodies and are run at most once.
	Upload
	// Download requests have large responses and may be repeated after any failure.
	Download
)

// MayRepeat reports whether requests of this kind may be run more than once.
func (k Kind) MayRepeat() bool { return k == Idempotent || k == Download }

// Document is one version of the routes.
type Document struct {
	Version     int64
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration // time after which an idle flow may be discarded; 0 if not set
	// Incomplete says that the document has a route that cannot be used, so that an address
	// without a usable route may have one.
	Incomplete bool
}

// Route defines the services that receive the flows to one address.
type Route struct {
	Name             string
	Endpoint         flow.Endpoint
	Targets          []Target
	Kind             Kind
	Timeout          time.Duration // timeout of a request
	LatencyObjective time.Duration // latency objective of a request
	Priority         int           // 0 is the highest
}

// Target is a service that receives a share of a route's new flows.
type Target struct {
	Service string
	Weight  int // relative to the sum of the route's weights
}

// Service holds the settings of one service.
type Service struct {
	Name        string
	HealthPath  string
	Connections int // maximum number of flows of one upstream
	// Warmup is how long an upstream stays cold after its start; 0 if unknown. Meanwhile it may be given
	// WarmupRate requests a second; 0 means no limit.
	Warmup     time.Duration
	WarmupRate float64
}

// Check adds a finding for each route that has no address, no target, or the address of
// an earlier route.
func (d *Document) Check(found *finding.List) {
	seen := make(map[flow.Endpoint]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		switch other, taken := seen[r.Endpoint]; {
		case !r.Endpoint.Addr.IsValid():
			found.Add(finding.Finding{Field: r.Name, Message: "route has no address"})
		case taken:
			found.Add(finding.Finding{Field: r.Name, Message: "route has the same address as " + other})
		case len(r.Targets) == 0:
			found.Add(finding.Finding{Field: r.Name, Message: "route has no target service"})
		}
		seen[r.Endpoint] = r.Name
	}
}

// WarmupRates returns the rates of cold upstreams in the form used by flow.View; nil if no service has one.
func (d *Document) WarmupRates() (out map[packet.ServiceID]float64) {
	for i := range d.Services {
		if s := &d.Services[i]; s.WarmupRate > 0 {
			if out == nil {
				out = make(map[packet.ServiceID]float64)
			}
			out[packet.ServiceIDOf(s.Name)] = s.WarmupRate
		}
	}
	return out
}

// FlowRoutes returns the routes in the form used by flow.View. It omits routes without an
// address or a target.
func (d *Document) FlowRoutes() []flow.Route {
	out := make([]flow.Route, 0, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if !r.Endpoint.Addr.IsValid() || len(r.Targets) == 0 {
			continue
		}
		f := flow.Route{Endpoint: r.Endpoint, Class: packet.NewClass(r.Priority, r.LatencyObjective, r.Kind.MayRepeat())}
		for _, t := range r.Targets {
			f.Targets = append(f.Targets, flow.Target{Service: packet.ServiceIDOf(t.Service), Weight: t.Weight})
		}
		out = append(out, f)
	}
	return out
}
