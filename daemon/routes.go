package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/route"
	"github.com/nutmegtrack/nutmegtrack/store"
)

const (
	// routesRetry is the mean pause after a failed read. Whatever waits for the store
	// after an outage waits for half of it; each call during one is paid for.
	routesRetry = 300 * time.Millisecond
	// routesCheck is the interval at which the document is read although the watch
	// shows no change: a watch may be silent for good. It is a part of the 3 s within
	// which a document must be in force.
	routesCheck = 1500 * time.Millisecond
)

// RoutesConfig says how the routes of one process are read.
type RoutesConfig struct {
	Log   *event.Logger
	Clock Clock
	Rand  *rand.Rand
	Store store.Store
	Key   string // key of the document
	// Decode returns a document and what of it cannot be used.
	Decode func(text []byte) (*route.Document, finding.List, error)
	// Installed is told of each document that is in force; it may be nil.
	Installed func(*route.Document)
}

// Routes keeps the newest document of routes from the store. Its methods are safe
// for concurrent use.
type Routes struct {
	cfg    RoutesConfig
	failed *LogLimiter
	active atomic.Pointer[route.Document]

	mu       sync.Mutex
	revision int64         // of the newest text seen, also if rejected
	read     int64         // the store's own when the document was last read
	checked  time.Duration // when the store last confirmed the document
}

// NewRoutes returns a reader without a document.
func NewRoutes(cfg RoutesConfig) *Routes {
	return &Routes{cfg: cfg, failed: NewLogLimiter(cfg.Log, cfg.Clock, event.StoreFailed)}
}

// Active returns the document in force, or nil.
func (r *Routes) Active() *route.Document { return r.active.Load() }

// Age returns the time since the store confirmed the document.
func (r *Routes) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Clock() - r.checked
}

// Run reads the document until the context ends.
func (r *Routes) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.Refresh(ctx); err != nil {
			r.failed.Log("key", r.cfg.Key, "error", err)
		} else {
			r.follow(ctx)
		}
		// A watch that ends at once must not lead to calls without a pause.
		pause(ctx, r.jitter(routesRetry))
	}
}

// follow watches the document, and reads it now and then, until either fails.
func (r *Routes) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	from := r.read + 1
	r.mu.Unlock()
	changes, err := r.cfg.Store.Watch(ctx, r.cfg.Key, from)
	if err != nil {
		r.failed.Log("key", r.cfg.Key, "error", err)
		return
	}
	for {
		timer := time.NewTimer(r.jitter(routesCheck))
		select {
		case change, open := <-changes:
			timer.Stop()
			if !open || change.Err != nil {
				return
			}
			r.take(change.Events)
		case <-timer.C:
			if err := r.Refresh(ctx); err != nil {
				r.failed.Log("key", r.cfg.Key, "error", err)
				return
			}
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// Refresh reads the document from the store once.
func (r *Routes) Refresh(ctx context.Context) error {
	begun := r.cfg.Clock()
	// A list says at which of the store's revisions it was made. A watch from the
	// revision of the document would ask for history that the store has forgotten.
	kvs, revision, err := r.cfg.Store.List(ctx, r.cfg.Key)
	if err != nil {
		return err
	}
	for _, kv := range kvs {
		if kv.Key == r.cfg.Key {
			r.mu.Lock()
			r.checked, r.read = begun, revision
			r.mu.Unlock()
			r.install(kv)
			return nil
		}
	}
	return store.ErrNotFound
}

func (r *Routes) take(events []store.Event) {
	for _, e := range events {
		if e.KV.Key == r.cfg.Key && !e.Deleted {
			r.install(e.KV)
		}
	}
}

// install puts a document into force. A process never goes back to a lower version,
// and keeps what it has when the new text cannot be read.
func (r *Routes) install(kv store.KV) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kv.ModRevision <= r.revision {
		return
	}
	r.revision = kv.ModRevision
	doc, found, err := r.cfg.Decode(kv.Value)
	if err != nil {
		r.cfg.Log.Log(event.RoutesRejected, "revision", kv.ModRevision, "error", err)
		return
	}
	for _, f := range found {
		r.cfg.Log.Log(event.RouteUnusable, "version", doc.Version, "finding", f.String())
	}
	if old := r.active.Load(); old != nil && doc.Version <= old.Version {
		r.cfg.Log.Log(event.RoutesRejected, "revision", kv.ModRevision,
			"error", errors.Newf("version %d is not above %d", doc.Version, old.Version))
		return
	}
	r.active.Store(doc)
	r.cfg.Log.Log(event.RoutesActive, "version", doc.Version, "revision", kv.ModRevision, "routes", len(doc.Routes))
	if r.cfg.Installed != nil {
		r.cfg.Installed(doc)
	}
}

// jitter spreads a duration by a quarter in both directions.
func (r *Routes) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d*3/4 + time.Duration(r.cfg.Rand.Int64N(int64(d/2)))
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
