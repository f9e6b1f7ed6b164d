package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/bench"
)

func newBenchSlopes() command {
	repeats, asJSON := 0, false
	sub := flaggy.NewSubcommand("slopes")
	sub.Description = "measure how the cost of each role grows with the fleet"
	sub.Int(&repeats, "", "repeats", "number of repetitions; the lowest CPU time and memory use count (0: 5)")
	sub.Bool(&asJSON, "", "json", "print one JSON object per line")
	return command{sub: sub, run: func() int { return runBenchSlopes(repeats, asJSON) }}
}

func runBenchSlopes(repeats int, asJSON bool) int {
	if repeats < 0 {
		fmt.Fprintf(os.Stderr, "nutmegtrack: bench slopes: repeats: %d is negative\n", repeats)
		return exitUsage
	}
	var failed error
	bench.RunSlopes(repeats, func(s bench.Slope) {
		if err := printSlope(s, asJSON); err != nil && failed == nil {
			failed = err
		}
	})
	if failed != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack:", failed)
		return exitFailure
	}
	return exitOK
}

func printSlope(s bench.Slope, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	_, err := fmt.Printf("%-24s %-12s %12.4g + %12.4g per %s, fit error %.1f%%: %s\n",
		s.Role, s.Quantity, s.Intercept, s.Slope, s.Per, 100*s.FitError, s.Operation)
	return err
}
