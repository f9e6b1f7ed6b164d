package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/demo"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

// newDemo returns `demo`.
func newDemo() command {
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "runs complete deployments on this machine and checks the guarantees"
	cfg := demo.Config{Seconds: 20, Seed: 1, Progress: os.Stderr}
	var asJSON bool
	var deployment, fault string
	sub.Float64(&cfg.Seconds, "", "seconds", "duration of the load in seconds")
	sub.UInt64(&cfg.Seed, "", "seed", "seed for the load and the changes")
	sub.Int(&cfg.Flows, "", "flows", "open flows for each service (default 300)")
	sub.String(&deployment, "", "deployment", "kel-impact or al-harthy (default: both)")
	sub.Bool(&asJSON, "", "json", "print one JSON object as the last line")
	sub.Bool(&cfg.Keep, "", "keep", "keep the directory with settings and logs")
	sub.Bool(&cfg.KillUpstream, "", "kill-upstream", "also kill an upstream, which loses its flows")
	sub.String(&fault, "", "fault", "fault injected in one upstream of each service")
	sub.Flags[len(sub.Flags)-1].Hidden = true // for tests of the demo itself
	return command{sub: sub, run: func() int {
		var err error
		if cfg.Fault, err = standin.ParseFault(fault); err != nil {
			return failDemo(err, exitUsage)
		}
		if deployment != "" {
			cfg.Deployments = []string{deployment}
		}
		return runDemo(cfg, asJSON)
	}}
}

func failDemo(err error, status int) int {
	fmt.Fprintln(os.Stderr, "nutmegtrack: demo:", err)
	return status
}

// runDemo runs the demo; SIGINT, SIGTERM and SIGHUP end it with all its processes.
func runDemo(cfg demo.Config, asJSON bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	var err error
	if cfg.Executable, err = os.Executable(); err != nil {
		return failDemo(err, exitFailure)
	}
	result, err := demo.Run(ctx, cfg)
	if err != nil {
		return failDemo(err, exitFailure)
	}
	result.WriteSummary(os.Stdout)
	if asJSON {
		// Encoding cannot fail, as the result holds only numbers, and an error on a closed
		// standard output cannot be reported.
		_ = json.NewEncoder(os.Stdout).Encode(result)
	}
	if len(result.Violations()) > 0 {
		return exitFailure
	}
	return exitOK
}
