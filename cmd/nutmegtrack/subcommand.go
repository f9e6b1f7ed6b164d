package main

import (
	"fmt"
	"os"
	"strings"
)

// runSubcommand runs the subcommand of a parent that is on the command line. Without one it
// prints the available subcommands.
func runSubcommand(parent string, list []command) int {
	names := make([]string, len(list))
	for i, c := range list {
		if c.sub.Used {
			return c.run()
		}
		names[i] = c.sub.Name
	}
	fmt.Fprintf(os.Stderr, "nutmegtrack: %s needs one of: %s\n", parent, strings.Join(names, ", "))
	return exitUsage
}
