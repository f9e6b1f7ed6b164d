package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
)

// newEdit returns `edit`, which opens the list in the operator's editor.
func newEdit(c *listCommand) command {
	sub := flaggy.NewSubcommand("edit")
	sub.Description = "opens the list in $EDITOR and applies it"
	c.editOptions(sub)
	return command{sub: sub, run: c.editInEditor}
}

// editInEditor runs the edit and returns the exit status. It keeps the operator's file
// unless the edit was accepted, so that no work is lost.
func (c *listCommand) editInEditor() int {
	if c.author == "" {
		return c.fail(badInput("missing author of the edit: use --author"))
	}
	file, err := os.CreateTemp("", "nutmegtrack-"+c.list+"-*.json")
	if err != nil {
		return c.fail(err)
	}
	file.Close()
	name := file.Name()
	status := c.editFile(name)
	if status == exitOK {
		os.Remove(name)
		return exitOK
	}
	fmt.Fprintf(c.err, "nutmegtrack: the edited list is kept in %s\n", name)
	return status
}

func (c *listCommand) editFile(name string) int {
	var editor *edit.Editor
	var base *edit.Snapshot
	status := c.run(func(ctx context.Context) int {
		var err error
		if editor, base, err = c.read(ctx, c.files(name)); err != nil {
			return c.fail(err)
		}
		text := edit.AddMarker(c.list, base.Head, c.document(base.Docs))
		if err := os.WriteFile(name, text, 0o600); err != nil {
			return c.fail(err)
		}
		return exitOK
	})()
	if status != exitOK {
		return status
	}
	if err := runEditor(name); err != nil {
		return c.fail(err)
	}
	return c.run(func(ctx context.Context) int {
		return c.apply(ctx, editor, base, func(d plan.Documents) (plan.Documents, error) {
			text, err := readInput(name)
			return c.replace(d, text), err
		})
	})()
}

// runEditor runs $EDITOR in a shell, because the variable may contain arguments.
func runEditor(name string) error {
	command := os.Getenv("EDITOR")
	if command == "" {
		return badInput("the environment variable EDITOR is not set")
	}
	process := exec.Command("sh", "-c", command+` "$1"`, "sh", name)
	process.Stdin, process.Stdout, process.Stderr = os.Stdin, os.Stdout, os.Stderr
	return errors.Mark(errors.Wrapf(process.Run(), "%s", command), errInput)
}
