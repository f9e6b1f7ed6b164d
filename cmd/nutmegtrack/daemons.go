package main

import (
	"io"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/agent"
	"github.com/nutmegtrack/nutmegtrack/balancer"
	"github.com/nutmegtrack/nutmegtrack/platform"
	"github.com/nutmegtrack/nutmegtrack/process"
)

func newBalancer() command {
	return newDaemon("balancer", "runs the balancer daemon of an entry VM", func(file string, w io.Writer) int {
		return balancer.Run(file, w, platform.BalancerEnvironments)
	})
}

func newAgent() command {
	return newDaemon("agent", "runs the agent daemon of an upstream VM", func(file string, w io.Writer) int {
		return agent.Run(file, w, platform.AgentEnvironments)
	})
}

func newDaemon(name, description string, run func(string, io.Writer) int) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	var file string
	sub.String(&file, "", "settings", "settings file (docs/operations/settings.md)")
	return command{sub: sub, run: func() int { return process.RunFile(name, file, run) }}
}
