package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

// exitUnknown says that an edit may have been accepted, or may still be.
const exitUnknown = 3

const (
	defaultStore = "http://127.0.0.1:2379"

	// editTimeout bounds one command, the attempts to resolve an unknown outcome
	// included; waiting for $EDITOR is not counted.
	editTimeout = 30 * time.Second

	maxInput = 64 << 20 // bytes of a file or of standard input
)

// errInput marks errors in the arguments or in the files given: exit status 2.
var errInput = errors.New("bad input")

func badInput(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errInput)
}

// listCommand is one subcommand of `customers` or `plans`, or `edit-status`, with
// the options that they share.
type listCommand struct {
	list     string // plan.CustomersList or plan.PlansList
	out, err io.Writer

	stores     string
	author     string
	capacities string
	asJSON     bool
}

// standardOutput returns a command that writes to the process's output.
func standardOutput(list string) *listCommand {
	return &listCommand{list: list, out: os.Stdout, err: os.Stderr, stores: defaultStore, author: os.Getenv("USER")}
}

// options declares the shared options.
func (c *listCommand) options(sub *flaggy.Subcommand) {
	sub.String(&c.stores, "", "store", "URLs of the store, separated by commas")
	sub.Bool(&c.asJSON, "", "json", "print the result as JSON")
}

// editOptions declares the options of subcommands that write.
func (c *listCommand) editOptions(sub *flaggy.Subcommand) {
	c.options(sub)
	sub.String(&c.author, "", "author", "who makes the edit")
	c.capacityOption(sub)
}

func (c *listCommand) capacityOption(sub *flaggy.Subcommand) {
	sub.String(&c.capacities, "", "capacity", `file with the services' capacities: {"NAME": {"connections": N, "requests": N}}`)
}

// editor opens the store.
func (c *listCommand) editor(files plan.Files) (*edit.Editor, error) {
	client, err := etcd.New(etcd.Config{Endpoints: strings.Split(c.stores, ",")})
	if err != nil {
		return nil, errors.Mark(err, errInput)
	}
	capacities, err := c.readCapacities()
	if err != nil {
		return nil, err
	}
	return edit.New(edit.Config{Store: client, Author: c.author, Files: files, Capacities: capacities}), nil
}

func (c *listCommand) readCapacities() (plan.Capacities, error) {
	if c.capacities == "" {
		return nil, nil
	}
	file, err := os.Open(c.capacities)
	if err != nil {
		return nil, errors.Mark(err, errInput)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	var capacities plan.Capacities
	if err := decoder.Decode(&capacities); err != nil || capacities == nil {
		return nil, badInput("%s: not a capacity file: %v", c.capacities, err)
	}
	return capacities, nil
}

// read opens the store and reads the current revision.
func (c *listCommand) read(ctx context.Context, files plan.Files) (*edit.Editor, *edit.Snapshot, error) {
	editor, err := c.editor(files)
	if err != nil {
		return nil, nil, err
	}
	current, err := editor.Read(ctx)
	return editor, current, err
}

// apply makes an edit, prints its outcome and returns the exit status.
func (c *listCommand) apply(ctx context.Context, editor *edit.Editor, base *edit.Snapshot, change edit.Func) int {
	if c.author == "" {
		return c.fail(badInput("who makes the edit? give --author"))
	}
	outcome, err := editor.Apply(ctx, base, change)
	if err != nil {
		return c.fail(err)
	}
	return c.report(outcome)
}

// report prints an outcome and returns its exit status.
func (c *listCommand) report(outcome edit.Outcome) int {
	if c.asJSON {
		c.printJSON(outcome)
	} else {
		fmt.Fprintln(c.out, outcome)
	}
	switch outcome.Status {
	case edit.Accepted, edit.Unchanged:
		return exitOK
	case edit.Stale:
		return exitFailure
	}
	return exitUnknown
}

func (c *listCommand) printJSON(v any) {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v) // a reader that has gone is not an error of the edit
}

// fail prints an error and returns its exit status.
func (c *listCommand) fail(err error) int {
	fmt.Fprintf(c.err, "nutmegtrack: %v\n", err)
	if errors.IsAny(err, errInput, edit.ErrInvalid, edit.ErrBadID, edit.ErrRevisionGone, plan.ErrNoEntry) {
		return exitUsage
	}
	return exitFailure
}

// run calls the action with the time limit of a command.
func (c *listCommand) run(action func(context.Context) int) func() int {
	return func() int {
		ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
		defer cancel()
		return action(ctx)
	}
}

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	file := os.Stdin
	if name != "-" {
		var err error
		if file, err = os.Open(name); err != nil {
			return nil, errors.Mark(err, errInput)
		}
		defer file.Close()
	}
	text, err := io.ReadAll(io.LimitReader(file, maxInput+1))
	if err == nil && len(text) > maxInput {
		err = errors.Newf("%s is larger than %d bytes", name, maxInput)
	}
	if err != nil {
		return nil, errors.Mark(err, errInput)
	}
	return text, nil
}

// document returns this command's list of both.
func (c *listCommand) document(d plan.Documents) []byte {
	if c.list == plan.PlansList {
		return d.Plans
	}
	return d.Customers
}

// replace returns both lists with this command's one replaced.
func (c *listCommand) replace(d plan.Documents, text []byte) plan.Documents {
	if c.list == plan.PlansList {
		d.Plans = text
	} else {
		d.Customers = text
	}
	return d
}

// files names this command's list by its file in findings.
func (c *listCommand) files(name string) plan.Files {
	files := plan.DefaultFiles
	if c.list == plan.PlansList {
		files.Plans = name
	} else {
		files.Customers = name
	}
	return files
}
