package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// routesCheck is the time after the document was last confirmed, to any process, after
	// which the first of the readers reads it although no watch shows a change: a watch may
	// be silent for good. It is half of the 3 s within which a document must be in force.
	routesCheck = 1500 * time.Millisecond
	// routesTurn is the time by which each further reader waits longer, so that it mostly
	// hears of the read of the one before it.
	routesTurn = time.Second
	// routesPatience is the time without an answer after which the store counts as not
	// readable. It answers in some milliseconds, and in a quarter of a second when slow.
	routesPatience = 500 * time.Millisecond
	// idleReader is the pause of a process that leaves the reading to others.
	idleReader = 500 * time.Millisecond
)

// Names of the RPC service that serves the document to peers.
const (
	RoutesService = "Routes"
	routesFetch   = RoutesService + ".Fetch"
)

// RoutesConfig says how the routes of one process are read.
type RoutesConfig struct {
	Log   *event.Logger
	Clock Clock
	Rand  *rand.Rand
	Store store.Store
	Key   string // key of the document
	// Transport and Spawn fetch the document from peers.
	Transport Transport
	Spawn     func(func())
	// Decode returns a document and what of it cannot be used.
	Decode func(text []byte) (*route.Document, finding.List, error)
	// Installed is told of each document that is in force; it may be nil.
	Installed func(*route.Document)
}

// Routes keeps the newest document of routes from the store. Its methods are safe
// for concurrent use.
type Routes struct {
	cfg     RoutesConfig
	failed  *LogLimiter
	active  atomic.Pointer[route.Document]
	began   time.Duration
	broken  atomic.Bool  // the last read failed
	missing atomic.Bool  // the store had no document when it was last read
	turn    atomic.Int64 // position among the processes that read the store; notReader for others

	mu       sync.Mutex
	text     []byte        // of the active document, for peers
	fetched  time.Duration // when a peer was last asked
	revision int64         // of the newest text that could be read
	rejected uint64        // hash of the newest text that could not
	read     int64         // the store's own when the document was last read
	checked  time.Duration // when the store last confirmed the document
}

// NewRoutes returns a reader without a document.
func NewRoutes(cfg RoutesConfig) *Routes {
	r := &Routes{
		cfg: cfg, failed: NewLogLimiter(cfg.Log, cfg.Clock, event.StoreFailed), began: cfg.Clock(), fetched: -routesRetry,
	}
	return r
}

// notReader is the turn of a process that leaves the reading to others.
const notReader = -1

// Step says which position this process has among those that read the store, negative for
// one that leaves it to others, the highest version that is known, and a process that has
// it. A version that is missing here is fetched.
func (r *Routes) Step(ctx context.Context, turn int, known int64, peer netip.AddrPort) {
	r.turn.Store(int64(max(turn, notReader)))
	if known <= r.Version() || !peer.IsValid() {
		return
	}
	r.mu.Lock()
	now := r.cfg.Clock()
	due := now-r.fetched >= routesRetry
	if due {
		r.fetched = now
	}
	r.mu.Unlock()
	if due {
		r.cfg.Spawn(func() { r.fetch(ctx, peer) })
	}
}

// fetch takes the document from a peer.
func (r *Routes) fetch(ctx context.Context, peer netip.AddrPort) {
	var reply RoutesReply
	if err := r.cfg.Transport.Call(ctx, peer, routesFetch, &RoutesArgs{Above: r.Version()}, &reply); err != nil {
		r.failed.Log("peer", peer, "error", err)
		return
	}
	if len(reply.Text) > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.activate(reply.Text, "peer", peer)
	}
}

// RoutesArgs asks for a document of a version above one.
type RoutesArgs struct{ Above int64 }

// RoutesReply holds the document as the store has it, or nothing.
type RoutesReply struct{ Text []byte }

// RoutesRPC serves the document to peers.
type RoutesRPC struct {
	routes *Routes
}

// NewRoutesRPC returns the service of a process's routes.
func NewRoutesRPC(r *Routes) *RoutesRPC { return &RoutesRPC{routes: r} }

// Fetch serves the RPC.
func (s *RoutesRPC) Fetch(args *RoutesArgs, reply *RoutesReply) error {
	s.routes.mu.Lock()
	defer s.routes.mu.Unlock()
	if s.routes.Version() > args.Above {
		reply.Text = s.routes.text
	}
	return nil
}

