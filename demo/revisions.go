package demo

import (
	"context"
	"time"
)

const revisionsEvery = 250 * time.Millisecond

// watchRevisions notes a violation when the lists of a balancer go back to an
// earlier revision.
func (f *fleet) watchRevisions(ctx context.Context) {
	highest := make(map[string]int64)
	for pause(ctx, revisionsEvery) {
		for _, b := range f.liveBalancers() {
			state, err := f.dump(ctx, b.control)
			if err != nil {
				continue // starting, or about to be stopped
			}
			revision := state.Process.Revision
			if revision < highest[b.name] {
				f.violated("%s went back from revision %d to %d", b.name, highest[b.name], revision)
			}
			highest[b.name] = max(highest[b.name], revision)
		}
	}
}
