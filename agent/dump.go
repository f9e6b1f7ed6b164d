package agent

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

// FlowState is the dump source "flows".
type FlowState struct {
	Open     int           `json:"open"`
	Counters flow.Counters `json:"counters"`
}

func (a *Agent) addDumpSources() {
	a.control.Dump.AddSource(daemon.SourceProcess, func() any { return a.dumpProcess() })
	a.control.Dump.AddSource(daemon.SourceMembers, func() any { return a.dumpMembers() })
	a.control.Dump.AddSource("quota", func() any { return a.quotaState() })
	a.control.Dump.AddSource(daemon.SourceEvacuation, func() any { return a.dumpEvacuation() })
	a.control.Dump.AddSource("flows", func() any { return a.flowState() })
}

func (a *Agent) dumpProcess() (p daemon.Process) {
	a.members.Do(func(now time.Duration, n *member.Announcer) {
		self := n.Self()
		p = daemon.DumpProcess(&self, now)
		p.KnownRevision = n.Revision()
	})
	// Balancers identify customers and grantors know the limits, so an agent has no
	// lists of its own: the revision of its home balancers is in force.
	p.Revision = p.KnownRevision
	p.OpenFlows = a.flows.open()
	return p
}

func (a *Agent) dumpMembers() (out []daemon.Member) {
	a.members.Do(func(_ time.Duration, n *member.Announcer) {
		out = daemon.DumpMembers(n.Table().Records())
	})
	return out
}

func (a *Agent) dumpEvacuation() (out daemon.Evacuation) {
	a.members.Do(func(_ time.Duration, n *member.Announcer) {
		out = daemon.DumpEvacuation(n.Evacuations(), a.cfg.FailureDomain)
	})
	return out
}

func (a *Agent) flowState() (s FlowState) {
	a.flows.do(func(_ time.Duration, t *flow.Table) {
		s = FlowState{Open: t.Open(), Counters: t.Counters()}
	})
	return s
}
