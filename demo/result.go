package demo

// Result is the result of a demo over all its deployments. A field that was not measured
// is nil.
type Result struct {
	FlowsOpened          uint64   `json:"flows_opened"`
	FlowsOpenMax         int      `json:"flows_open_max"`
	FlowsBrokenPlanned   uint64   `json:"flows_broken_planned"`
	FlowsBrokenTotal     uint64   `json:"flows_broken_total"`
	WrongServicePackets  uint64   `json:"wrong_service_packets"`
	RequestsSent         uint64   `json:"requests_sent"`
	RequestsRunTwice     int      `json:"requests_run_twice"`
	NotRunButRun         *int     `json:"not_run_but_run"`
	OverPlan             int      `json:"over_plan"`
	RefusedUnderPlan     float64  `json:"refused_under_plan"`
	ConfigInForceSeconds *float64 `json:"config_in_force_seconds_max"`
	ImbalanceMaxOverMean *float64 `json:"imbalance_max_over_mean"`
	ControlRate          *float64 `json:"control_bytes_per_second_per_daemon"`

	violations  []string
	deployments []*deploymentReport
}

// Violations returns the violations of the guarantees, one line each.
func (r *Result) Violations() []string { return r.violations }

func newResult(all []*deploymentReport) *Result {
	r := &Result{deployments: all}
	for _, d := range all {
		r.add(d)
		r.violations = append(r.violations, d.violations()...)
	}
	return r
}

func (r *Result) add(d *deploymentReport) {
	r.FlowsOpened += d.clients.FlowsOpened
	r.FlowsOpenMax += d.clients.FlowsOpenMax
	r.FlowsBrokenPlanned += d.clients.BrokenPlanned
	r.FlowsBrokenTotal += d.clients.BrokenPlanned + d.clients.BrokenUnplanned
	r.WrongServicePackets += d.wrongServicePackets()
	r.RequestsSent += d.clients.RequestsSent
	r.RequestsRunTwice += len(d.runTwice())
	r.OverPlan = max(r.OverPlan, d.overPlan)
	r.RefusedUnderPlan = max(r.RefusedUnderPlan, d.refusedUnderPlan)
	r.ControlRate = maxOf(r.ControlRate, d.controlRate)
	if d.lists.MaxSeconds != nil {
		r.ConfigInForceSeconds = maxOf(r.ConfigInForceSeconds, *d.lists.MaxSeconds)
	}
	for _, b := range d.balance {
		if b.Samples > 0 {
			r.ImbalanceMaxOverMean = maxOf(r.ImbalanceMaxOverMean, b.Ratio)
		}
	}
}

func maxOf(old *float64, v float64) *float64 {
	if old != nil && *old >= v {
		return old
	}
	return &v
}
