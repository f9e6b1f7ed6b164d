package demo

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// newWorkBound is the maximum time after the start of a drain at which the upstream may
// still receive a new flow (guarantee 6).
const newWorkBound = 3 * time.Second

// refusedBound is the maximum share of a customer's attempts that may be refused while
// the customer is below its plan, as long as no tokens are lost.
const refusedBound = 0.001

// lostTokens reports whether an upstream was killed. Its tokens are issued again only
// after its admission lease has expired, and until then customers may be refused below
// their plan. The share of refusals is reported in this case too.
func (o *observed) lostTokens() bool {
	return slices.ContainsFunc(o.upstreams, func(u upstreamObserved) bool { return u.killed })
}

func (o *observed) wrongServicePackets() uint64 {
	var n uint64
	for _, u := range o.upstreams {
		n += u.WrongServicePackets
	}
	return n
}

// runTwice returns the requests that ran more than once, on one upstream or on
// several.
func (o *observed) runTwice() []standin.Run {
	var records [][]standin.Run
	for _, u := range o.upstreams {
		records = append(records, u.Runs)
	}
	return standin.Duplicates(records...)
}

// violations returns the violations found during the run and those that the records of
// the stand-ins show. The guarantees are those of section 1.1 of the design.
func (o *observed) violations() []string {
	list := append([]string(nil), o.notes...)
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
	report(o.refused > refusedBound && !o.lostTokens(), "%.2f%% of a customer's attempts were refused below its plan", 100*o.refused)
	twice := o.runTwice()
	report(len(twice) > 0, "%d requests ran more than once", len(twice))
	ran, complete := o.distinctRuns(len(twice))
	report(complete && c.ResponsesExpected > ran, "%d responses, but only %d requests are recorded as run", c.ResponsesExpected, ran)
	report(c.ResponsesExpected == 0, "no request was answered")
	for _, u := range o.upstreams {
		late := u.lateWork()
		report(late > newWorkBound, "%s accepted a new flow %s after its drain began", u.Name, late.Round(time.Millisecond))
	}
	return list
}

// distinctRuns returns the number of different requests that ran, and whether the records
// contain all of them.
func (o *observed) distinctRuns(repeated int) (uint64, bool) {
	n, complete := uint64(0), true
	for _, u := range o.upstreams {
		n += uint64(len(u.Runs))
		complete = complete && u.Dropped == 0
	}
	return n - uint64(repeated), complete
}

// lateWork returns the time from the start of the drain to the latest new flow, or zero if
// there was none after it.
func (u *upstreamObserved) lateWork() time.Duration {
	if u.drained.IsZero() || u.FlowsOpened == 0 {
		return 0
	}
	return max(0, time.Unix(0, int64(u.LastOpen)).Sub(u.drained))
}
