package balancer

import (
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegtrack/nutmegtrack/evacuate"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/route"
)

const (
	// viewStableTime is how long the view must remain unchanged until a starting balancer
	// treats it as complete.
	viewStableTime = time.Second
	// routedViewStableTime replaces viewStableTime if the balancer uses routes. The view is
	// then complete sooner, because the membership records come from the store and the
	// services from the routes. The time is short because, while a restarted balancer
	// waits, the fabric may find too few balancers ready and then sends packets to unready
	// ones as well.
	routedViewStableTime = 200 * time.Millisecond
	// startTimeout is the maximum time that a starting balancer waits for a stable view.
	// Without it the first balancer of a deployment without upstreams would never
	// become ready. After it a balancer also becomes ready if it has not yet received all
	// membership records. It does not limit the wait for routes.
	startTimeout = 3 * time.Second
)

// installedView holds the view that is installed in the router and its inputs.
type installedView struct {
	mu         sync.Mutex
	view       *flow.View // never nil
	membership *flow.View // view of the membership table that view is based on
	incomplete bool       // upstreams may be missing in membership
	routes     *route.Document
	first      bool         // see daemon.Routes.First
	changedAt  atomic.Int64 // time of the last change, as time.Duration
}

// refreshView installs a new view in the router if the membership table, the routes or the
// evacuated domains have changed, and makes the health endpoint ready once mayBecomeReady allows it.
func (b *Balancer) refreshView() {
	b.installed.mu.Lock()
	defer b.installed.mu.Unlock()
	var members *flow.View
	now := time.Duration(0)
	var orders evacuate.Set
	var ordersSource netip.AddrPort
	incomplete := false
	b.members.Do(func(t time.Duration, n *member.Node) {
		now, members, incomplete = t, n.Table().View(), !n.Complete()
		orders, ordersSource = n.Evacuations(), n.EvacuationSource()
	})
	var routes *route.Document
	first := false
	if b.routes != nil {
		// In this order, so that the first document is not taken for a later one.
		routes, first = b.routes.Active(), b.routes.First()
	}
	ordersChanged := b.evacuated.set(now, orders)
	if ordersChanged {
		b.logOrders(orders, ordersSource)
	}
	changed := members != b.installed.membership || routes != b.installed.routes || ordersChanged
	if changed || incomplete != b.installed.incomplete || first != b.installed.first {
		view := withRoutes(b.evacuated.mark(members), routes)
		view.Incomplete, view.FirstRoutes = incomplete, first
		b.router.setView(view)
		b.installedRoutes.Store(routes)
		b.logChanges(b.installed.view, view)
		b.installed.view, b.installed.membership, b.installed.routes = view, members, routes
		b.installed.incomplete, b.installed.first = incomplete, first
	}
	if changed {
		b.installed.changedAt.Store(int64(now))
	}
	if b.mayBecomeReady(now) {
		b.health.start()
	}
}

// viewChangedAt returns the time of the last change of the view.
func (b *Balancer) viewChangedAt() time.Duration { return time.Duration(b.installed.changedAt.Load()) }

// withRoutes returns a copy of the membership table's view with the operators' routes added.
func withRoutes(members *flow.View, routes *route.Document) *flow.View {
	view := &flow.View{Services: members.Services}
	if routes != nil {
		view.Routes, view.WarmupRates = routes.FlowRoutes(), routes.WarmupRates()
	}
	return view
}

// mayBecomeReady reports whether a starting balancer can accept traffic: its view is stable
// or startTimeout has passed. A balancer that uses routes but has not read them yet would
// drop the packets.
func (b *Balancer) mayBecomeReady(now time.Duration) bool {
	wait := viewStableTime
	if b.routes != nil {
		if b.installed.routes == nil {
			return false
		}
		wait = routedViewStableTime
	}
	stable := len(b.installed.view.Services) > 0 && now-b.viewChangedAt() >= wait
	return stable || now >= startTimeout
}

// logChanges logs the upstreams whose state differs between two views. The services of
// both views must be sorted by name.
func (b *Balancer) logChanges(before, after *flow.View) {
	old := before.Services
	for i := range after.Services {
		s := &after.Services[i]
		for len(old) > 0 && old[0].Name < s.Name {
			b.logService(&old[0], nil)
			old = old[1:]
		}
		if len(old) > 0 && old[0].Name == s.Name {
			b.logService(&old[0], s)
			old = old[1:]
		} else {
			b.logService(nil, s)
		}
	}
	for i := range old {
		b.logService(&old[i], nil)
	}
}

// logService logs the changed upstream states of one service. A nil argument means that
// the view does not contain the service.
func (b *Balancer) logService(before, after *flow.Service) {
	if before != nil && after != nil && sameUpstreams(before.Upstreams, after.Upstreams) {
		return
	}
	states := make(map[string]flow.State)
	if before != nil {
		for i := range before.Upstreams {
			states[before.Upstreams[i].Name] = before.Upstreams[i].State
		}
	}
	if after != nil {
		for i := range after.Upstreams {
			u := &after.Upstreams[i]
			if old, known := states[u.Name]; !known || old != u.State {
				was := "unknown"
				if known {
					was = old.String()
				}
				b.log.Log(event.StateChanged, "upstream", u.Name, "service", after.Name, "state", u.State, "was", was)
			}
			delete(states, u.Name)
		}
	}
	for name := range states {
		b.log.Log(event.StateChanged, "upstream", name, "service", before.Name, "state", "removed")
	}
}

// sameUpstreams reports whether the lists of upstreams of two views share their memory.
// The membership table creates a new list for a service only if one of its upstreams
// has changed. Without this shortcut each change would compare all 48,000 upstreams of
// the target scale.
func sameUpstreams(a, b []flow.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// logVerdicts logs the claims that this balancer has made and the processes that it has marked as
// failed since the last step.
func (b *Balancer) logVerdicts() {
	var verdicts []member.Verdict
	dropped := 0
	b.members.Do(func(_ time.Duration, n *member.Node) { verdicts, dropped = n.TakeVerdicts() })
	for i := range verdicts {
		v := &verdicts[i]
		definition, peer := event.FailureClaimed, "arbiter"
		if v.Marked {
			definition, peer = event.MarkedFailed, "claimed_by"
		}
		silent := "unknown"
		if v.Silent >= 0 {
			silent = strconv.FormatFloat(v.Silent.Seconds(), 'f', 3, 64)
		}
		b.log.Log(definition, "process", v.Name, "service", v.Service, "state", v.State,
			"observers", strings.Join(v.Observers, " "), peer, v.Peer, "silent_seconds", silent)
	}
	if dropped > 0 {
		b.log.Log(event.FailureClaimed, "dropped", dropped)
	}
}

// logReachability logs the balancers that have become reachable or unreachable since the last step.
func (b *Balancer) logReachability() {
	var changes []member.Reachability
	b.members.Do(func(_ time.Duration, n *member.Node) { changes = n.TakeReachability() })
	for _, c := range changes {
		b.log.Log(event.ReachabilityChanged, "balancer", c.Control, "reachable", c.Reachable)
	}
}
