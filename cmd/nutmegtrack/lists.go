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

// exitUnknown is the exit status of an edit that may have been or may yet be accepted.
const exitUnknown = 3

const (
	defaultStore = "http://127.0.0.1:2379"

	// editTimeout is the timeout of a command. It includes the attempts to resolve an
	// unknown outcome, but not the time in $EDITOR.
	editTimeout = 30 * time.Second

	maxInput = 64 << 20 // maximum size in bytes of a file or of standard input
)

// errInput marks errors in the arguments or input files, which cause exit status 2.
var errInput = errors.New("bad input")

func badInput(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errInput)
}

// listCommand holds the shared options of the subcommands of `customers` and `plans` and
// of `edit-status`.
type listCommand struct {
	list     string // plan.CustomersList or plan.PlansList
	out, err io.Writer

	stores     string
	author     string
	capacities string
	asJSON     bool
}

// newListCommand returns a command that writes to the process's standard output and error.
func newListCommand(list string) *listCommand {
	return &listCommand{list: list, out: os.Stdout, err: os.Stderr, stores: defaultStore, author: os.Getenv("USER")}
}

// options declares the options shared by all subcommands.
func (c *listCommand) options(sub *flaggy.Subcommand) {
	sub.String(&c.stores, "", "store", "URLs of the store, separated by commas")
	sub.Bool(&c.asJSON, "", "json", "print the result as JSON")
}

// editOptions declares the options of subcommands that write.
func (c *listCommand) editOptions(sub *flaggy.Subcommand) {
	c.options(sub)
	sub.String(&c.author, "", "author", "author of the edit")
	c.capacityOption(sub)
}

func (c *listCommand) capacityOption(sub *flaggy.Subcommand) {
	sub.String(&c.capacities, "", "capacity", `file with the services' capacities: {"NAME": {"connections": N, "requests": N}}`)
}

// editor returns an editor for the lists in the store.
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

// read returns an editor and the current snapshot.
func (c *listCommand) read(ctx context.Context, files plan.Files) (*edit.Editor, *edit.Snapshot, error) {
	editor, err := c.editor(files)
	if err != nil {
		return nil, nil, err
	}
	current, err := editor.Read(ctx)
	return editor, current, err
}

// apply applies an edit, prints its outcome and returns the exit status.
func (c *listCommand) apply(ctx context.Context, editor *edit.Editor, base *edit.Snapshot, change edit.Func) int {
	if c.author == "" {
		return c.fail(badInput("missing author of the edit: use --author"))
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
	_ = encoder.Encode(v) // a closed output does not make the edit fail
}

// fail prints an error and returns its exit status.
func (c *listCommand) fail(err error) int {
	fmt.Fprintf(c.err, "nutmegtrack: %v\n", err)
	if errors.IsAny(err, errInput, edit.ErrInvalid, edit.ErrBadID, edit.ErrRevisionGone, plan.ErrNoEntry) {
		return exitUsage
	}
	return exitFailure
}

// run returns a function that runs the action with editTimeout.
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

// document returns this command's list.
func (c *listCommand) document(d plan.Documents) []byte {
	if c.list == plan.PlansList {
		return d.Plans
	}
	return d.Customers
}

// replace returns both lists, with this command's list replaced by text.
func (c *listCommand) replace(d plan.Documents, text []byte) plan.Documents {
	if c.list == plan.PlansList {
		d.Plans = text
	} else {
		d.Customers = text
	}
	return d
}

// files returns the names used in findings, with the given one for this command's list.
func (c *listCommand) files(name string) plan.Files {
	files := plan.DefaultFiles
	if c.list == plan.PlansList {
		files.Plans = name
	} else {
		files.Customers = name
	}
	return files
}
