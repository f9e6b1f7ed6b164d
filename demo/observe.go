package demo

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// closeLimit is the time in which all flows must end after the load: the last
// retransmission of a silent flow comes after 8 s.
const closeLimit = 12 * time.Second

// observed is what the stand-ins of one deployment reported.
type observed struct {
	deployment string
	clients    standin.LoadReport
	upstreams  []upstreamObserved
	fabric     standin.FabricReport
	control    float64 // bytes per second and daemon
	daemons    int
	balance    []imbalance
	lists      listTimes
	overPlan   int
	refused    float64  // highest share of a customer's attempts refused below its plan
	notes      []string // violations seen during the run
}

type upstreamObserved struct {
	standin.UpstreamReport
	drained time.Time // zero when it was not drained
	killed  bool
}

// closeLoad ends all flows and waits until the clients have none open.
func (f *fleet) closeLoad(ctx context.Context) error {
	if err := sendJSON(ctx, http.MethodPost, f.client, "/close", nil); err != nil {
		return err
	}
	return until(ctx, closeLimit, func() error {
		var r standin.LoadReport
		if err := getJSON(ctx, f.client, "/report", &r); err != nil {
			return err
		}
		if r.FlowsOpen > 0 {
			return errors.Newf("%d flows do not end", r.FlowsOpen)
		}
		return nil
	})
}

// observe reads the records of all stand-ins.
func (f *fleet) observe(ctx context.Context) (*observed, error) {
	o := &observed{deployment: f.spec.name}
	if err := getJSON(ctx, f.client, "/report", &o.clients); err != nil {
		return nil, err
	}
	if err := getJSON(ctx, f.fabric.control, "/report", &o.fabric); err != nil {
		return nil, err
	}
	f.mu.Lock()
	upstreams := slices.Clone(f.upstreams)
	f.mu.Unlock()
	for _, u := range upstreams {
		r, err := f.readLedger(ctx, u)
		if err != nil {
			return nil, err
		}
		o.upstreams = append(o.upstreams, upstreamObserved{UpstreamReport: *r, drained: u.drained, killed: u.killed})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o.lists, o.notes = f.lists, slices.Clone(f.notes)
	l := limits{history: f.history, customers: append(slices.Clone(f.spec.customers), f.spec.greedy)}
	o.overPlan = l.overPlan(o.upstreams)
	o.refused = l.refusedUnderPlan(&o.clients, o.upstreams)
	return o, nil
}

func (f *fleet) readLedger(ctx context.Context, u *upstreamVM) (*standin.UpstreamReport, error) {
	if u.ledger != nil {
		return u.ledger, nil
	}
	r := new(standin.UpstreamReport)
	err := getJSON(ctx, u.report, "/ledger", r)
	return r, err
}

// controlBytes returns the bytes on all control connections so far.
func (f *fleet) controlBytes(ctx context.Context) (uint64, error) {
	var routes []standin.RouteReport
	if err := getJSON(ctx, f.fabric.control, "/relay/report", &routes); err != nil {
		return 0, err
	}
	var total uint64
	for _, r := range routes {
		total += r.In + r.Out
	}
	return total, nil
}

// controlRate returns the mean control traffic of a daemon in bytes per second.
// Each byte on a connection is sent by one daemon and received by another, and
// counts for both.
func controlRate(bytes uint64, daemons int, d time.Duration) float64 {
	return 2 * float64(bytes) / float64(daemons) / d.Seconds()
}

// daemonCount returns the number of daemons that run.
func (f *fleet) daemonCount() int {
	n := len(f.liveBalancers())
	for _, s := range f.spec.services {
		n += len(f.serving(s.name))
	}
	return n
}
