package demo

import (
	"context"
	"time"
)

const revisionInterval = 250 * time.Millisecond

// checkRevisions records a violation when the lists of a balancer revert to an earlier
// revision.
func (f *fleet) checkRevisions(ctx context.Context) {
	highest := make(map[string]int64)
	for sleep(ctx, revisionInterval) {
		for _, b := range f.liveBalancers() {
			state, err := f.dump(ctx, b.control)
			if err != nil {
				continue // the balancer is starting or stopping
			}
			revision := state.Process.Revision
			if revision < highest[b.name] {
				f.addViolation("%s reverted from revision %d to %d", b.name, highest[b.name], revision)
			}
			highest[b.name] = max(highest[b.name], revision)
		}
	}
}
