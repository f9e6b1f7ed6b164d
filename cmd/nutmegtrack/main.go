// Command nutmegtrack is the operator's tool: it edits the lists, shows the state
// of processes, and runs the demo, the benchmarks and the stand-ins.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Exit statuses. See also exitUnknown.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is a subcommand with its arguments and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func() int
}

// commands lists the constructors of all subcommands, in the order of the help text.
var commands = []func() command{
	newBalancer,
	newAgent,
	newDump,
	newDrain,
	newStatus,
	newTrace,
	newLosses,
	newSettings,
	newCustomers,
	newPlans,
	newEditStatus,
	newStandin,
	newDemo,
	newSoak,
	newBusy,
	newBenchCommand,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flaggy.NewParser("nutmegtrack")
	parser.Description = "layer-4 load balancer: operator's tool"
	parser.ShowVersionWithVersionFlag = false
	list := make([]command, len(commands))
	for i, newCommand := range commands {
		list[i] = newCommand()
		parser.AttachSubcommand(list[i].sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack:", err)
		return exitUsage
	}
	for _, c := range list {
		if c.sub.Used {
			return c.run()
		}
	}
	parser.ShowHelp()
	return exitUsage
}
