package balancer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/evacuate"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// unknownDomainDelay is the time after a change of the orders, and after the start of the process, after which
// a domain without known processes is reported. A starting balancer has the records of all live
// processes after 3 s.
const unknownDomainDelay = 5 * time.Second

// evacuated holds the evacuated domains that are applied to the view.
type evacuated struct {
	mu        sync.Mutex
	domains   []string
	changedAt time.Duration
	// marked caches the upstreams of the services as marked by mark: logChanges and the router recognise
	// a service without a change by its list.
	marked  map[packet.ServiceID]markedUpstreams
	read    bool            // this process has read the orders from the store
	checked map[string]bool // domains of which it was checked whether any process has them
}

type markedUpstreams struct{ from, to []flow.Upstream }

// set sets the domains and reports whether they have changed.
func (e *evacuated) set(now time.Duration, s evacuate.Set) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Equal(e.domains, s.Domains) {
		return false
	}
	e.domains, e.changedAt, e.marked = s.Domains, now, nil
	return true
}

// differs reports whether the domains are others than those that are applied.
func (e *evacuated) differs(s evacuate.Set) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.Equal(e.domains, s.Domains)
}

// mark returns the view with the upstreams of the evacuated domains marked.
func (e *evacuated) mark(v *flow.View) *flow.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.domains) == 0 {
		return v
	}
	out := &flow.View{Services: slices.Clone(v.Services), Routes: v.Routes}
	marked := make(map[packet.ServiceID]markedUpstreams, len(out.Services))
	for i := range out.Services {
		s := &out.Services[i]
		m := e.marked[s.ID]
		if !sameUpstreams(m.from, s.Upstreams) {
			m = markedUpstreams{s.Upstreams, daemon.MarkEvacuated(s.Upstreams, evacuate.Set{Domains: e.domains})}
		}
		marked[s.ID], s.Upstreams = m, m.to
	}
	e.marked = marked
	return out
}

// ordersConfig returns how orders are read from the store; the zero value if they are not.
func (b *Balancer) ordersConfig() daemon.OrdersConfig {
	if b.cfg.EvacuationSeconds <= 0 || b.options.OrdersPrefix == "" {
		return daemon.OrdersConfig{}
	}
	return daemon.OrdersConfig{Prefix: b.options.OrdersPrefix, Decode: b.options.DecodeOrders, Read: b.ordersRead}
}

// ordersRead records the evacuated domains in the store and triggers a step that applies a change.
func (b *Balancer) ordersRead(revision int64, domains []string) {
	b.members.Do(func(_ time.Duration, n *member.Node) {
		n.SetEvacuations(evacuate.Set{Revision: revision, Domains: domains})
	})
	b.evacuated.mu.Lock()
	b.evacuated.read = true
	b.evacuated.mu.Unlock()
	b.wakeOnNewOrders()
}

// wakeOnNewOrders triggers a step if the known evacuated domains are not applied yet.
func (b *Balancer) wakeOnNewOrders() {
	var known evacuate.Set
	b.members.Do(func(_ time.Duration, n *member.Node) { known = n.Evacuations() })
	if b.evacuated.differs(known) {
		b.wake.Wake()
	}
}

// handleMember processes a membership request of another process, which may carry orders.
func (b *Balancer) handleMember(request member.Message) member.Message {
	reply := b.members.Handle(request)
	b.wakeOnNewOrders()
	return reply
}

func (b *Balancer) logOrders(s evacuate.Set, source netip.AddrPort) {
	daemon.LogEvacuation(b.log, s, b.cfg.FailureDomain, source == b.self().Control, source)
}

// reportUnknownDomains logs each evacuated domain that no known process has, once. Only the processes that read
// the store do.
func (b *Balancer) reportUnknownDomains() {
	unknown := b.unknownDomains()
	if len(unknown) == 0 {
		return
	}
	known := map[string]bool{b.cfg.FailureDomain: true}
	b.members.Do(func(_ time.Duration, n *member.Node) {
		for _, r := range n.Table().Records() {
			known[r.FailureDomain] = true
		}
	})
	for _, domain := range unknown {
		if !known[domain] {
			b.log.Log(event.OrderInvalid, "key", b.options.OrdersPrefix+domain, "finding", "no known process is in this failure domain; without effect")
		}
	}
}

// unknownDomains returns the evacuated domains that are to be looked up now; each domain once until the order
// is withdrawn.
func (b *Balancer) unknownDomains() (out []string) {
	e := &b.evacuated
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := b.clock(); !e.read || now < unknownDomainDelay || now-e.changedAt < unknownDomainDelay {
		return nil
	}
	checked := make(map[string]bool, len(e.domains))
	for _, domain := range e.domains {
		if !e.checked[domain] {
			out = append(out, domain)
		}
		checked[domain] = true
	}
	e.checked = checked
	return out
}

func (b *Balancer) dumpEvacuation() (out daemon.Evacuation) {
	b.members.Do(func(_ time.Duration, n *member.Node) {
		out = daemon.DumpEvacuation(n.Evacuations(), b.cfg.FailureDomain)
	})
	return out
}
