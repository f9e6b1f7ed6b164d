package balancer

import (
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

const (
	// viewQuiet is the time without a change of the view after which a starting
	// balancer counts it as complete.
	viewQuiet = time.Second
	// startLimit ends the wait for a complete view, so that the first balancer of
	// a deployment without upstreams becomes ready too.
	startLimit = 3 * time.Second
)

// fleet is the view as the router has it.
type fleet struct {
	mu      sync.Mutex
	view    *flow.View
	changed time.Duration
	states  map[string]flow.State // by upstream name, to log changes
}

// refreshView installs the membership table's view when it has changed.
func (b *Balancer) refreshView() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	var view *flow.View
	now := time.Duration(0)
	b.members.Do(func(t time.Duration, n *member.Node) { now, view = t, n.Table().View() })
	if view != b.fleet.view {
		b.router.setView(view)
		b.logChanges(view)
		b.fleet.view, b.fleet.changed = view, now
	}
	quiet := len(view.Services) > 0 && now-b.fleet.changed >= viewQuiet
	if quiet || now >= startLimit {
		b.health.start()
	}
}

// logChanges logs the upstreams whose state differs from the last view.
func (b *Balancer) logChanges(view *flow.View) {
	states := make(map[string]flow.State)
	for i := range view.Services {
		s := &view.Services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			states[u.Name] = u.State
			if old, known := b.fleet.states[u.Name]; !known || old != u.State {
				b.log.Log(event.StateChanged, "upstream", u.Name, "service", s.Name, "state", u.State)
			}
		}
	}
	for name := range b.fleet.states {
		if _, known := states[name]; !known {
			b.log.Log(event.StateChanged, "upstream", name, "state", "removed")
		}
	}
	b.fleet.states = states
}
