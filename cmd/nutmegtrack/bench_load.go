package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/bench/loadsim"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// loadOptions are the options of "bench load".
type loadOptions struct {
	workload, policy string
	seed             uint64
	seeds            int
	asJSON           bool
}

func newBenchLoad() command {
	o := loadOptions{seed: 1, seeds: 3}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "compare policies of accepting, holding and refusing flows under a workload (docs/load.md)"
	sub.AddPositionalValue(&o.workload, "WORKLOAD", 1, true, "settings file of the workload, such as examples/load/power-failure.json")
	sub.String(&o.policy, "", "policy", "run only this policy")
	sub.UInt64(&o.seed, "", "seed", "seed of the first run")
	sub.Int(&o.seeds, "", "seeds", "number of runs, each with the next seed")
	sub.Bool(&o.asJSON, "", "json", "print one JSON object per line, one for each run")
	return command{sub: sub, run: func() int { return runBenchLoad(o) }}
}

func runBenchLoad(o loadOptions) int {
	w, err := settings.LoadWorkload(o.workload)
	if err == nil && (o.seeds < 1 || o.seeds > 1000) {
		err = fmt.Errorf("seeds is %d; it must be from 1 to 1000", o.seeds)
	}
	policies := loadsim.Policies
	if err == nil && o.policy != "" {
		var p loadsim.Policy
		p, err = loadsim.FindPolicy(o.policy)
		policies = []loadsim.Policy{p}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack: bench load:", err)
		return exitUsage
	}
	for _, p := range policies {
		if err := printLoad(loadsim.RunSeeds(&w, p, o.seed, o.seeds), o.asJSON); err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack:", err)
			return exitFailure
		}
	}
	return exitOK
}

func printLoad(runs []loadsim.Result, asJSON bool) error {
	if asJSON {
		out := json.NewEncoder(os.Stdout)
		for i := range runs {
			if err := out.Encode(runs[i]); err != nil {
				return err
			}
		}
		return nil
	}
	mean, spread := loadsim.Summarize(runs)
	_, err := fmt.Printf("%-16s worth %.3f (spread %.3f), worst windows %.3f; of %d requests %d in time, %d late, %d failed; attempts reset %d, silent %d, rejected %d\n",
		mean.Policy, mean.Worth, spread, mean.Worst, mean.Requests, mean.InTime, mean.Late, mean.Failed, mean.Reset, mean.Silent, mean.Rejected)
	return err
}
