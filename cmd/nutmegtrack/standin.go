package main

import (
	"github.com/integrii/flaggy"
)

// standins lists the constructors of the stand-ins, in the order of the help text.
var standins = []func() command{
	newStandinStore,
	newStandinFabric,
	newStandinClient,
	newStandinUpstream,
	newStandinHTTPUpstream,
}

// newStandin returns `standin` with its subcommands.
func newStandin() command {
	sub := flaggy.NewSubcommand("standin")
	sub.Description = "runs a stand-in for a platform component, for tests and the demo"
	list := make([]command, len(standins))
	for i, newCommand := range standins {
		list[i] = newCommand()
		sub.AttachSubcommand(list[i].sub, 1)
	}
	return command{sub: sub, run: func() int { return runSubcommand("standin", list) }}
}
