package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/bench"
)

func newBenchRequests() command {
	cfg := bench.RequestsConfig{Seed: 1, Requests: 100_000}
	asJSON, trace := false, false
	sub := flaggy.NewSubcommand("requests")
	sub.Description = "compare ways of running non-idempotent requests at most once, under faults"
	sub.UInt64(&cfg.Seed, "", "seed", "seed of the run")
	sub.Int(&cfg.Requests, "", "requests", "number of requests that callers send, for each variant")
	sub.Bool(&asJSON, "", "json", "print one JSON object per line")
	sub.Bool(&trace, "", "trace", "print each violation to standard error")
	return command{sub: sub, run: func() int {
		if trace {
			cfg.Trace = func(line string) { fmt.Fprintln(os.Stderr, line) }
		}
		return runBenchRequests(cfg, asJSON)
	}}
}

func runBenchRequests(cfg bench.RequestsConfig, asJSON bool) int {
	if err := cfg.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack: bench requests:", err)
		return exitUsage
	}
	for _, r := range bench.RunRequests(cfg) {
		if err := printRequests(r, asJSON); err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack:", err)
			return exitFailure
		}
	}
	return exitOK
}

func printRequests(r bench.RequestsResult, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	_, err := fmt.Printf("%-13s %d requests: run twice %d; reported as not run but run %d; wrong or truncated answers %d; unknown %.4f%%; refused %.2f%%; slots in use %.1f%%; queue p99 %.2f of the deadline; store %.0f writes/s; control %.0f B/s\n",
		r.Variant, r.Requests, r.RunTwice, r.NotRunButRun, r.Crossed, 100*r.UnknownShare, 100*r.RefusedShare, 100*r.SlotUse,
		r.QueueP99OverDeadline, r.StoreWritesPerSecond, r.ControlBytesPerSecond)
	return err
}
