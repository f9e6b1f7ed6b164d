package member

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/nutmegtrack/nutmegtrack/evacuate"
)

// evacuations is a process's copy of the orders to evacuate failure domains.
type evacuations struct {
	evacuate.Copy
	source netip.AddrPort // control address of the process from which the set came; may be zero
	push   pushState      // to balancers; unused by agents
	relay  bool           // the set is to be sent to the agents that this balancer watches
}

// addTo adds the set to a message. Nothing is added before an order has been seen.
func (e *evacuations) addTo(m *Message) {
	set := e.Set()
	m.EvacuationRevision, m.EvacuatedDomains = set.Revision, set.Domains
}

// learn takes over the set in a message from the process at source, if it is newer. It reports whether other
// processes are to be informed: the set has changed, or source has an older one.
func (e *evacuations) learn(m *Message, source netip.AddrPort) bool {
	before := e.Set().Revision
	if m.Kind == KindHeartbeat && len(m.Records) == 0 {
		return e.Outrank(m.EvacuationRevision)
	}
	if e.Learn(evacuate.Set{Revision: m.EvacuationRevision, Domains: m.EvacuatedDomains}) {
		e.source = source
		return true
	}
	return e.Set().Revision > max(before, m.EvacuationRevision)
}

// SetEvacuations records the evacuated domains that this balancer has read from the store, at the revision of
// the read.
func (n *Node) SetEvacuations(s evacuate.Set) {
	if n.evacuations.Read(s.Revision, s.Domains) {
		n.evacuations.source = n.self.Control
		n.announceEvacuations()
	}
}

// Evacuations returns the evacuated domains that this balancer knows.
func (n *Node) Evacuations() evacuate.Set { return n.evacuations.Set() }

// EvacuationSource returns the control address of the process from which this balancer has the evacuated
// domains, its own if it has read them from the store. It may be zero.
func (n *Node) EvacuationSource() netip.AddrPort { return n.evacuations.source }

func (n *Node) noteEvacuations(m *Message, source netip.AddrPort) {
	if n.evacuations.learn(m, source) {
		n.announceEvacuations()
	}
}

// announceEvacuations starts to push the set to balancers and has the next step send it to agents.
func (n *Node) announceEvacuations() {
	n.evacuations.push = pushState{roundsLeft: n.cfg.PushRounds}
	n.evacuations.relay = true
}

// sendEvacuations sends a changed set to the agents that this balancer watches, except those to which this step
// sends a message anyway.
func (n *Node) sendEvacuations() {
	if !n.evacuations.relay {
		return
	}
	n.evacuations.relay = false
	informed := make(map[netip.AddrPort]bool)
	for i := range n.out {
		informed[n.out[i].To] = true
	}
	for _, name := range slices.Sorted(maps.Keys(n.detector.awaitedSince)) {
		if r, known := n.table.Get(name); known && !r.Gone() && !informed[r.Control] {
			n.enqueue(r.Control, Message{Kind: KindPush, From: n.self.Control})
		}
	}
}

// Evacuations returns the evacuated domains that this agent knows.
func (a *Announcer) Evacuations() evacuate.Set { return a.evacuations.Set() }

// EvacuationSource returns the control address of the balancer from which this agent has the evacuated domains.
// It may be zero.
func (a *Announcer) EvacuationSource() netip.AddrPort { return a.evacuations.source }
