package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
)

// newApply returns `apply`, which replaces a list with a file.
func newApply(c *listCommand) command {
	sub := flaggy.NewSubcommand("apply")
	sub.Description = "replaces the list with a file"
	c.editOptions(sub)
	var file, base string
	sub.AddPositionalValue(&file, "FILE", 1, true, "the new list, - for standard input")
	sub.String(&base, "", "base", `revision that the file was made from, or "latest"; default: the file's first line as "get" prints it`)
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		return c.applyFile(ctx, file, base)
	})}
}

func (c *listCommand) applyFile(ctx context.Context, file, base string) int {
	text, err := readInput(file)
	if err != nil {
		return c.fail(err)
	}
	editor, current, err := c.read(ctx, c.files(file))
	if err != nil {
		return c.fail(err)
	}
	madeFrom, err := baseOf(text, base, current.Head.Revision)
	if err != nil {
		return c.fail(err)
	}
	if !madeFrom.Is(current.Head) {
		return c.report(editor.StaleOutcome(ctx, madeFrom.Revision, current))
	}
	return c.apply(ctx, editor, current, func(d plan.Documents) (plan.Documents, error) {
		return c.replace(d, text), nil
	})
}

// baseOf returns the revision on which a file is based. Without a marker the operator
// has to give the revision, because applying an old file would undo edits of others.
func baseOf(text []byte, option string, headRevision int64) (edit.Base, error) {
	if option == "latest" {
		return edit.Base{Revision: headRevision}, nil
	}
	if option != "" {
		revision, err := strconv.ParseInt(option, 10, 64)
		if err != nil || revision < 0 {
			return edit.Base{}, badInput("--base %q is neither a revision nor \"latest\"", option)
		}
		return edit.Base{Revision: revision}, nil
	}
	if base, ok := edit.Marker(text); ok {
		return base, nil
	}
	if headRevision == 0 {
		return edit.Base{}, nil
	}
	return edit.Base{}, badInput("the file has no marker of the revision on which it is based; use a file that \"get\" printed, or give --base REVISION or --base latest")
}

// newValidate returns `validate`, which checks a file without changing the store.
func newValidate(c *listCommand) command {
	sub := flaggy.NewSubcommand("validate")
	sub.Description = "checks a file together with the other list, without changing the store"
	c.options(sub)
	c.capacityOption(sub)
	var file, other string
	sub.AddPositionalValue(&file, "FILE", 1, true, "the list, - for standard input")
	sub.String(&other, "", "other", "file with the other list; default: the store's")
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		return c.validate(ctx, file, other)
	})}
}

func (c *listCommand) validate(ctx context.Context, file, other string) int {
	text, err := readInput(file)
	if err != nil {
		return c.fail(err)
	}
	files := c.files(file)
	docs, err := c.otherList(ctx, other, &files)
	if err != nil {
		return c.fail(err)
	}
	capacities, err := c.readCapacities()
	if err != nil {
		return c.fail(err)
	}
	_, findings := plan.Parse(c.replace(docs, text), files, capacities)
	if c.asJSON {
		c.printJSON(findings)
	} else if len(findings) > 0 {
		fmt.Fprintln(c.out, findings)
	}
	if len(findings) > 0 {
		return exitUsage
	}
	return exitOK
}

// otherList returns documents with the other list, read from a file or the store. This
// command's list in them is meaningless; the caller replaces it.
func (c *listCommand) otherList(ctx context.Context, file string, files *plan.Files) (plan.Documents, error) {
	if file == "" {
		_, current, err := c.read(ctx, *files)
		if err != nil {
			return plan.Documents{}, err
		}
		return current.Docs, nil
	}
	text, err := readInput(file)
	if c.list == plan.PlansList {
		files.Customers = file
	} else {
		files.Plans = file
	}
	return plan.Documents{Customers: text, Plans: text}, err
}
