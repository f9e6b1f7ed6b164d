package balancer

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

func (b *Balancer) addDumpSources() {
	b.control.Dump.AddSource(daemon.SourceProcess, func() any { return b.dumpProcess() })
	b.control.Dump.AddSource("lists", func() any { return b.lists.State() })
	b.control.Dump.AddSource(daemon.SourceMembers, func() any { return b.dumpMembers() })
	b.control.Dump.AddSource("view", func() any { return b.view() })
	b.control.Dump.AddSource("quota", func() any { return b.grantors.state() })
	b.control.Dump.AddSource(daemon.SourceEvacuation, func() any { return b.dumpEvacuation() })
	b.control.Dump.AddSource("health", func() any { return b.health.get() })
}

func (b *Balancer) dumpProcess() (p daemon.Process) {
	b.members.Do(func(now time.Duration, n *member.Node) {
		self := n.Self()
		p = daemon.DumpProcess(&self, now)
		p.KnownRevision, _ = n.Revision()
	})
	p.Revision = b.lists.Revision()
	return p
}

func (b *Balancer) dumpMembers() (out []daemon.Member) {
	b.members.Do(func(_ time.Duration, n *member.Node) {
		out = daemon.DumpMembers(n.Table().Records())
	})
	return out
}

// view returns the view that is installed in the router.
func (b *Balancer) view() *flow.View {
	b.installed.mu.Lock()
	defer b.installed.mu.Unlock()
	return b.installed.view
}
