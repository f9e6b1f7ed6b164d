package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/trace"
)

func newTrace() command {
	sub := flaggy.NewSubcommand("trace")
	sub.Description = "prints the history of a flow from logs on standard input (docs/OPERATIONS.md)"
	var flow string
	sub.AddPositionalValue(&flow, "FLOW", 1, true, "identifier of the flow in the log, or ADDRESS:PORT or ADDRESS of its client")
	return command{sub: sub, run: func() int { return runTrace(flow) }}
}

func runTrace(flow string) int {
	records, skipped, err := trace.Read(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack trace:", err)
		return exitFailure
	}
	histories := trace.Histories(records, flow)
	for i := range histories {
		if err := histories[i].Write(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack trace:", err)
			return exitFailure
		}
	}
	fmt.Fprintf(os.Stderr, "%d lines about events, %d others skipped, %d flows\n", len(records), skipped, len(histories))
	if len(histories) == 0 {
		return exitFailure
	}
	return exitOK
}
