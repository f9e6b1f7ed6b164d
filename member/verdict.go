package member

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Verdict describes, for the log, a step of a failure detection at this balancer: a claim that it
// has made, or a mark as failed that it has set as the arbiter.
type Verdict struct {
	Name, Service string
	State         flow.State // before the mark
	Marked        bool       // the process was marked as failed; otherwise a claim was made
	// Observers are the control addresses of the balancers that could not reach the process.
	Observers []string
	Peer      netip.AddrPort // the arbiter of a claim; the balancer whose claim led to a mark
	// Silent is the time for which this balancer, which watches the agent, has counted its
	// silence; negative if it does not watch it.
	Silent time.Duration
}

// maxVerdicts limits the verdicts kept until they are taken, so that the failure of a whole failure
// domain does not flood the log. One per VM of a rack fits.
const maxVerdicts = 64

func (n *Node) noteVerdict(r *Record, marked bool, observers []string, peer netip.AddrPort) {
	if len(n.verdicts) >= maxVerdicts {
		n.verdictsDropped++
		return
	}
	silent := time.Duration(-1)
	if since, watched := n.detector.awaitedSince[r.Name]; watched {
		silent = n.now - since
	}
	n.verdicts = append(n.verdicts, Verdict{
		Name: r.Name, Service: r.Service, State: r.State, Marked: marked, Observers: observers, Peer: peer, Silent: silent,
	})
}

// TakeVerdicts returns the verdicts since its last call, oldest first, and the number of those that
// were dropped because there were too many.
func (n *Node) TakeVerdicts() (verdicts []Verdict, dropped int) {
	verdicts, dropped = n.verdicts, n.verdictsDropped
	n.verdicts, n.verdictsDropped = nil, 0
	return verdicts, dropped
}

// noteOwnWord records that a state was received from the upstream's own agent. If it is Failed, an
// equal record that a balancer has sent before does not hide this.
func (t *Table) noteOwnWord(r *Record) {
	e := t.byName[r.Name]
	if e == nil || e.source == flow.StateFromAgent || Compare(&e.record, r) != 0 {
		return
	}
	e.source = flow.StateFromAgent
	if g := t.groups[r.Service]; g != nil && r.State == flow.Failed {
		g.clean, t.view = false, nil
	}
}
