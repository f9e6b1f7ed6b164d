package demo

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// closeTimeout is the timeout for all flows to end after the load: the last retransmission
// of a flow without answers comes after 8 s.
const closeTimeout = 12 * time.Second

// deploymentReport holds the reports of the stand-ins of one deployment, and what was
// measured during its run.
type deploymentReport struct {
	deployment       string
	clients          standin.LoadReport
	upstreams        []upstreamReport
	fabric           standin.FabricReport
	controlRate      float64 // control traffic in bytes per second and daemon
	daemons          int
	balance          []imbalance
	lists            listStats
	overPlan         int
	refusedUnderPlan float64  // highest share of a customer's attempts refused below its plan
	runViolations    []string // violations found during the run
}

// upstreamReport is the report of one upstream, and what the run did to the upstream.
type upstreamReport struct {
	standin.UpstreamReport
	drainStart time.Time // start of the drain; zero if it was not drained
	killed     bool
}

// endLoad makes the clients end their flows and waits until none is open.
func (f *fleet) endLoad(ctx context.Context) error {
	if err := sendJSON(ctx, http.MethodPost, f.clientControl, "/close", nil); err != nil {
		return err
	}
	return poll(ctx, closeTimeout, func() error {
		var r standin.LoadReport
		if err := getJSON(ctx, f.clientControl, "/report", &r); err != nil {
			return err
		}
		if r.FlowsOpen > 0 {
			return errors.Newf("%d flows are still open", r.FlowsOpen)
		}
		return nil
	})
}

// collectReport reads the reports of all stand-ins.
func (f *fleet) collectReport(ctx context.Context) (*deploymentReport, error) {
	d := &deploymentReport{deployment: f.spec.name}
	if err := getJSON(ctx, f.clientControl, "/report", &d.clients); err != nil {
		return nil, err
	}
	if err := getJSON(ctx, f.fabric.control, "/report", &d.fabric); err != nil {
		return nil, err
	}
	f.mu.Lock()
	upstreams := slices.Clone(f.upstreams)
	f.mu.Unlock()
	for _, u := range upstreams {
		r, err := f.readReport(ctx, u)
		if err != nil {
			return nil, err
		}
		d.upstreams = append(d.upstreams, upstreamReport{UpstreamReport: *r, drainStart: u.drainStart, killed: u.killed})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d.lists, d.runViolations = f.lists, slices.Clone(f.violations)
	l := limits{history: f.history, customers: append(slices.Clone(f.spec.customers), f.spec.greedy)}
	d.overPlan = l.overPlan(d.upstreams)
	d.refusedUnderPlan = l.refusedUnderPlan(&d.clients, d.upstreams)
	return d, nil
}

func (f *fleet) readReport(ctx context.Context, u *upstreamVM) (*standin.UpstreamReport, error) {
	if u.finalReport != nil {
		return u.finalReport, nil
	}
	r := new(standin.UpstreamReport)
	err := getJSON(ctx, u.reportAddr, "/ledger", r)
	return r, err
}

// controlBytes returns the number of bytes on all control connections so far.
func (f *fleet) controlBytes(ctx context.Context) (uint64, error) {
	var routes []standin.RelayedDaemonReport
	if err := getJSON(ctx, f.fabric.control, "/relay/report", &routes); err != nil {
		return 0, err
	}
	var total uint64
	for _, r := range routes {
		total += r.In + r.Out
	}
	return total, nil
}

// controlRate returns the mean control traffic of a daemon in bytes per second. Each
// byte on a connection counts for the daemon that sends it and for the one that receives
// it.
func controlRate(bytes uint64, daemons int, d time.Duration) float64 {
	return 2 * float64(bytes) / float64(daemons) / d.Seconds()
}

// daemonCount returns the number of balancers and agents that are neither stopping nor
// draining.
func (f *fleet) daemonCount() int {
	n := len(f.liveBalancers())
	for _, s := range f.spec.services {
		n += len(f.servingUpstreams(s.name))
	}
	return n
}
