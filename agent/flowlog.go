package agent

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// logFirstPacket logs the action on the first packet of a flow and the load that led to
// it. The caller holds flows.mu.
func (a *Agent) logFirstPacket(now time.Duration, t *flow.Table, in *packet.Info, h *packet.Header, action *flow.Action, waited time.Duration) {
	id, l := daemon.FlowID(&in.Key), t.Load()
	pairs := []any{"flow", id, "copy", in.Repeat, "hops", h.Hops, "state", t.State(),
		"busy", l.Busy, "opening", l.Opening, "slots", l.Slots, "waiting", t.Waiting(),
		"priority", h.Class.Priority(), "below", l.BusyBelow[h.Class.Priority()]}
	switch action.Kind {
	case flow.Deliver:
		a.log.LogFlow(event.FlowDelivered, append(pairs, "open", t.Open(), "waited", waited.Seconds(), "from", h.Origin)...)
	case flow.Forward:
		a.log.LogFlow(event.FlowForwarded, append(pairs, "to", action.Addr, "known", action.OwnerKnown, "waited", waited.Seconds())...)
	case flow.Wait:
		a.log.LogFlow(event.FlowHeld, pairs...)
	default:
		if action.Reason == flow.ReasonWaiting {
			return // a retransmission of a buffered first packet
		}
		a.log.LogFlow(event.FlowRefused, append(pairs, "reason", action.Reason, "reset", action.Kind == flow.Reset)...)
	}
}

// logUnownedPacket logs the action on a later packet of a flow if this agent neither owns
// the flow nor knows its owner. Actions on other packets are not logged.
func (a *Agent) logUnownedPacket(now time.Duration, t *flow.Table, in *packet.Info, h *packet.Header, action *flow.Action) {
	outcome := "dropped"
	switch {
	case action.Kind == flow.Deliver && action.Probe:
		outcome = "delivered as a probe"
	case action.Kind == flow.Forward && !action.OwnerKnown:
		outcome = "forwarded to another agent"
	case action.Kind == flow.Reset:
		a.logReset(now, t, &in.Key, action.Reason)
		return
	case action.Kind != flow.Drop:
		return
	}
	a.log.LogFlow(event.FlowUnknown, "flow", daemon.FlowID(&in.Key), "outcome", outcome, "to", action.Addr,
		"reason", action.Reason, "hops", h.Hops, "state", t.State(), "returned", in.Returned)
}

func (a *Agent) logReset(now time.Duration, t *flow.Table, k *packet.Key, reason flow.Reason) {
	peers, changed := t.Peers()
	a.log.LogFlow(event.FlowReset, "flow", daemon.FlowID(k), "reason", reason, "start", t.UpstreamStart(),
		"peers", peers, "peers_age", (now - changed).Seconds(), "silent", t.SilentPeers(now))
}

// logRefused logs the flows that were refused after a wait for a slot and returns those
// whose clients are to receive a reset.
func (a *Agent) logRefused(now time.Duration, t *flow.Table) (toReset []flow.LostFlow) {
	l := t.Load()
	for _, f := range t.RefusedFlows() {
		a.log.LogFlow(event.FlowRefused, "flow", daemon.FlowID(&f.Key), "reason", flow.ReasonRefused, "reset", f.Reset,
			"waited", f.Waited.Seconds(), "work", t.MeanProcessingTime().Seconds(),
			"busy", l.Busy, "opening", l.Opening, "slots", l.Slots, "waiting", t.Waiting())
		if f.Reset {
			toReset = append(toReset, flow.LostFlow{Key: f.Key})
		}
	}
	return toReset
}
