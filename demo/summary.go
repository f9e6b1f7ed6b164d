package demo

import (
	"fmt"
	"io"
	"slices"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// maxBrokenShown is the maximum number of broken flows that a summary describes.
const maxBrokenShown = 10

// WriteSummary writes the result as text.
func (r *Result) WriteSummary(w io.Writer) {
	for _, d := range r.deployments {
		d.writeSummary(w)
	}
	fmt.Fprintf(w, "all: %d flows opened, %d broken by planned changes, %d broken in all, %d wrong-service packets, %d requests run twice\n",
		r.FlowsOpened, r.FlowsBrokenPlanned, r.FlowsBrokenTotal, r.WrongServicePackets, r.RequestsRunTwice)
	for _, v := range r.violations {
		fmt.Fprintln(w, "violated:", v)
	}
	if len(r.violations) == 0 {
		fmt.Fprintln(w, "no guarantee was violated")
	}
}

func (d *deploymentReport) writeSummary(w io.Writer) {
	c := d.clients
	fmt.Fprintf(w, "%s\n", d.deployment)
	line := func(name, format string, args ...any) {
		fmt.Fprintf(w, "  %-24s %s\n", name, fmt.Sprintf(format, args...))
	}
	line("flows", "%d opened, %d open at most, %d broken by planned changes, %d by others",
		c.FlowsOpened, c.FlowsOpenMax, c.BrokenPlanned, c.BrokenUnplanned)
	line("requests", "%d sent, %d answered, %d run twice, %d mismatched, %d retransmissions",
		c.RequestsSent, c.ResponsesExpected, len(d.runTwice()), c.Mismatched, c.Retransmissions)
	line("packets", "%d through the fabric, %d dropped there, %d to a wrong service",
		d.fabric.Packets, d.fabric.Dropped, d.wrongServicePackets())
	line("plans", "%d connections above a plan, %.2f%% of a customer's attempts refused below its plan, %d flows refused",
		d.overPlan, 100*d.refusedUnderPlan, c.FlowsRefused)
	line("control traffic", "%.0f bytes per second and daemon, mean of %d daemons", d.controlRate, d.daemons)
	for _, b := range d.balance {
		line("imbalance", "%s", b.String())
	}
	d.lists.write(line)
	d.writeBroken(w)
}

// String describes the worst sample.
func (b *imbalance) String() string {
	if b.Samples == 0 {
		return b.Service + ": not measured"
	}
	return fmt.Sprintf("%s: max/mean %.2f, worst of %d samples, open flows %v", b.Service, b.Ratio, b.Samples, b.Open)
}

func (d *deploymentReport) writeBroken(w io.Writer) {
	broken := slices.Clone(d.clients.Broken)
	// Flows broken by planned changes come first, because they violate a guarantee.
	slices.SortStableFunc(broken, func(a, b standin.BrokenFlow) int {
		return plannedRank(a.Planned) - plannedRank(b.Planned)
	})
	for i, b := range broken {
		if i == maxBrokenShown {
			fmt.Fprintf(w, "  and %d more broken flows\n", len(broken)-i)
			return
		}
		fmt.Fprintf(w, "  broken (%s): %s flow %d %s -> %s proto %d: %s at %s, request %d, upstream %q, opened %s %s\n",
			plannedLabel(b.Planned), b.Service, b.Flow, b.Source, b.Dest, b.Proto, b.Reason,
			d.clients.Started.Add(b.Broken).Format("15:04:05.000"), b.Request, b.Upstream,
			d.clients.Started.Add(b.Opened).Format("15:04:05.000"), b.Detail)
	}
}

func plannedRank(planned bool) int {
	if planned {
		return 0
	}
	return 1
}

func plannedLabel(planned bool) string {
	if planned {
		return "planned"
	}
	return "unplanned"
}
