package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
)

// currentRevision is the value of a revision option for the current revision.
const currentRevision = -1

// newGet returns `get`, which prints a list with the marker of its revision.
func newGet(c *listCommand) command {
	sub := flaggy.NewSubcommand("get")
	sub.Description = "prints the list with its comments"
	c.options(sub)
	var revision int64 = currentRevision
	sub.Int64(&revision, "", "revision", "an earlier revision (-1: the current one)")
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		editor, snapshot, err := c.read(ctx, plan.DefaultFiles)
		if err == nil {
			snapshot, err = snapshotAt(ctx, editor, snapshot, revision)
		}
		if err != nil {
			return c.fail(err)
		}
		if c.asJSON {
			return c.printList(snapshot)
		}
		c.out.Write(edit.AddMarker(c.list, snapshot.Head, c.document(snapshot.Docs)))
		return exitOK
	})}
}

// snapshotAt returns the snapshot of a revision; current is the current snapshot.
func snapshotAt(ctx context.Context, editor *edit.Editor, current *edit.Snapshot, revision int64) (*edit.Snapshot, error) {
	if revision == currentRevision || revision == current.Head.Revision {
		return current, nil
	}
	return editor.ReadRevision(ctx, revision)
}

func (c *listCommand) printList(s *edit.Snapshot) int {
	lists, err := s.Lists()
	if err != nil {
		return c.fail(err)
	}
	if c.list == plan.PlansList {
		c.printJSON(map[string]any{"revision": s.Head.Revision, "default_plan": lists.DefaultPlan, "plans": lists.Plans})
	} else {
		c.printJSON(map[string]any{"revision": s.Head.Revision, "customers": lists.Customers})
	}
	return exitOK
}

// newDiff returns `diff`, which compares two revisions, or a file with the current revision.
func newDiff(c *listCommand) command {
	sub := flaggy.NewSubcommand("diff")
	sub.Description = "shows the changes that a file would make, or those between two revisions"
	c.options(sub)
	var file string
	var from, to int64 = currentRevision, currentRevision
	sub.AddPositionalValue(&file, "FILE", 1, false, "the changed list, - for standard input")
	sub.Int64(&from, "", "from", "the earlier revision; required without FILE, not allowed with it")
	sub.Int64(&to, "", "to", "the later revision (-1: the current one); used only with --from")
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		changes, err := c.diff(ctx, file, from, to)
		if err != nil {
			return c.fail(err)
		}
		return c.printChanges(changes)
	})}
}

func (c *listCommand) diff(ctx context.Context, file string, from, to int64) ([]plan.Change, error) {
	if (file == "") == (from == currentRevision) {
		return nil, badInput("diff needs either FILE or --from")
	}
	editor, current, err := c.read(ctx, plan.DefaultFiles)
	if err != nil {
		return nil, err
	}
	if file != "" {
		return c.diffFile(current, file)
	}
	before, err := snapshotAt(ctx, editor, current, from)
	if err != nil {
		return nil, err
	}
	after, err := snapshotAt(ctx, editor, current, to)
	if err != nil {
		return nil, err
	}
	return edit.Difference(before, after)
}

func (c *listCommand) diffFile(current *edit.Snapshot, file string) ([]plan.Change, error) {
	text, err := readInput(file)
	if err != nil {
		return nil, err
	}
	after, findings := plan.Parse(c.replace(current.Docs, text), c.files(file), nil)
	if len(findings) > 0 {
		return nil, badInput("the lists are not valid\n%v", findings)
	}
	before, err := current.Lists()
	if err != nil {
		return nil, err
	}
	return plan.Diff(before, after), nil
}

func (c *listCommand) printChanges(changes []plan.Change) int {
	if c.asJSON {
		c.printJSON(changes)
		return exitOK
	}
	for _, change := range changes {
		fmt.Fprintln(c.out, change)
	}
	return exitOK
}

// newHistory returns `history`, which prints the last edits, the latest first.
func newHistory(c *listCommand) command {
	sub := flaggy.NewSubcommand("history")
	sub.Description = "shows the last edits of both lists, the latest first"
	c.options(sub)
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		_, current, err := c.read(ctx, plan.DefaultFiles)
		if err != nil {
			return c.fail(err)
		}
		if c.asJSON {
			c.printJSON(current.Head.History)
			return exitOK
		}
		for i := len(current.Head.History) - 1; i >= 0; i-- {
			e := current.Head.History[i]
			fmt.Fprintf(c.out, "%d  %s  %s  edit %s\n", e.Revision, e.Time.UTC().Format("2006-01-02 15:04:05Z"), e.Author, e.ID)
		}
		return exitOK
	})}
}
