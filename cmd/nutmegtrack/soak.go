package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/soak"
)

func newSoak() command {
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "runs the daemons under faults and checks the guarantees (docs/soak.md)"
	cfg := soak.Config{Seconds: 20, Seed: 1, Busy: soak.RandomBusy}
	runs := 1
	sub.Float64(&cfg.Pause, "", "pause", "maximum pause between the starts of two faults, seconds (default: random)")
	sub.Float64(&cfg.Seconds, "", "seconds", "duration of fault injection in each run")
	sub.UInt64(&cfg.Seed, "", "seed", "seed of the first run")
	sub.Int(&runs, "", "runs", "number of runs, with consecutive seeds")
	sub.Int(&cfg.Balancers, "", "balancers", "number of balancers (default 3)")
	sub.Int(&cfg.Upstreams, "", "upstreams", "number of upstreams of each of two services (default 3)")
	sub.Int(&cfg.Clients, "", "clients", "number of client machines (default 6)")
	sub.Int(&cfg.Busy, "", "busy", "number of processes that compute all the time beside the run (default: random, for a third of the seeds)")
	sub.Float64(&cfg.Cold, "", "cold", "new flows a second that a server which has just started may be given (default 0: no limit)")
	sub.String(&cfg.Only, "", "only", "inject only the faults whose names contain this text")
	var quiet, keep bool
	sub.Bool(&quiet, "", "quiet", "do not print the faults")
	sub.Bool(&keep, "", "keep", "keep settings and logs, which are always kept after a violation")
	return command{sub: sub, run: func() int { return runSoak(cfg, runs, quiet, keep) }}
}

func runSoak(cfg soak.Config, runs int, quiet, keep bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack soak:", err)
		return exitFailure
	}
	status := exitOK
	for range runs {
		if code := runSoakOnce(ctx, cfg, quiet, keep); code != exitOK {
			status = code
		}
		if ctx.Err() != nil {
			return exitFailure
		}
		cfg.Seed++
	}
	return status
}

func runSoakOnce(ctx context.Context, cfg soak.Config, quiet, keep bool) int {
	dir, err := os.MkdirTemp("", "nutmegtrack-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack soak:", err)
		return exitFailure
	}
	cfg.Dir, cfg.Progress = dir, os.Stderr
	if quiet {
		null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
		if err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack soak:", err)
			return exitFailure
		}
		defer null.Close()
		cfg.Progress = null
	}
	result, failed := soak.Run(ctx, cfg)
	text, err := json.Marshal(&result)
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack soak:", err)
		return exitFailure
	}
	fmt.Println(string(text))
	for _, v := range result.Violations {
		fmt.Fprintln(os.Stderr, "violation:", v)
	}
	if failed != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack soak: the run failed:", failed)
	}
	if len(result.Violations) > 0 || failed != nil || keep {
		fmt.Fprintln(os.Stderr, "settings and logs are in", dir)
	} else if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack soak:", err)
	}
	if len(result.Violations) > 0 || failed != nil {
		return exitFailure
	}
	return exitOK
}

// newBusy returns the subcommand of the busy processes that a soak starts.
func newBusy() command {
	sub := flaggy.NewSubcommand("busy")
	sub.Description = "computes all the time, until its standard input ends"
	sub.Hidden = true
	return command{sub: sub, run: func() int {
		if err := soak.Spin(os.Stdin); err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack busy:", err)
			return exitFailure
		}
		return exitOK
	}}
}
