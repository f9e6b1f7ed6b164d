package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/plan"
)

// maxStatusCalls is the maximum number of concurrent calls for a deployment status.
const maxStatusCalls = 16

// statusTimeout is the timeout for the query to one process, so that failed processes do
// not delay a deployment status.
const statusTimeout = 2 * time.Second

// FetchDump returns the named dump sources of a process as JSON, or all of them if no
// names are given.
func FetchDump(ctx context.Context, t Transport, to netip.AddrPort, sources ...string) ([]byte, error) {
	var reply control.DumpReply
	args := control.DumpArgs{Sources: sources}
	err := t.Call(ctx, to, control.DumpService+".State", &args, &reply)
	return reply.JSON, err
}

// ProcessStatus is the status of one process in a DeploymentStatus.
type ProcessStatus struct {
	Process
	Control netip.AddrPort
	Err     error // why the query failed; State is then the one from the membership record
}

// DeploymentStatus is the status of all processes of a deployment.
type DeploymentStatus struct {
	Revision  int64 // highest qualified revision that any process knows
	Processes []ProcessStatus
}

// FetchDeploymentStatus reads the membership records of the given balancers and then
// queries each process in them for its state. Processes that are leaving or have failed
// are not queried.
func FetchDeploymentStatus(ctx context.Context, t Transport, balancers []netip.AddrPort) DeploymentStatus {
	var s DeploymentStatus
	known := make(map[string]Member)
	for _, address := range balancers {
		members, err := fetchMembers(ctx, t, address)
		if err != nil {
			s.Processes = append(s.Processes, ProcessStatus{Control: address, Err: err})
		}
		for _, m := range members {
			if old, found := known[m.Name]; !found || m.newer(&old) {
				known[m.Name] = m
			}
		}
	}
	s.Processes = append(s.Processes, fetchStatuses(ctx, t, known)...)
	for _, p := range s.Processes {
		s.Revision = max(s.Revision, p.Revision, p.KnownRevision)
	}
	slices.SortFunc(s.Processes, func(a, b ProcessStatus) int {
		return cmp.Or(strings.Compare(a.Role, b.Role), strings.Compare(a.Name, b.Name))
	})
	return s
}

// newer reports whether m is a later record of a process than old.
func (m *Member) newer(old *Member) bool {
	return cmp.Or(cmp.Compare(m.Epoch, old.Epoch), cmp.Compare(m.Version, old.Version)) > 0
}

func (m *Member) leftOrFailed() bool {
	return m.State == flow.Leaving.String() || m.State == flow.Failed.String()
}

func fetchMembers(ctx context.Context, t Transport, to netip.AddrPort) ([]Member, error) {
	b, err := FetchDump(ctx, t, to, SourceMembers)
	if err != nil {
		return nil, err
	}
	var dump struct {
		Members []Member `json:"members"`
	}
	err = json.Unmarshal(b, &dump)
	return dump.Members, errors.Wrap(err, "dump")
}

// fetchStatuses returns the status of all known processes. Those that are leaving or have
// failed are not queried; their status is that of the membership record.
func fetchStatuses(ctx context.Context, t Transport, known map[string]Member) []ProcessStatus {
	out := make([]ProcessStatus, 0, len(known))
	for _, m := range known {
		out = append(out, ProcessStatus{Control: m.Control, Process: Process{
			Role: m.Role, Name: m.Name, Service: m.Service, FailureDomain: m.FailureDomain, State: m.State,
		}})
	}
	var calls errgroup.Group
	calls.SetLimit(maxStatusCalls)
	for i := range out {
		m := known[out[i].Name]
		if !m.leftOrFailed() {
			calls.Go(func() error {
				out[i].fetch(ctx, t)
				return nil
			})
		}
	}
	_ = calls.Wait() // errors are stored in ProcessStatus.Err
	return out
}

func (p *ProcessStatus) fetch(ctx context.Context, t Transport) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	b, err := FetchDump(ctx, t, p.Control, SourceProcess)
	if err != nil {
		p.Err = err
		return
	}
	var dump struct {
		Process Process `json:"process"`
	}
	if p.Err = json.Unmarshal(b, &dump); p.Err == nil {
		p.Process = dump.Process
	}
}

// LagsOrUnanswered reports whether a process did not answer the query, or has a revision of
// the lists that is older than the given one. A process that is leaving or has failed is not
// queried and does not lag.
func (p *ProcessStatus) LagsOrUnanswered(revision int64) bool {
	m := Member{State: p.State}
	return p.Err != nil || (!m.leftOrFailed() && p.Revision < revision)
}

// LaggingOrUnanswered returns the number of processes for which
// LagsOrUnanswered is true.
func (s *DeploymentStatus) LaggingOrUnanswered() int {
	n := 0
	for i := range s.Processes {
		if s.Processes[i].LagsOrUnanswered(s.Revision) {
			n++
		}
	}
	return n
}

// Write writes the status as a table.
func (s *DeploymentStatus) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROLE\tNAME\tSERVICE\tFAILURE DOMAIN\tSTATE\tOPEN FLOWS\tREVISION\tCONTROL\tNOTE")
	for i := range s.Processes {
		p := &s.Processes[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
			p.Role, p.Name, p.Service, p.FailureDomain, p.State, p.OpenFlows, plan.RevisionText(p.Revision), p.Control, p.note(s.Revision))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "revision %s; %d of %d processes lag or did not answer\n",
		plan.RevisionText(s.Revision), s.LaggingOrUnanswered(), len(s.Processes))
	return err
}

func (p *ProcessStatus) note(revision int64) string {
	switch {
	case p.Err != nil:
		return "no answer: " + p.Err.Error()
	case p.LagsOrUnanswered(revision):
		return "lags"
	}
	return ""
}
