// Package fetch performs the fetches of a plan.Reader from the store.
package fetch

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// FromStore performs a plan.FetchHead or plan.FetchPages. The result omits pages that the
// store does not have.
func FromStore(ctx context.Context, s store.Store, f plan.Fetch) plan.Result {
	if f.Kind == plan.FetchHead {
		return head(ctx, s)
	}
	return pages(ctx, s, f.Hashes)
}

// head uses List instead of Get, because List returns the store's revision even if there
// is no head. The reader starts its watch after that revision.
func head(ctx context.Context, s store.Store) plan.Result {
	kvs, revision, err := s.List(ctx, plan.HeadKey)
	result := plan.Result{StoreRevision: revision, Err: err}
	for _, kv := range kvs {
		if kv.Key == plan.HeadKey {
			result.Head = kv.Value
		}
	}
	return result
}

func pages(ctx context.Context, s store.Store, hashes []plan.Hash) plan.Result {
	found := plan.Pages{}
	for _, hash := range hashes {
		kv, err := s.Get(ctx, plan.PageKey(hash))
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return plan.Result{Err: err}
		}
		found[hash] = kv.Value
	}
	return plan.Result{Pages: found}
}
