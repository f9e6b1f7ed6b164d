package main

import (
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

func newCustomers() command {
	return newList(plan.CustomersList, "shows and edits the list of customers", newCustomersSet, newRemove)
}

func newPlans() command {
	return newList(plan.PlansList, "shows and edits the list of plans", newPlansSet, newPlansRemove)
}

// newList returns the command of one list with its subcommands, shared and own.
func newList(list, description string, own ...func(*listCommand) command) command {
	sub := flaggy.NewSubcommand(list)
	sub.Description = description
	shared := []func(*listCommand) command{newGet, newApply, newDiff, newHistory, newValidate, newEdit}
	var subcommands []command
	for _, newCommand := range append(shared, own...) {
		subcommand := newCommand(newListCommand(list))
		subcommands = append(subcommands, subcommand)
		sub.AttachSubcommand(subcommand.sub, 1)
	}
	return command{sub: sub, run: func() int { return runSubcommand(list, subcommands) }}
}
