package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/bench"
)

// newBenchCommand returns the subcommand "bench" with its own subcommands.
func newBenchCommand() command {
	sub := flaggy.NewSubcommand("bench")
	sub.Description = "measure the decision packages in virtual time"
	flows := newBenchFlows()
	sub.AttachSubcommand(flows.sub, 1)
	requests := newBenchRequests()
	sub.AttachSubcommand(requests.sub, 1)
	return command{sub: sub, run: func() int {
		if flows.sub.Used {
			return flows.run()
		}
		if requests.sub.Used {
			return requests.run()
		}
		fmt.Fprintln(os.Stderr, "nutmegtrack: bench: name what to measure: flows, requests")
		return exitUsage
	}}
}

func newBenchFlows() command {
	cfg := bench.FlowsConfig{Seed: 1, Upstreams: 7, Balancers: 4, Changes: 12, Lag: 10 * time.Second, Interval: 20 * time.Second, Threshold: 0.05}
	asJSON := false
	sub := flaggy.NewSubcommand("flows")
	sub.Description = "compare the placement policies while the fleet changes"
	sub.UInt64(&cfg.Seed, "", "seed", "seed of the run")
	sub.Int(&cfg.Upstreams, "", "upstreams", "upstreams of the service whose fleet changes")
	sub.Int(&cfg.Balancers, "", "balancers", "number of balancers")
	sub.Int(&cfg.Changes, "", "changes", "number of changes; every third is a pair")
	sub.Duration(&cfg.Interval, "", "interval", "time between changes")
	sub.Duration(&cfg.Lag, "", "lag", "greatest delay until a process learns of a change")
	sub.Float64(&cfg.Threshold, "", "threshold", "excess that causes a hand-off, share of the mean")
	sub.Float64(&cfg.MessageLoss, "", "message-loss", "share of agent messages and hints that are lost")
	sub.Bool(&asJSON, "", "json", "print one JSON object a line")
	return command{sub: sub, run: func() int { return runBenchFlows(cfg, asJSON) }}
}

func runBenchFlows(cfg bench.FlowsConfig, asJSON bool) int {
	if err := cfg.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack: bench flows:", err)
		return exitUsage
	}
	for _, r := range bench.RunFlows(cfg) {
		if err := printFlows(r, asJSON); err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack:", err)
			return exitFailure
		}
	}
	return exitOK
}

func printFlows(r bench.FlowsResult, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	_, err := fmt.Printf("%-15s broken %d planned, %d balancer death; wrong service %d; max/mean %.3f; detoured %.2f%%; control %.0f B/s\n",
		r.Policy, r.BrokenPlanned, r.BrokenBalancerDeath, r.WrongService, r.MaxOverMean, 100*r.DetouredShare, r.ControlBytesPerSecond)
	return err
}
