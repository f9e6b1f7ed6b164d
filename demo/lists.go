package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan/edit"
)

const (
	// activeTimeout is the maximum time until an accepted edit is active on every balancer,
	// even if the store is down (design section 1.6). An edit that takes longer violates
	// guarantee 8.
	activeTimeout = 13 * time.Second
	editAuthor    = "demo"
)

// listStats holds the number of edits and the longest time that an accepted edit took to
// become active on every balancer.
type listStats struct {
	MaxSeconds *float64 // seconds; nil before the first edit
	Edits      int
	Stale      int // concurrent edits that were refused as stale
}

func (l *listStats) write(line func(name, format string, args ...any)) {
	if l.MaxSeconds == nil {
		line("lists", "no edit was measured")
		return
	}
	line("lists", "%d edits accepted, %d refused as stale, active on every balancer after %.2f s at most",
		l.Edits, l.Stale, *l.MaxSeconds)
}

// listCommand runs an edit command for one list and returns the outcome of the edit. A
// refusal is an outcome too; an error means that the command reported no outcome.
func (f *fleet) listCommand(args ...string) (edit.Outcome, error) {
	args = append(args, "--author", editAuthor, "--json", "--store", "http://"+f.storeAddr.String())
	out, err := f.command(args...)
	return decodeOutcome(out, err)
}

// editList makes an edit, waits until it is active, and returns an error if it is not
// accepted.
func (f *fleet) editList(ctx context.Context, args ...string) error {
	began := time.Now()
	o, err := f.listCommand(args...)
	if err != nil {
		return err
	}
	if o.Status != edit.Accepted {
		return errors.Newf("edit %v: %s", args, o.String())
	}
	return f.waitForRevision(ctx, o, began)
}

// waitForRevision waits until the revision of an accepted edit is active on every
// balancer that was live when the wait began and has not been stopped since.
func (f *fleet) waitForRevision(ctx context.Context, o edit.Outcome, began time.Time) error {
	pending := f.liveBalancers()
	err := poll(ctx, activeTimeout, func() error { return f.checkRevision(ctx, &pending, o.Revision) })
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	took := time.Since(began)
	if err != nil {
		f.addViolation("revision %d is not active on every balancer: %v", o.Revision, err)
	}
	if err := f.recordLists(began); err != nil {
		return err
	}
	f.logf("revision %d active on every balancer after %.2f s", o.Revision, took.Seconds())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists.Edits++
	f.lists.MaxSeconds = maxOf(f.lists.MaxSeconds, took.Seconds())
	return nil
}

// checkRevision removes from pending the balancers on which the revision is active and
// those that are stopping. It returns an error while pending is not empty.
func (f *fleet) checkRevision(ctx context.Context, pending *[]*balancerVM, revision int64) error {
	var left []*balancerVM
	var last error
	for _, b := range *pending {
		if f.isStopping(b) {
			continue
		}
		state, err := f.dump(ctx, b.control)
		if err == nil && state.Process.Revision >= revision {
			continue
		}
		left = append(left, b)
		last = errors.Newf("%s has revision %d (error of the dump: %v)", b.name, state.Process.Revision, err)
	}
	*pending = left
	return last
}

func (f *fleet) isStopping(b *balancerVM) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return b.stopping
}
