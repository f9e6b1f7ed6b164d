package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/platform/report"
	"github.com/nutmegtrack/nutmegtrack/trace"
)

func newLosses() command {
	sub := flaggy.NewSubcommand("losses")
	sub.Description = "prints where a day of the users' bench lost credit, from its report and the logs on standard input (docs/load.md)"
	var file string
	sub.AddPositionalValue(&file, "REPORT", 1, true, "file that the bench has written with --report")
	return command{sub: sub, run: func() int { return runLosses(file) }}
}

func runLosses(reportFile string) int {
	windows, log, err := readDay(reportFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack losses:", err)
		return exitUsage
	}
	start, err := report.StartOfTraffic(bytes.NewReader(log))
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack losses:", err)
		return exitUsage
	}
	records, skipped, err := trace.Read(bytes.NewReader(log))
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack losses:", err)
		return exitFailure
	}
	for _, l := range trace.Losses(windows, records, start) {
		if err := l.Write(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack losses:", err)
			return exitFailure
		}
	}
	fmt.Fprintf(os.Stderr, "%d lines about events, %d others skipped\n", len(records), skipped)
	return exitOK
}

func readDay(reportFile string) ([]trace.Window, []byte, error) {
	f, err := os.Open(reportFile)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	windows, err := report.Read(f)
	if err != nil {
		return nil, nil, errors.Wrap(err, reportFile)
	}
	log, err := io.ReadAll(os.Stdin)
	return windows, log, err
}
