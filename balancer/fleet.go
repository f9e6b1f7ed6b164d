package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/route"
)

const (
	// viewQuiet is the time without a change of the view after which a starting
	// balancer counts it as complete.
	viewQuiet = time.Second
	// routedQuiet is the same time for a balancer whose store lists the fleet and whose
	// routes say which services there are. While it waits, the fabric may find too few
	// balancers ready and send to those that are down as well.
	routedQuiet = 200 * time.Millisecond
	// startLimit ends the wait for a complete view, so that the first balancer of
	// a deployment without upstreams becomes ready too.
	startLimit = 3 * time.Second
)

// fleet is the view as the router has it.
type fleet struct {
	mu      sync.Mutex
	view    *flow.View // never nil
	members *flow.View // as the membership showed it
	routes  *route.Document
	changed atomic.Int64 // time.Duration
}

// refreshView installs the membership table's view when it has changed.
func (b *Balancer) refreshView() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	var members *flow.View
	now := time.Duration(0)
	b.members.Do(func(t time.Duration, n *member.Node) { now, members = t, n.Table().View() })
	var routes *route.Document
	if b.routes != nil {
		routes = b.routes.Active()
	}
	if members != b.fleet.members || routes != b.fleet.routes {
		view := withRoutes(members, routes)
		b.router.setView(view)
		b.routed.Store(routes)
		b.logChanges(b.fleet.view, view)
		b.fleet.view = view
		b.fleet.changed.Store(int64(now))
		b.fleet.members, b.fleet.routes = members, routes
	}
	if b.viewComplete(now) {
		b.health.start()
	}
}

// viewChanged returns the time of the last change of the view.
func (b *Balancer) viewChanged() time.Duration { return time.Duration(b.fleet.changed.Load()) }

// withRoutes returns the view of the membership with the operators' routes.
func withRoutes(members *flow.View, routes *route.Document) *flow.View {
	if routes == nil {
		return members
	}
	return &flow.View{Services: members.Services, Routes: routes.FlowRoutes()}
}

// viewComplete reports whether a starting balancer may take traffic. Without routes
// it could only drop packets.
func (b *Balancer) viewComplete(now time.Duration) bool {
	wait := viewQuiet
	if b.routes != nil {
		if b.fleet.routes == nil {
			return false
		}
		wait = routedQuiet
	}
	quiet := len(b.fleet.view.Services) > 0 && now-b.viewChanged() >= wait
	return quiet || now >= startLimit
}

// logChanges logs the upstreams whose state differs between two views. Services are
// ordered by name in both.
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

// logService logs the changes of one service; nil stands for a service that a view
// does not have.
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
				b.log.Log(event.StateChanged, "upstream", u.Name, "service", after.Name, "state", u.State)
			}
			delete(states, u.Name)
		}
	}
	for name := range states {
		b.log.Log(event.StateChanged, "upstream", name, "service", before.Name, "state", "removed")
	}
}

// sameUpstreams reports whether two views share a service's list, which the
// membership table builds anew only after a change. Without this, a change among
// 48,000 upstreams would compare all of them.
func sameUpstreams(a, b []flow.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
