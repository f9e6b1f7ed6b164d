package route

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Kind says whether the requests of a route may be repeated.
type Kind uint8

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be repeated after any failure.
	Idempotent
	// Upload requests carry large bodies and run at most once.
	Upload
	// Download requests have large answers and may be repeated after any failure.
	Download
)

// MayRepeat reports whether requests of the kind may run more than once.
func (k Kind) MayRepeat() bool { return k == Idempotent || k == Download }

// Document is one version of the routes.
type Document struct {
	Version     int64
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration // after which a silent flow may be discarded; 0: not said
}

// Route is where the flows to one address go.
type Route struct {
	Name     string
	Endpoint flow.Endpoint
	Targets  []Target
	Kind     Kind
	Timeout  time.Duration // of one request
	Aim      time.Duration // latency objective of one request
	Priority int           // 0 is the highest
}

// Target is a service that receives a share of a route's new flows.
type Target struct {
	Service string
	Weight  int // share of the sum of the route's weights
}

// Service is what the document says of one service.
type Service struct {
	Name        string
	HealthPath  string
	Connections int // flows that one upstream holds
}

// Check reports the routes that cannot be used: those without an address or a target,
// and all but the first with the same address.
func (d *Document) Check(found *finding.List) {
	seen := make(map[flow.Endpoint]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		switch other, taken := seen[r.Endpoint]; {
		case !r.Endpoint.Addr.IsValid():
			found.Add(finding.Finding{Field: r.Name, Message: "the route has no address"})
		case taken:
			found.Add(finding.Finding{Field: r.Name, Message: "the route has the address of " + other})
		case len(r.Targets) == 0:
			found.Add(finding.Finding{Field: r.Name, Message: "the route names no service"})
		}
		seen[r.Endpoint] = r.Name
	}
}

// FlowRoutes returns the usable routes for a flow.View.
func (d *Document) FlowRoutes() []flow.Route {
	out := make([]flow.Route, 0, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if !r.Endpoint.Addr.IsValid() || len(r.Targets) == 0 {
			continue
		}
		f := flow.Route{Endpoint: r.Endpoint, Class: packet.NewClass(r.Priority, r.Aim, r.Kind.MayRepeat())}
		for _, t := range r.Targets {
			f.Targets = append(f.Targets, flow.Target{Service: packet.ServiceIDOf(t.Service), Weight: t.Weight})
		}
		out = append(out, f)
	}
	return out
}
