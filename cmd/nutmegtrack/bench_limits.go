package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/bench"
)

func newBenchLimits() command {
	o := bench.LimitsOptions{Seed: 1, Upstreams: 7, Customers: 200, Duration: 20 * time.Minute, Load: 0.8, MeanOpen: 250 * time.Second}
	asJSON := false
	sub := flaggy.NewSubcommand("limits")
	sub.Description = "compare methods of enforcing the limits of plans"
	sub.UInt64(&o.Seed, "", "seed", "seed of the run")
	sub.Int(&o.Upstreams, "", "upstreams", "number of agents of the service")
	sub.Int(&o.Customers, "", "customers", "number of customers")
	sub.Duration(&o.Duration, "", "duration", "virtual time of a run")
	sub.Duration(&o.MeanOpen, "", "mean-open", "mean time for which a connection stays open")
	sub.Float64(&o.Load, "", "load", "mean utilisation of each plan (1: fully used)")
	sub.Bool(&o.Faults, "", "faults", "inject faults: lost and duplicated messages, VMs that are partitioned, paused or lost, grantor replacement, plan edits")
	sub.Bool(&asJSON, "", "json", "print one JSON object per line")
	return command{sub: sub, run: func() int { return runBenchLimits(o, asJSON) }}
}

func runBenchLimits(o bench.LimitsOptions, asJSON bool) int {
	if err := o.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack: bench limits:", err)
		return exitUsage
	}
	for _, variant := range bench.LimitsVariants {
		if err := printLimits(bench.RunLimits(o, variant), asJSON); err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack:", err)
			return exitFailure
		}
	}
	return exitOK
}

func printLimits(r bench.LimitsResult, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	_, err := fmt.Printf("%-28s connections over plan %d; refused below plan %.3f%%; longest refusal %.2f s; admitted share of other customers changed by %.2f%%; control %.0f B/s\n",
		r.Variant, r.OverPlanMax, 100*r.RefusedUnderPlanShare, r.RefusalSecondsMax, 100*r.VictimShareChange, r.ControlBytesPerSecond)
	return err
}
