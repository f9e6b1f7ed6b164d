package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// storeRetry is the pause after a store call that failed.
const storeRetry = time.Second

// StoreLists reads lists from the platform's store.
type StoreLists struct {
	Store store.Store
}

// Head implements ListSource.
func (s StoreLists) Head(ctx context.Context) (plan.Head, error) {
	kv, err := s.Store.Get(ctx, plan.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return plan.Head{}, nil
	}
	if err != nil {
		return plan.Head{}, err
	}
	return plan.DecodeHead(kv.Value)
}

// Pages implements ListSource. A page that an edit has deleted meanwhile is left out.
func (s StoreLists) Pages(ctx context.Context, hashes []plan.Hash) (plan.Pages, error) {
	pages := plan.Pages{}
	for _, hash := range hashes {
		kv, err := s.Store.Get(ctx, plan.PageKey(hash))
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		pages[hash] = kv.Value
	}
	return pages, nil
}

// WatchStore keeps the lists up to date with the store until the context ends.
// failed is told of each error.
func (l *Lists) WatchStore(ctx context.Context, s store.Store, failed func(error)) {
	for ctx.Err() == nil {
		err := l.watchOnce(ctx, s)
		if ctx.Err() != nil {
			return
		}
		failed(err)
		select {
		case <-ctx.Done():
		case <-time.After(storeRetry):
		}
	}
}

// watchOnce reads the lists and then each change until the watch ends.
func (l *Lists) watchOnce(ctx context.Context, s store.Store) error {
	ctx, cancel := context.WithCancel(ctx) // ends the watch on return
	defer cancel()
	_, revision, err := s.List(ctx, plan.HeadKey)
	if err != nil {
		return err
	}
	if err := l.Update(ctx, StoreLists{Store: s}); err != nil {
		return err
	}
	changes, err := s.Watch(ctx, plan.HeadKey, revision+1)
	if err != nil {
		return err
	}
	for change := range changes {
		if change.Err != nil {
			return change.Err
		}
		if err := l.Update(ctx, StoreLists{Store: s}); err != nil {
			return err
		}
	}
	return errors.New("watch ended")
}
