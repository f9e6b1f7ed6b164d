package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

// newEditStatus returns `edit-status`, which resolves the unknown outcome of an earlier edit.
func newEditStatus() command {
	return editStatus(newListCommand(""))
}

func editStatus(c *listCommand) command {
	sub := flaggy.NewSubcommand("edit-status")
	sub.Description = "reports whether an edit was accepted"
	c.options(sub)
	var id string
	sub.AddPositionalValue(&id, "ID", 1, true, "the edit's ID")
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		editor, err := c.editor(plan.DefaultFiles)
		if err != nil {
			return c.fail(err)
		}
		outcome, err := editor.Status(ctx, id)
		if err != nil {
			return c.fail(err)
		}
		return c.report(outcome)
	})}
}
