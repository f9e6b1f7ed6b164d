package daemon

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/nutmegtrack/nutmegtrack/evacuate"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
)

// SourceEvacuation is the name of the dump source with an Evacuation.
const SourceEvacuation = "evacuation"

// Evacuation is what a process knows of the orders to evacuate failure domains.
type Evacuation struct {
	Revision int64    `json:"revision"` // qualified revision of the store at which the set was seen; 0: no order was ever seen
	Domains  []string `json:"domains"`
	Own      bool     `json:"own"` // the process's own failure domain is among them
}

// DumpEvacuation converts a set to its dump form for a process of the given failure domain.
func DumpEvacuation(s evacuate.Set, own string) Evacuation {
	return Evacuation{Revision: s.Revision, Domains: append([]string{}, s.Domains...), Own: s.Contains(own)}
}

// LogEvacuation logs that the set that a process applies has changed. The process has read it from the store, or
// has it from the process with the control address source.
func LogEvacuation(log *event.Logger, s evacuate.Set, own string, fromStore bool, source netip.AddrPort) {
	from := "unknown"
	switch {
	case fromStore:
		from = "store"
	case source.IsValid():
		from = source.String()
	}
	log.Log(event.EvacuationChanged, "revision", s.Revision, "domains", strings.Join(s.Domains, " "), "own", s.Contains(own), "source", from)
}

// MarkEvacuated returns the upstreams with flow.Upstream.Evacuated set for those of the set's domains. If there
// are none, it returns the argument.
func MarkEvacuated(upstreams []flow.Upstream, s evacuate.Set) []flow.Upstream {
	out := upstreams
	for i := range upstreams {
		if !s.Contains(upstreams[i].FailureDomain) {
			continue
		}
		if &out[0] == &upstreams[0] {
			out = slices.Clone(upstreams)
		}
		out[i].Evacuated = true
	}
	return out
}
