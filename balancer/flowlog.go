package balancer

import (
	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// logDecision logs the decision on the first packet of a flow, or the reset that answers a later
// one, with the version and age of the routes and the age of the view that it was based on.
func (b *Balancer) logDecision(in *packet.Info, d *flow.Decision, reset bool) {
	now := b.clock()
	id, copies := daemon.FlowID(&in.Key), in.Repeat
	version, age, viewAge := int64(0), 0.0, 0.0
	if b.routes != nil {
		version, age = b.routes.Version(), b.routes.Age().Seconds()
	}
	viewAge = (now - b.viewChangedAt()).Seconds()
	if !in.First {
		b.log.LogFlow(event.FlowUnrouted, "flow", id, "reason", d.Reason,
			"routes", version, "routes_age", age, "view_age", viewAge)
		return
	}
	if !d.OK {
		b.log.LogFlow(event.FlowNotPlaced, "flow", id, "copy", copies, "reason", d.Reason, "reset", reset,
			"routes", version, "routes_age", age, "view_age", viewAge)
		return
	}
	b.log.LogFlow(event.FlowPlaced, "flow", id, "copy", copies, "agent", d.Addr, "hinted", d.Hinted,
		"routes", version, "routes_age", age, "view_age", viewAge)
}
