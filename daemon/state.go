package daemon

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

// Names of the dump sources that the operator's tool decodes.
const (
	SourceProcess = "process"
	SourceMembers = "members"
)

// Process is the content of the dump source SourceProcess.
type Process struct {
	Role          string  `json:"role"`
	Name          string  `json:"name"`
	Service       string  `json:"service,omitempty"`
	FailureDomain string  `json:"failure_domain"`
	State         string  `json:"state"`
	Incarnation   uint64  `json:"incarnation"`
	UptimeSeconds float64 `json:"uptime_seconds"`
	Revision      int64   `json:"revision"`       // of the active lists, qualified with its era
	KnownRevision int64   `json:"known_revision"` // highest qualified revision that this process knows to exist
	OpenFlows     int     `json:"open_flows"`
}

// Member is one membership record in the dump source SourceMembers.
type Member struct {
	Role          string          `json:"role"`
	Name          string          `json:"name"`
	Service       string          `json:"service,omitempty"`
	FailureDomain string          `json:"failure_domain"`
	State         string          `json:"state"`
	Incarnation   uint64          `json:"incarnation"` // random for each process start
	Epoch         uint64          `json:"epoch"`       // higher than that of any earlier incarnation that the process learned of
	Version       uint64          `json:"version"`     // higher for each later record of the same epoch
	Data          netip.AddrPort  `json:"data"`
	Control       netip.AddrPort  `json:"control"`
	Endpoints     []flow.Endpoint `json:"endpoints,omitempty"`
	Slots         int             `json:"slots,omitempty"`
	Connections   int             `json:"connections,omitempty"`
}

// Roles as named in the dump.
const (
	RoleBalancer = "balancer"
	RoleAgent    = "agent"
)

// DumpMembers converts membership records to their dump form.
func DumpMembers(records []member.Record) []Member {
	out := make([]Member, len(records))
	for i := range records {
		out[i] = dumpMember(&records[i])
	}
	return out
}

// DumpProcess converts a process's own membership record to its dump form.
func DumpProcess(self *member.Record, uptime time.Duration) Process {
	m := dumpMember(self)
	return Process{
		Role: m.Role, Name: m.Name, Service: m.Service, FailureDomain: m.FailureDomain,
		State: m.State, Incarnation: m.Incarnation, UptimeSeconds: uptime.Seconds(),
	}
}

func dumpMember(r *member.Record) Member {
	role := RoleAgent
	if r.Role == member.RoleBalancer {
		role = RoleBalancer
	}
	return Member{
		Role: role, Name: r.Name, Service: r.Service, FailureDomain: r.FailureDomain,
		State: r.State.String(), Incarnation: r.Incarnation, Epoch: r.Epoch, Version: r.Version,
		Data: r.Data, Control: r.Control, Endpoints: r.Endpoints,
		Slots: r.Slots, Connections: r.Connections,
	}
}
