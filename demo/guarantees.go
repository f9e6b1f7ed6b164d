package demo

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// maxNewFlowDelay is the maximum time after the start of a drain at which the upstream may
// still receive a new flow (guarantee 6).
const maxNewFlowDelay = 3 * time.Second

// maxRefusedUnderPlan is the maximum share of a customer's attempts that may be refused while
// the customer is below its plan, as long as no tokens are lost.
const maxRefusedUnderPlan = 0.001

// upstreamKilled reports whether an upstream was killed. Its tokens are issued again only
// after its agent's admission lease (quota.Config.Lease) has expired, and until then customers
// may be refused below their plan. The summary still contains the share of refusals, but it
// is no violation.
func (d *deploymentReport) upstreamKilled() bool {
	return slices.ContainsFunc(d.upstreams, func(u upstreamReport) bool { return u.killed })
}

func (d *deploymentReport) wrongServicePackets() uint64 {
	var n uint64
	for _, u := range d.upstreams {
		n += u.WrongServicePackets
	}
	return n
}

// runTwice returns the requests that ran more than once, on one upstream or on
// several.
func (d *deploymentReport) runTwice() []standin.Run {
	var runs [][]standin.Run
	for _, u := range d.upstreams {
		runs = append(runs, u.Runs)
	}
	return standin.Duplicates(runs...)
}

// violations returns the violations found during the run and those that the reports of
// the stand-ins show. The guarantees are those of section 1.1 of the design.
func (d *deploymentReport) violations() []string {
	list := append([]string(nil), d.runViolations...)
	report := func(broken bool, format string, args ...any) {
		if broken {
			list = append(list, d.deployment+": "+fmt.Sprintf(format, args...))
		}
	}
	c := d.clients
	report(c.BrokenPlanned > 0, "%d flows broken by planned changes or by a balancer's death", c.BrokenPlanned)
	report(d.wrongServicePackets() > 0, "%d packets reached another service", d.wrongServicePackets())
	report(c.WrongService > 0, "%d responses came from another service", c.WrongService)
	report(c.Mismatched > 0, "%d responses do not belong to their requests", c.Mismatched)
	report(d.overPlan > 0, "a customer had %d connections above its plan", d.overPlan)
	report(d.refusedUnderPlan > maxRefusedUnderPlan && !d.upstreamKilled(), "%.2f%% of a customer's attempts were refused below its plan", 100*d.refusedUnderPlan)
	twice := d.runTwice()
	report(len(twice) > 0, "%d requests ran more than once", len(twice))
	ran, complete := d.distinctRuns(len(twice))
	report(complete && c.ResponsesExpected > ran, "%d responses, but only %d requests are recorded as run", c.ResponsesExpected, ran)
	report(c.ResponsesExpected == 0, "no request was answered")
	for _, u := range d.upstreams {
		late := u.newFlowDelay()
		report(late > maxNewFlowDelay, "%s accepted a new flow %s after its drain began", u.Name, late.Round(time.Millisecond))
	}
	return list
}

// distinctRuns returns the number of different requests that ran, and whether the reports
// contain all of them.
func (d *deploymentReport) distinctRuns(repeated int) (uint64, bool) {
	n, complete := uint64(0), true
	for _, u := range d.upstreams {
		n += uint64(len(u.Runs))
		complete = complete && u.Dropped == 0
	}
	return n - uint64(repeated), complete
}

// newFlowDelay returns the time from the start of the drain to the latest new flow, or zero if
// there was none after it.
func (u *upstreamReport) newFlowDelay() time.Duration {
	if u.drainStart.IsZero() || u.FlowsOpened == 0 {
		return 0
	}
	return max(0, time.Unix(0, int64(u.LastOpen)).Sub(u.drainStart))
}
