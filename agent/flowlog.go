package agent

import (
	"fmt"
	"strings"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/upstream"
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
		pairs = append(pairs, "to", action.Addr, "known", action.OwnerKnown, "waited", waited.Seconds())
		if action.Reason != flow.ReasonNone {
			pairs = append(pairs, "reason", action.Reason)
		}
		a.log.LogFlow(event.FlowForwarded, pairs...)
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
	case action.Kind == flow.Forward && in.Returned:
		outcome = "returned by the upstream and forwarded"
	case action.Kind == flow.Forward && !action.OwnerKnown:
		outcome = "forwarded to another agent"
	case action.Kind == flow.Reset:
		a.logRecordedReset(now, t, &in.Key)
		return
	case action.Kind != flow.Drop:
		return
	case in.Returned:
		outcome = "returned by the upstream and dropped"
	}
	a.log.LogFlow(event.FlowUnknown, "flow", daemon.FlowID(&in.Key), "outcome", outcome, "to", action.Addr, "known", action.OwnerKnown,
		"reason", action.Reason, "hops", h.Hops, "tried", h.Tried, "state", t.State(), "complete", t.Completeness(now))
}

// logRemoved logs that a flow which its ends have not closed has left the table.
func (a *Agent) logRemoved(f *flow.RemovedFlow) {
	pairs := []any{"flow", daemon.FlowID(&f.Key), "cause", f.Cause, "age", f.Age.Seconds(), "idle", f.Idle.Seconds(),
		"handshake", f.Handshake, "closing", f.Closing}
	if in := f.Packet; in != nil {
		pairs = append(pairs, "copy", in.Repeat, "seq", in.Seq, "ack", in.Ack)
	}
	// Flows that have not opened leave the table all the time: copies of SYNs, and SYNs that a full upstream returns.
	if f.Opened {
		a.log.LogFlowEnd(event.FlowRemoved, pairs...)
		return
	}
	a.log.LogFlow(event.FlowRemoved, pairs...)
}

// logFalseDenial logs that this agent has denied a flow that its upstream holds.
func (a *Agent) logFalseDenial(d *flow.FalseDenial) {
	a.log.LogFlowEnd(event.FlowFalselyDenied, "flow", daemon.FlowID(&d.Key), "denied", d.Age.Seconds(), "reset", d.Reset,
		"complete", d.Complete, "recorded_as", d.Loss, "returned", d.Returned)
}

// logMissedFlow logs that a packet of the upstream belongs to a flow that the table lacked although it counted as
// complete, for the given reason.
func (a *Agent) logMissedFlow(t *flow.Table, reply *packet.Info, complete flow.Completeness) {
	k := reply.Key.Reverse()
	a.log.LogFlowEnd(event.FlowMissed, "flow", daemon.FlowID(&k), "complete", complete, "state", t.State(), "start", t.UpstreamStart())
}

// logLost logs and counts the reset of a flow that an inquiry has found lost, with the evidence.
func (a *Agent) logLost(now time.Duration, t *flow.Table, k *packet.Key, e *flow.Evidence) {
	a.counters.addLost(e)
	a.log.LogFlowEnd(event.FlowReset, append(resetPairs(now, t, k, flow.FoundLost),
		"silent", t.SilentPeers(now), "asked_for", e.Inquiry.Seconds(), "may_repeat", e.MayRepeat,
		"denied", e.Denied, "denied_by", strings.Join(e.DeniedBy, " "),
		"excluded", e.Excluded, "excluded_as", formatExcluded(e.ExcludedAs))...)
}

// logRecordedReset logs the reset that answers a packet of a flow recorded as lost.
func (a *Agent) logRecordedReset(now time.Duration, t *flow.Table, k *packet.Key) {
	cause, age := t.RecordedLoss(now, k)
	a.log.LogFlowEnd(event.FlowReset, append(resetPairs(now, t, k, cause), "recorded", age.Seconds())...)
}

func resetPairs(now time.Duration, t *flow.Table, k *packet.Key, cause flow.LossCause) []any {
	peers, changed := t.Peers()
	return []any{"flow", daemon.FlowID(k), "reason", flow.ReasonFlowLost, "cause", cause, "start", t.UpstreamStart(),
		"complete", t.Completeness(now), "peers", peers, "peers_age", (now - changed).Seconds()}
}

// formatExcluded returns one text with the peers' names, each followed by what was known of it.
func formatExcluded(peers []flow.PeerEvidence) string {
	var b strings.Builder
	for i := range peers {
		p := &peers[i]
		if i > 0 {
			b.WriteString("; ")
		}
		heard := "never"
		if p.Heard >= 0 {
			heard = fmt.Sprintf("%.3f", p.Heard.Seconds())
		}
		fmt.Fprintf(&b, "%s rule=%v state=%v for=%.3f from=%v heard=%s", p.Name, p.ExcludedFor, p.State, p.InState.Seconds(), p.Source, heard)
		if p.Inquired {
			b.WriteString(" inquired")
		}
		if p.MayHold {
			b.WriteString(" may_hold")
		}
	}
	return b.String()
}

// stateReason returns why the tracker of the agent's own upstream reports the state.
func stateReason(t *upstream.Tracker, s flow.State) string {
	switch {
	case s == flow.Leaving:
		return "exit announced"
	case s == flow.Failed && t.IsStopped():
		return "connection refused"
	case s == flow.Failed && !t.Known():
		return "never announced"
	case s == flow.Failed:
		return "announcements missed"
	case !t.Known():
		return "not announced yet"
	case t.ExitDoubtful():
		return "exit announced without draining"
	}
	return "announced"
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
