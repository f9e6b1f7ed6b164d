package member

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Role is the kind of process that a record describes.
type Role uint8

const (
	// RoleUpstream marks the record of an upstream VM's agent.
	RoleUpstream Role = iota
	// RoleBalancer marks the record of a balancer.
	RoleBalancer
)

// Record describes one process. It is written by the process itself, except for the
// state Failed, which is written by the arbiter of the process's service or, for a
// balancer, the arbiter of the balancers.
type Record struct {
	Name, Service, FailureDomain string
	Role                         Role
	Incarnation                  uint64 // random for each process start
	Start                        uint64 // identifies the current run of the upstream's process; 0 if unknown
	// Epoch is raised by a process that finds a record of another incarnation under its
	// name, usually its own from before a restart. Version is incremented with each change within an epoch.
	Epoch, Version     uint64
	State              flow.State
	Data, Control      netip.AddrPort  // addresses for packets and for calls
	Endpoints          []flow.Endpoint // service addresses at which the upstream is known to receive flows
	Slots, Connections int             // limits of concurrent requests and of flows
	// Cold says that the upstream has started lately and its agent limits the rate of its requests.
	Cold bool
}

// Compare orders two records of the same name by epoch, version and incarnation.
// Records with equal values are ordered by state: Starting, Ready, Draining, Leaving,
// Failed, AgentRestarting. A mark as failed therefore wins over a concurrent change by the
// process, except one to AgentRestarting. The process then refutes a mark that won.
// Records that differ only in other fields are ordered by their encoding.
func Compare(a, b *Record) int {
	return cmp.Or(
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State),
		bytes.Compare(encodeRecord(a), encodeRecord(b)),
	)
}

// Gone reports whether the process is leaving or failed. Otherwise it is called live. A
// live process need not be ready: it may also be starting or draining, or its agent
// restarting.
func (r *Record) Gone() bool {
	return r.State == flow.Leaving || r.State == flow.Failed
}

// maxCounter is the limit for epochs and versions, so that incrementing them does
// not overflow.
const maxCounter = 1 << 62

func (r *Record) valid() bool {
	return r.Name != "" && r.State <= flow.MaxState && r.Role <= RoleBalancer &&
		r.Epoch < maxCounter && r.Version < maxCounter
}

// sum returns a hash of the full record. It is the same in all processes.
func (r *Record) sum() uint64 { return xxhash.Sum64(encodeRecord(r)) }

// nameHash returns the hash that identifies a record in digests and heartbeats.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// raiseVersion makes r newer than it was. If no version is left in its epoch, it starts a new one.
func (r *Record) raiseVersion() {
	if r.Version++; r.Version >= maxCounter {
		r.Epoch, r.Version = r.Epoch+1, 0
	}
}

// refute returns the version of self that overrides the record seen, which has the same
// name, and whether a new version is needed: seen is of another incarnation whose epoch
// is not lower, or it is this incarnation's record and newer than self, such as a mark as
// failed. A record whose epoch leaves no room for a newer one is not refuted; no process writes one.
func refute(self Record, seen *Record) (Record, bool) {
	next := self
	switch {
	case !seen.valid():
		return self, false
	case seen.Incarnation != self.Incarnation && seen.Epoch >= self.Epoch:
		next.Epoch = seen.Epoch + 1
	case seen.Incarnation == self.Incarnation && Compare(seen, &self) > 0:
		next.Epoch, next.Version = seen.Epoch, seen.Version
		next.raiseVersion()
	default:
		return self, false
	}
	// The epoch after it remains for when the versions of this one are used up.
	return next, next.Epoch+1 < maxCounter
}

// invariant panics if an invariant of the protocol is violated. Continuing would
// propagate corrupt state to every process.
func invariant(holds bool, format string, args ...any) {
	if !holds {
		panic("member: invariant violated: " + fmt.Sprintf(format, args...))
	}
}
