package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

func newSettings() command {
	sub := flaggy.NewSubcommand("settings")
	sub.Description = "settings check balancer|agent FILE: reports all mistakes in a settings file"
	var action, role, file string
	sub.AddPositionalValue(&action, "ACTION", 1, true, "check")
	sub.AddPositionalValue(&role, "ROLE", 2, true, "balancer or agent")
	sub.AddPositionalValue(&file, "FILE", 3, true, "settings file")
	return command{sub: sub, run: func() int { return checkSettings(action, role, file) }}
}

func checkSettings(action, role, file string) int {
	var err error
	switch {
	case action == "check" && role == "balancer":
		_, err = settings.LoadBalancer(file)
	case action == "check" && role == "agent":
		_, err = settings.LoadAgent(file)
	default:
		fmt.Fprintln(os.Stderr, "nutmegtrack settings: want check balancer FILE or check agent FILE")
		return exitUsage
	}
	if err == nil {
		fmt.Println("no mistakes")
		return exitOK
	}
	var found finding.List
	if !errors.As(err, &found) {
		found.Add(finding.Finding{File: file, Message: err.Error()})
	}
	for _, f := range found {
		fmt.Fprintln(os.Stderr, f)
	}
	return exitFailure
}