// Version returns the version in force, 0 for none.
func (r *Routes) Version() int64 {
	if d := r.active.Load(); d != nil {
		return d.Version
	}
	return 0
}

// Unreadable reports whether this process has no document and the store does not let it
// read one. A store without a document is readable.
func (r *Routes) Unreadable() bool {
	if r.Version() > 0 {
		return false
	}
	return r.broken.Load() || r.Checked() == 0 && !r.missing.Load() && r.cfg.Clock()-r.began >= routesPatience
}

// Active returns the document in force, or nil.
func (r *Routes) Active() *route.Document { return r.active.Load() }

// Age returns the time since the store confirmed the document, or since Confirm.
func (r *Routes) Age() time.Duration { return r.cfg.Clock() - r.Checked() }

// Checked returns the time at which the store confirmed the document.
func (r *Routes) Checked() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checked
}

// Confirm says that the document was the newest that any process knew at a time.
func (r *Routes) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked = max(r.checked, at)
}

// Run reads the document until the context ends.
func (r *Routes) Run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		if !first && r.turn.Load() == notReader && r.Version() > 0 {
			pause(ctx, idleReader)
			continue
		}
		if err := r.Refresh(ctx); err != nil {
			r.failed.Log("key", r.cfg.Key, "error", err)
		} else {
			r.follow(ctx)
		}
		// A watch that ends at once must not lead to calls without a pause.
		pause(ctx, r.jitter(r.retryPause()))
	}
}

// retryPause is the mean pause after a call that has failed. Calls during an outage are
// paid for, so with a document in force the later readers leave most of them to the first.
func (r *Routes) retryPause() time.Duration {
	if r.Version() == 0 {
		return routesRetry
	}
	return routesRetry * time.Duration(1+max(r.turn.Load(), 0))
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
		timer := time.NewTimer(max(r.untilCheck(), checkPause))
		select {
		case change, open := <-changes:
			timer.Stop()
			if !open || change.Err != nil {
				return
			}
			r.take(change.Events)
		case <-timer.C:
			if r.turn.Load() == notReader {
				return
			}
			if r.untilCheck() > 0 {
				continue
			}
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

// checkPause is the least time between two looks whether a read is due.
const checkPause = 50 * time.Millisecond

// untilCheck is the time until this process reads the document although no watch shows a
// change.
func (r *Routes) untilCheck() time.Duration {
	return routesCheck + time.Duration(r.turn.Load())*routesTurn - r.Age()
}

// Refresh reads the document from the store once.
func (r *Routes) Refresh(ctx context.Context) error {
	begun := r.cfg.Clock()
	// A list says at which of the store's revisions it was made. A watch from the
	// revision of the document would ask for history that the store has forgotten.
	kvs, revision, err := r.cfg.Store.List(ctx, r.cfg.Key)
	r.broken.Store(err != nil)
	if err != nil {
		return err
	}
	for _, kv := range kvs {
		if kv.Key == r.cfg.Key {
			r.mu.Lock()
			r.checked, r.read = begun, revision
			r.mu.Unlock()
			r.install(kv)
			r.missing.Store(false)
			return nil
		}
	}
	r.missing.Store(true)
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
	// A text that cannot be read may be the fault of one answer; the next read decides.
	if r.activate(kv.Value, "revision", kv.ModRevision) {
		r.revision = kv.ModRevision
	}
}

// activate puts a document into force and reports whether it could be read; source says for
// the log where it came from. The caller holds the lock.
func (r *Routes) activate(text []byte, source string, from any) bool {
	hash := xxhash.Sum64(text)
	if hash == r.rejected {
		return false
	}
	doc, found, err := r.cfg.Decode(text)
	if err != nil {
		r.rejected = hash
		r.cfg.Log.Log(event.RoutesRejected, source, from, "error", err)
		return false
	}
	if doc.Version <= r.Version() {
		if doc.Version < r.Version() {
			r.cfg.Log.Log(event.RoutesRejected, source, from, "error", errors.Newf("version %d is below %d", doc.Version, r.Version()))
		}
		return true
	}
	for _, f := range found {
		r.cfg.Log.Log(event.RouteUnusable, "version", doc.Version, "finding", f.String())
	}
	r.text = text
	r.active.Store(doc)
	r.cfg.Log.Log(event.RoutesActive, "version", doc.Version, source, from, "routes", len(doc.Routes))
	if r.cfg.Installed != nil {
		r.cfg.Installed(doc)
	}
	return true
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
