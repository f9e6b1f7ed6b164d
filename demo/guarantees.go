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

// lostTokens reports whether an upstream was killed. Its tokens are issued again only
// after its admission lease has expired, and until then customers may be refused below
// their plan. The share of refusals is reported in this case too.
func (o *deploymentReport) lostTokens() bool {
	return slices.ContainsFunc(o.upstreams, func(u upstreamRecord) bool { return u.killed })
}

func (o *deploymentReport) wrongServicePackets() uint64 {
	var n uint64
	for _, u := range o.upstreams {
		n += u.WrongServicePackets
	}
	return n
}

// runTwice returns the requests that ran more than once, on one upstream or on
// several.
func (o *deploymentReport) runTwice() []standin.Run {
	var records [][]standin.Run
	for _, u := range o.upstreams {
		records = append(records, u.Runs)
	}
	return standin.Duplicates(records...)
}

// violations returns the violations found during the run and those that the records of
// the stand-ins show. The guarantees are those of section 1.1 of the design.
func (o *deploymentReport) violations() []string {
	list := append([]string(nil), o.runViolations...)
	report := func(broken bool, format string, args ...any) {
		if broken {
			list = append(list, o.deployment+": "+fmt.Sprintf(format, args...))
		}
	}
	c := o.clients
	report(c.BrokenPlanned > 0, "%d flows broken by planned changes or by a balancer's death", c.BrokenPlanned)
	report(o.wrongServicePackets() > 0, "%d packets reached another service", o.wrongServicePackets())
	report(c.WrongService > 0, "%d responses came from another service", c.WrongService)
	report(c.Mismatched > 0, "%d responses do not belong to their requests", c.Mismatched)
	report(o.overPlan > 0, "a customer had %d connections above its plan", o.overPlan)
	report(o.refusedUnderPlan > maxRefusedUnderPlan && !o.lostTokens(), "%.2f%% of a customer's attempts were refused below its plan", 100*o.refusedUnderPlan)
	twice := o.runTwice()
	report(len(twice) > 0, "%d requests ran more than once", len(twice))
	ran, complete := o.distinctRuns(len(twice))
	report(complete && c.ResponsesExpected > ran, "%d responses, but only %d requests are recorded as run", c.ResponsesExpected, ran)
	report(c.ResponsesExpected == 0, "no request was answered")
	for _, u := range o.upstreams {
		late := u.newFlowDelay()
		report(late > maxNewFlowDelay, "%s accepted a new flow %s after its drain began", u.Name, late.Round(time.Millisecond))
	}
	return list
}

// distinctRuns returns the number of different requests that ran, and whether the records
// contain all of them.
func (o *deploymentReport) distinctRuns(repeated int) (uint64, bool) {
	n, complete := uint64(0), true
	for _, u := range o.upstreams {
		n += uint64(len(u.Runs))
		complete = complete && u.Dropped == 0
	}
	return n - uint64(repeated), complete
}

// newFlowDelay returns the time from the start of the drain to the latest new flow, or zero if
// there was none after it.
func (u *upstreamRecord) newFlowDelay() time.Duration {
	if u.drainStart.IsZero() || u.FlowsOpened == 0 {
		return 0
	}
	return max(0, time.Unix(0, int64(u.LastOpen)).Sub(u.drainStart))
}
