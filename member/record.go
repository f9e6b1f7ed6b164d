package member

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Role says what kind of process a record describes.
type Role uint8

const (
	// RoleUpstream marks the record of an upstream VM's agent.
	RoleUpstream Role = iota
	// RoleBalancer marks the record of a balancer.
	RoleBalancer
)

// Record describes one process. The process itself writes it, except for the
// state Failed, which the arbiter of its service or of the balancers writes.
type Record struct {
	Name, Service, FailureDomain string
	Role                         Role
	Incarnation                  uint64 // random for each process start
	Start                        uint64 // identifies the start of the upstream itself; 0 when not told apart
	Epoch, Version               uint64
	State                        flow.State
	Data, Control                netip.AddrPort
	Endpoints                    []flow.Endpoint // the service's addresses
	Slots, Connections           int
}

// Compare orders two records of the same name: by epoch, version and incarnation.
// Records equal in these are ordered by state, so that a claim of failure wins
// over a concurrent change by the process, which then refutes it. The encoding
// decides between records that differ in anything else.
func Compare(a, b *Record) int {
	return cmp.Or(
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State),
		bytes.Compare(encodeRecord(a), encodeRecord(b)),
	)
}

// Gone reports whether the process has left or was found dead.
func (r *Record) Gone() bool {
	return r.State == flow.Leaving || r.State == flow.Failed
}

// maxCounter bounds epochs and versions, so that the next one does not overflow.
const maxCounter = 1 << 62

func (r *Record) valid() bool {
	return r.Name != "" && r.State <= flow.MaxState && r.Role <= RoleBalancer &&
		r.Epoch < maxCounter && r.Version < maxCounter
}

// sum is a hash of the whole record that is equal in all processes.
func (r *Record) sum() uint64 { return xxhash.Sum64(encodeRecord(r)) }

// nameHash is the identifier of a record in digests and heartbeats.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// refute returns the version of self that replaces a record of the same name
// which this process did not write, and whether one is needed.
func refute(self Record, seen *Record) (Record, bool) {
	next := self
	switch {
	case !seen.valid():
		return self, false
	case seen.Incarnation != self.Incarnation && seen.Epoch >= self.Epoch:
		next.Epoch = seen.Epoch + 1
	case seen.Incarnation == self.Incarnation && Compare(seen, &self) > 0:
		next.Epoch, next.Version = seen.Epoch, seen.Version+1
	default:
		return self, false
	}
	return next, next.valid()
}

// invariant panics when a rule that the protocol guarantees is broken; going on
// would spread the damage to every process.
func invariant(holds bool, format string, args ...any) {
	if !holds {
		panic("member: invariant violated: " + fmt.Sprintf(format, args...))
	}
}
