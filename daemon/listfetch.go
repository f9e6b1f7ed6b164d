package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/fetch"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// execute carries out one request of the reader: it starts or ends the watch of the head,
// or reads the head or pages in the background.
func (l *Lists) execute(ctx context.Context, f plan.Fetch) {
	switch f.Kind {
	case plan.WatchHead:
		l.startWatch(ctx, f)
	case plan.StopWatch:
		l.endWatch(f.ID)
	default:
		l.cfg.Spawn(func() {
			result := l.read(ctx, f)
			if result.Err != nil && !f.Peer.IsValid() && ctx.Err() == nil {
				l.storeFailed.Log("error", result.Err)
			}
			l.update(ctx, func(now time.Duration, r *plan.Reader) { r.FetchDone(now, f.ID, result) })
		})
	}
}

func (l *Lists) read(ctx context.Context, f plan.Fetch) plan.Result {
	switch {
	case f.Peer.IsValid() && f.Kind == plan.FetchHead:
		var reply HeadReply
		err := l.cfg.Transport.Call(ctx, f.Peer, listsHead, &HeadArgs{}, &reply)
		return plan.Result{Head: reply.Head, Err: err}
	case f.Peer.IsValid():
		var reply PagesReply
		err := l.cfg.Transport.Call(ctx, f.Peer, listsPages, &PagesArgs{Hashes: f.Hashes}, &reply)
		return plan.Result{Pages: reply.Pages, Err: err}
	}
	result := fetch.FromStore(ctx, l.cfg.Store, f)
	if f.Kind == plan.FetchHead && result.Err == nil {
		l.logUnreadableHead(result.Head, result.StoreRevision)
	}
	return result
}

// logUnreadableHead logs a head in the store that the reader ignores because it cannot be decoded.
func (l *Lists) logUnreadableHead(value []byte, revision int64) {
	if len(value) == 0 {
		return
	}
	_, err := plan.DecodeHead(value)
	l.unreadable.Log(store.KV{Key: plan.HeadKey, Value: value, ModRevision: revision}, err)
}

// startWatch watches the head in the store and passes its changes to the reader until the
// watch ends.
func (l *Lists) startWatch(ctx context.Context, f plan.Fetch) {
	ctx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	l.watches[f.ID] = cancel
	l.mu.Unlock()
	l.cfg.Spawn(func() {
		err := l.watch(ctx, f)
		if ctx.Err() == nil {
			l.storeFailed.Log("error", err)
		}
		l.endWatch(f.ID)
		l.update(ctx, func(now time.Duration, r *plan.Reader) { r.FetchDone(now, f.ID, plan.Result{Err: err}) })
	})
}

func (l *Lists) watch(ctx context.Context, f plan.Fetch) error {
	changes, err := l.cfg.Store.Watch(ctx, plan.HeadKey, f.From)
	if err != nil {
		return err
	}
	for change := range changes {
		if change.Err != nil {
			return change.Err
		}
		for _, e := range change.Events {
			if e.KV.Key == plan.HeadKey && !e.Deleted {
				l.logUnreadableHead(e.KV.Value, e.KV.ModRevision)
				l.update(ctx, func(now time.Duration, r *plan.Reader) { r.WatchEvent(now, f.ID, e.KV.Value) })
			}
		}
	}
	return errors.New("store closed the watch of the lists")
}

func (l *Lists) endWatch(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.watches[id]; cancel != nil {
		cancel()
		delete(l.watches, id)
	}
}
