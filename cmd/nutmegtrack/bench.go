package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/bench"
)

// benchmarks lists the constructors of the subcommands of "bench".
var benchmarks = []func() command{
	newBenchFlows,
	newBenchLimits,
	newBenchLoad,
	newBenchRequests,
	newBenchSlopes,
}

// newBenchCommand returns the subcommand "bench" with its own subcommands.
func newBenchCommand() command {
	sub := flaggy.NewSubcommand("bench")
	sub.Description = "measure placement, limits, request handling and growth of cost in simulations with virtual time"
	list := make([]command, len(benchmarks))
	names := make([]string, len(benchmarks))
	for i, newBenchmark := range benchmarks {
		list[i] = newBenchmark()
		names[i] = list[i].sub.Name
		sub.AttachSubcommand(list[i].sub, 1)
	}
	return command{sub: sub, run: func() int {
		for _, c := range list {
			if c.sub.Used {
				return c.run()
			}
		}
		fmt.Fprintln(os.Stderr, "nutmegtrack: bench needs one of:", strings.Join(names, ", "))
		return exitUsage
	}}
}

func newBenchFlows() command {
	cfg := bench.FlowsConfig{Seed: 1}.WithDefaults()
	asJSON := false
	sub := flaggy.NewSubcommand("flows")
	sub.Description = "compare the placement policies while the fleet changes"
	sub.UInt64(&cfg.Seed, "", "seed", "seed of the run")
	sub.Int(&cfg.Upstreams, "", "upstreams", "number of upstreams of the service whose fleet changes")
	sub.Int(&cfg.Balancers, "", "balancers", "number of balancers")
	sub.Int(&cfg.Changes, "", "changes", "number of changes; on average every third consists of two changes at the same instant")
	sub.Duration(&cfg.Interval, "", "interval", "time between changes")
	sub.Duration(&cfg.Lag, "", "lag", "maximum delay until a process receives a change")
	sub.Float64(&cfg.Threshold, "", "threshold", "by how many open flows an upstream must exceed the next choice and the mean to hand off new flows, as a share of the mean")
	sub.Float64(&cfg.MessageLoss, "", "message-loss", "share of agent messages and hints that are lost")
	sub.Bool(&asJSON, "", "json", "print one JSON object per line")
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
	_, err := fmt.Printf("%-15s broken %d planned, %d balancer death; wrong service %d; max/mean %.3f; packets detoured %.2f%%; control %.0f B/s\n",
		r.Policy, r.BrokenPlanned, r.BrokenBalancerDeath, r.WrongService, r.MaxOverMean, 100*r.DetouredShare, r.ControlBytesPerSecond)
	return err
}
