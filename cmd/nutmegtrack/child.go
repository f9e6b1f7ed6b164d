package main

import (
	"fmt"
	"os"
	"strings"
)

// runChild runs the subcommand of a parent that was given, else names the choices.
func runChild(parent string, list []command) int {
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
