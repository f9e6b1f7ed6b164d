package agent

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/evacuate"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// peers holds what the agent knows of the service's agents, as last applied to the flow
// table, and the home balancer.
type peers struct {
	view         *flow.View                                        // accessed by Agent.step only
	evacuated    atomic.Pointer[[]string]                          // evacuated domains as applied; nil: none
	controlAddrs atomic.Pointer[map[packet.AgentID]netip.AddrPort] // nil before the first step
	stepMu       sync.Mutex                                        // locked during stepFlows
	homeBalancer atomic.Pointer[netip.AddrPort]                    // balancer that last answered a heartbeat
}

// callAnswered records the balancer that answered a heartbeat. The first answer gives the
// agent the upstreams that the balancer knows and triggers a step at once. Without that
// step, clients whose flows were lost with the power of a VM would wait longer for their
// resets.
func (a *Agent) callAnswered(c member.Call) {
	if c.Request.Kind == member.KindHeartbeat && a.peers.homeBalancer.Swap(&c.To) == nil {
		a.wake.Wake()
	}
	a.wakeOnNewOrders()
}

// handleMember processes a membership request of another process, which may carry orders to evacuate failure
// domains.
func (a *Agent) handleMember(request member.Message) member.Message {
	reply := a.members.Handle(request)
	a.wakeOnNewOrders()
	return reply
}

// wakeOnNewOrders triggers a step if the known evacuated domains are not applied yet.
func (a *Agent) wakeOnNewOrders() {
	var known evacuate.Set
	a.members.Do(func(_ time.Duration, n *member.Announcer) { known = n.Evacuations() })
	if !slices.Equal(known.Domains, a.peers.evacuatedDomains()) {
		a.wake.Wake()
	}
}

// evacuatedDomains returns the evacuated domains that are applied to the flow table.
func (p *peers) evacuatedDomains() []string {
	if domains := p.evacuated.Load(); domains != nil {
		return *domains
	}
	return nil
}

// refreshPeers applies a changed membership to the flow table, the quota holder, the HTTP
// front and the control addresses, and changed evacuated domains to the flow table.
func (a *Agent) refreshPeers() {
	var (
		changed, ordersChanged bool
		upstreams              []flow.Upstream
		records                []member.Record
		orders                 evacuate.Set
		ordersSource           netip.AddrPort
	)
	a.members.Do(func(_ time.Duration, n *member.Announcer) {
		view := n.Table().View()
		orders, ordersSource = n.Evacuations(), n.EvacuationSource()
		ordersChanged = !slices.Equal(orders.Domains, a.peers.evacuatedDomains())
		if changed = view != a.peers.view || ordersChanged; !changed {
			return
		}
		a.peers.view = view
		upstreams = n.ServiceUpstreams()
		records = n.Table().ServiceMembers(a.cfg.Service.Name)
	})
	if !changed {
		return
	}
	if ordersChanged {
		a.peers.evacuated.Store(&orders.Domains)
		daemon.LogEvacuation(a.log, orders, a.cfg.FailureDomain, false, ordersSource)
	}
	upstreams = daemon.MarkEvacuated(upstreams, orders)
	controlAddrs := controlAddresses(records)
	a.peers.controlAddrs.Store(&controlAddrs)
	a.refreshRequests(records, controlAddrs)
	a.quotaAddrs.setPeers(controlAddrs)
	a.flows.do(func(now time.Duration, t *flow.Table) {
		t.SetPeers(now, upstreams)
		if ordersChanged {
			t.SetEvacuated(now, orders.Contains(a.cfg.FailureDomain))
			a.urgent.wakeDue(t)
		}
		a.admission.holder.SetPeers(quotaPeers(records))
	})
}

func controlAddresses(records []member.Record) map[packet.AgentID]netip.AddrPort {
	out := make(map[packet.AgentID]netip.AddrPort, len(records))
	for i := range records {
		out[packet.AgentIDOf(records[i].Name)] = records[i].Control
	}
	return out
}

// stepFlows advances the flow table and sends its messages.
func (a *Agent) stepFlows() {
	// Keeps messages to one agent in the order of the steps.
	a.peers.stepMu.Lock()
	defer a.peers.stepMu.Unlock()
	var (
		messages []flow.Message
		refused  []flow.LostFlow
	)
	a.flows.do(func(now time.Duration, t *flow.Table) {
		messages = t.Step(now)
		refused = a.logRefused(now, t)
	})
	a.resetFlows(refused)
	controlAddrs := a.peers.controlAddrs.Load()
	if controlAddrs == nil {
		return
	}
	for _, m := range messages {
		if to, known := (*controlAddrs)[m.To]; known {
			a.sender.send(a.lifecycle.Context(), to, m)
		}
	}
}

// becomeReady changes the state from Starting to Ready when a balancer has sent the peers
// and the agent has received their digests. The settling time bounds the wait for a peer
// that does not send its digest.
func (a *Agent) becomeReady(balancerKnown bool) {
	if !balancerKnown {
		return
	}
	ready := false
	a.flows.do(func(now time.Duration, t *flow.Table) {
		settled := now-a.started >= a.cfg.SettlingSeconds.Duration()
		ready = t.State() == flow.Starting && (settled || t.MayBecomeReady(now))
	})
	if ready {
		a.changeState(flow.Starting, flow.Ready)
	}
}
