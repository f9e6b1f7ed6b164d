package daemon

import (
	"bytes"
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
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
	// routesRetryInterval is the mean pause after a failed read. When an outage of the
	// store ends, a process waits on average half of this pause until its next read. A
	// shorter pause would make more calls during the outage, and each of them is billed.
	routesRetryInterval = 300 * time.Millisecond
	// routesReadAge is the time after the last confirmation of the document, by any
	// process, after which the reader of rank 0 reads the document again. It does so even
	// if its watch reports no change, because a watch may stop delivering events without
	// an error. It is half of the 3 s within which a new document must be active.
	routesReadAge = 1500 * time.Millisecond
	// routesReadStagger is the additional wait of each further reader, so that it
	// usually learns of the read of the preceding reader before its own is due.
	routesReadStagger = time.Second
	// routesReadTimeout is the time without a successful first read after which the store
	// is considered unreadable. The store responds within a few milliseconds, or within
	// 250 ms when slow.
	routesReadTimeout = 500 * time.Millisecond
	// nonReaderInterval is the interval at which a process that does not read the store
	// checks whether it has become a reader or its document has become stale.
	nonReaderInterval = 500 * time.Millisecond
	// routesStaleAge and up to routesStaleSpread more, drawn at random, is the time after the last
	// confirmation after which the document of a process that is no reader is stale, so that the
	// process reads the store itself. Gossip seldom takes so long, and the sum leaves 400 ms of the 3 s
	// within which a new document must be active, more than a slow answer of the store takes. Of
	// many processes whose readers have gone, a few read first and the others learn from them.
	routesStaleAge    = 2300 * time.Millisecond
	routesStaleSpread = 300 * time.Millisecond
	// routesReaderSpread replaces routesStaleSpread for readers with a large rank number, which have a
	// watch: confirmations are seldom that late while the first reader runs.
	routesReaderSpread = 700 * time.Millisecond
	// routesGossipTime is the additional time that a confirmation may take for each doubling of a
	// fleet of more than routesGossipFleet processes: the interval between two exchanges of package
	// member. With it, few confirmations of a running reader arrive too late.
	routesGossipTime  = 500 * time.Millisecond
	routesGossipFleet = 8
	// maxStaleRetryPause is the longest pause of a process that is no reader between two
	// failed reads of the store, in a fleet of up to maxStaleReads*maxStaleRetryPause processes.
	maxStaleRetryPause = 5 * time.Second
	// maxStaleReads is the number of calls a second that the processes that are no readers
	// make together at most while the store does not respond for long.
	maxStaleReads = 200
)

// Names of the RPC service that provides the routes document to peers.
const (
	RoutesService = "Routes"
	routesFetch   = RoutesService + ".Fetch"
)

// RoutesConfig configures how one process reads the routes.
type RoutesConfig struct {
	Log   *event.Logger
	Clock Clock
	Rand  *rand.Rand
	Store store.Store
	Key   string // key of the routes document
	// Transport and Spawn are used to fetch the document from peers in the background.
	Transport Transport
	Spawn     func(func())
	// Decode parses a document and also returns findings for the parts that are unusable.
	Decode func(text []byte) (*route.Document, finding.List, error)
	// Activated is called for each document that becomes active; it may be nil.
	Activated func(*route.Document)
	// Orders configures reading the operators' orders to evacuate failure domains, with the calls that read
	// the document; the zero value reads none.
	Orders OrdersConfig
}

// Routes holds the newest routes document, read from the store or from peers. The document
// defines the services that receive the flows to each address; operators write it to one
// key of the store. The methods of Routes are safe for concurrent use.
type Routes struct {
	cfg             RoutesConfig
	failed          *LogLimiter
	stale           *LogLimiter
	active          atomic.Pointer[route.Document]
	created         time.Duration // when the Routes was created
	readFailed      atomic.Bool   // the last read failed
	documentMissing atomic.Bool   // the last successful read found no document
	rank            atomic.Int64  // rank among the processes that read the store, or nonReaderRank
	fleetSize       atomic.Int64  // number of live processes that may read the store
	fetchFailed     atomic.Bool   // the last fetch from a peer failed
	first           atomic.Bool   // the store has never held another document than the active one

	mu               sync.Mutex
	text             []byte        // encoded active document, for peers
	lastPeerFetch    time.Duration // time of the last fetch from a peer
	rejectedHash     uint64        // hash of the last document that was not activated
	ambiguousVersion int64         // version of which two documents are known; 0 if there is none
	readRevision     int64         // store revision at which the document was last read
	readAt           time.Duration // start of the last successful read, even of a document that was not activated
	known            int64         // highest version known to exist
	confirmed        time.Duration // time at which the document was last confirmed to be the newest
	peerActivatedAt  time.Duration // time at which a document from a peer last became active
	staleSpread      time.Duration // random part of the stale age, up to routesStaleSpread; drawn again by each read
	failedReads      int           // consecutive reads of the store that failed
	orders           orders
}

// NewRoutes returns a Routes without a document.
func NewRoutes(cfg RoutesConfig) *Routes {
	r := &Routes{
		cfg: cfg, failed: NewLogLimiter(cfg.Log, cfg.Clock, event.StoreFailed), created: cfg.Clock(), lastPeerFetch: -routesRetryInterval,
		stale: NewLogLimiter(cfg.Log, cfg.Clock, event.RoutesStale), staleSpread: routesStaleSpread,
	}
	return r
}

// nonReaderRank is the rank of a process that does not read the store.
const nonReaderRank = -1

// Step sets the rank of this process among those that read the store; a negative rank
// means that it does not read the store. known is the highest version known to exist and
// peer is a process that has it. If this process has a lower version, it fetches the
// document from the peer.
func (r *Routes) Step(ctx context.Context, rank int, known int64, peer netip.AddrPort) {
	r.rank.Store(int64(max(rank, nonReaderRank)))
	if r.noteKnown(known) && peer.IsValid() {
		r.cfg.Spawn(func() { r.fetch(ctx, peer) })
	}
}

// SetFleetSize sets the number of live processes that may read the store, this one included.
func (r *Routes) SetFleetSize(n int) { r.fleetSize.Store(int64(n)) }

// FetchFailed reports whether the last fetch from a peer failed, so that another peer should be
// passed to Step.
func (r *Routes) FetchFailed() bool { return r.fetchFailed.Load() }

// noteKnown records the highest version known to exist and reports whether a fetch of it is due.
func (r *Routes) noteKnown(known int64) (fetchDue bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = max(r.known, known)
	if r.known <= r.Version() {
		return false
	}
	now := r.cfg.Clock()
	if fetchDue = now-r.lastPeerFetch >= routesRetryInterval; fetchDue {
		r.lastPeerFetch = now
	}
	return fetchDue
}

// fetch requests the document from a peer and activates it.
func (r *Routes) fetch(ctx context.Context, peer netip.AddrPort) {
	var reply RoutesReply
	err := r.cfg.Transport.Call(ctx, peer, routesFetch, &RoutesArgs{Above: r.Version()}, &reply)
	r.fetchFailed.Store(err != nil)
	if err != nil {
		r.failed.Log("peer", peer, "error", err)
		return
	}
	if len(reply.Text) > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.activateFromPeer(reply.Text, peer)
	}
}

// activateFromPeer activates a document received from a peer. The caller holds the lock.
func (r *Routes) activateFromPeer(text []byte, peer netip.AddrPort) {
	version := r.Version()
	r.activate(text, "peer", peer)
	if r.Version() > version {
		// A store that has returned from an older copy has confirmed only the earlier version.
		r.confirmed = 0
		r.peerActivatedAt = r.cfg.Clock()
	}
}

// RoutesArgs requests the document if its version is higher than Above.
type RoutesArgs struct{ Above int64 }

// RoutesReply holds the document as encoded in the store; it is empty if the version is
// not higher than requested.
type RoutesReply struct{ Text []byte }

// RoutesRPC is the RPC service that provides the document to peers.
type RoutesRPC struct {
	routes *Routes
}

// NewRoutesRPC returns the RPC service for the routes of a process.
func NewRoutesRPC(r *Routes) *RoutesRPC { return &RoutesRPC{routes: r} }

// Fetch handles the RPC.
func (s *RoutesRPC) Fetch(args *RoutesArgs, reply *RoutesReply) error {
	s.routes.mu.Lock()
	defer s.routes.mu.Unlock()
	if s.routes.Version() > args.Above {
		reply.Text = s.routes.text
	}
	return nil
}

// Version returns the version of the active document, or 0 if there is none.
func (r *Routes) Version() int64 {
	if d := r.active.Load(); d != nil {
		return d.Version
	}
	return 0
}

// MissingAndUnreadable reports whether this process has no document and cannot read the
// store: the last read failed, or none has succeeded within routesReadTimeout of NewRoutes.
// A store that has no document is readable.
func (r *Routes) MissingAndUnreadable() bool {
	if r.Version() > 0 {
		return false
	}
	r.mu.Lock()
	neverRead := r.readAt == 0
	r.mu.Unlock()
	return r.readFailed.Load() || neverRead && !r.documentMissing.Load() && r.cfg.Clock()-r.created >= routesReadTimeout
}

// Active returns the active document, or nil if there is none.
func (r *Routes) Active() *route.Document { return r.active.Load() }

// Age returns the time since the document was last confirmed, or since the start of the
// process if it was never confirmed.
func (r *Routes) Age() time.Duration { return r.cfg.Clock() - r.ConfirmedAt() }

// ConfirmedAt returns the time at which the document was last confirmed to be the newest,
// by a read of the store or by Confirm. It returns 0 if the document was never confirmed, or if
// a higher version is known to exist.
func (r *Routes) ConfirmedAt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Version() < r.known {
		return 0
	}
	return r.confirmed
}

// Confirm records that at the given time the active document was the newest that any
// process knew. It has no effect if another document with the active version is known, because
// processes compare only versions and may mean the other one.
func (r *Routes) Confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ambiguousVersion == 0 || r.ambiguousVersion != r.Version() {
		r.confirmed = max(r.confirmed, at)
	}
}

// Run reads and watches the document until the context ends. A process that is not a reader
// reads the document once at the start and then while it has none or its document is stale.
func (r *Routes) Run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		if !first && r.rank.Load() == nonReaderRank && r.Version() > 0 {
			if wait := r.timeUntilRead(); wait > 0 {
				pause(ctx, min(max(wait, minCheckInterval), nonReaderInterval))
				continue
			}
			r.stale.Log("version", r.Version(), "age_seconds", r.Age().Seconds())
		}
		if err := r.Refresh(ctx); err != nil {
			r.failed.Log("key", r.cfg.Key, "error", err)
		} else if r.rank.Load() != nonReaderRank {
			r.watch(ctx)
		}
		// Without this pause, a watch that ends immediately would cause a busy loop of
		// calls.
		pause(ctx, r.jitter(r.retryPause()))
	}
}

// retryPause returns the mean pause between the end of a read or watch and the next read.
// Calls during an outage are billed, so once a document is active, a reader retries less
// often the greater its rank number is, and a process that is no reader doubles its pause up to a
// limit that grows with the fleet.
func (r *Routes) retryPause() time.Duration {
	if r.Version() == 0 {
		return routesRetryInterval
	}
	rank := r.rank.Load()
	if rank != nonReaderRank {
		return routesRetryInterval * time.Duration(1+rank)
	}
	r.mu.Lock()
	failed := r.failedReads
	r.mu.Unlock()
	limit := max(maxStaleRetryPause, time.Duration(r.fleetSize.Load())*time.Second/maxStaleReads)
	return min(routesRetryInterval<<min(failed, maxPauseDoublings), limit)
}

// maxPauseDoublings bounds the doublings of a pause, so that it cannot overflow.
const maxPauseDoublings = 16

// watch watches the document and reads it whenever a read is due. It returns when the
// watch or a read fails, or when it checks whether a read is due and this process is no
// longer a reader.
func (r *Routes) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	from := r.readRevision + 1
	r.mu.Unlock()
	changes, err := r.cfg.Store.Watch(ctx, r.cfg.prefix(), from)
	if err != nil {
		r.failed.Log("key", r.cfg.Key, "error", err)
		return
	}
	for {
		timer := time.NewTimer(max(r.timeUntilRead(), minCheckInterval))
		select {
		case change, open := <-changes:
			timer.Stop()
			if !open || change.Err != nil {
				return
			}
			r.installEvents(change.Events)
			r.updateOrders(change)
		case <-timer.C:
			if r.rank.Load() == nonReaderRank {
				return
			}
			if r.timeUntilRead() > 0 {
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

// minCheckInterval is the minimum interval for checking whether a read is due.
const minCheckInterval = 50 * time.Millisecond

// timeUntilRead returns the time until this process reads the document again if the watch
// reports no change: until its turn among the readers or, if it is no reader or its rank number is
// large, until the document is stale. It is negative if the read is overdue. A document that could not be decoded is read again no sooner than another.
func (r *Routes) timeUntilRead() time.Duration {
	rank := r.rank.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	last, allowed := max(r.readAt, r.confirmed), r.staleAge(routesReaderSpread)
	if rank == nonReaderRank {
		// A peer that provides a document confirms it only in its next message.
		last, allowed = max(last, r.peerActivatedAt), r.staleAge(r.staleSpread)
	} else {
		allowed = min(allowed, routesReadAge+time.Duration(rank)*routesReadStagger)
	}
	return allowed - (r.cfg.Clock() - last)
}

// staleAge returns the time after the last confirmation after which the document is stale, routesStaleAge
// and the given spread in a small fleet.
func (r *Routes) staleAge(spread time.Duration) time.Duration {
	age := routesStaleAge + spread
	if n := r.fleetSize.Load(); n > routesGossipFleet {
		age += time.Duration(math.Log2(float64(n)/routesGossipFleet) * float64(routesGossipTime))
	}
	return age
}

// Refresh reads the document from the store once.
func (r *Routes) Refresh(ctx context.Context) error {
	started := r.cfg.Clock()
	// List returns the store revision at which it was executed. The watch starts from that
	// revision, as the history since the document's own revision may have been compacted.
	kvs, revision, err := r.cfg.Store.List(ctx, r.cfg.prefix())
	r.readFailed.Store(err != nil)
	r.noteRead(err)
	if err != nil {
		return err
	}
	// Before the document is confirmed: a confirmation stands for the orders as well.
	r.replaceOrders(kvs, revision)
	for _, kv := range kvs {
		if kv.Key == r.cfg.Key {
			r.mu.Lock()
			r.readAt, r.readRevision = started, revision
			if r.install(kv) && r.Version() >= r.known {
				r.confirmed = max(r.confirmed, started)
			}
			r.mu.Unlock()
			r.documentMissing.Store(false)
			return nil
		}
	}
	r.documentMissing.Store(true)
	return store.ErrNotFound
}

// noteRead counts consecutive failed reads and draws the random part of the stale age.
func (r *Routes) noteRead(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Rand != nil {
		r.staleSpread = time.Duration(r.cfg.Rand.Int64N(int64(routesStaleSpread)))
	}
	r.failedReads++
	if err == nil {
		r.failedReads = 0
	}
}

func (r *Routes) installEvents(events []store.Event) {
	for _, e := range events {
		if e.KV.Key == r.cfg.Key && !e.Deleted {
			r.mu.Lock()
			r.install(e.KV)
			r.mu.Unlock()
		}
	}
}

// install processes the document that the store holds and reports whether it is the active one.
// The store's revisions are not compared: after the store has returned from an older copy, it
// assigns them again. The caller holds the lock.
func (r *Routes) install(kv store.KV) bool {
	r.activate(kv.Value, "revision", kv.ModRevision)
	active := r.Version() > 0 && bytes.Equal(kv.Value, r.text)
	r.first.Store(active && kv.CreateRevision != 0 && kv.CreateRevision == kv.ModRevision)
	return active
}

// First reports whether the store has never held another document than the active one: its key has not changed since
// it was created.
func (r *Routes) First() bool { return r.first.Load() }

// activate decodes a document and makes it active if its version is higher. A process never
// returns to a lower version, and keeps its document if the new one cannot be decoded. logKey and
// logValue are a pair for the log that says where the document came from. The caller holds the
// lock.
func (r *Routes) activate(text []byte, logKey string, logValue any) {
	active := r.active.Load()
	if active != nil && bytes.Equal(text, r.text) {
		return
	}
	hash := xxhash.Sum64(text)
	if hash == r.rejectedHash {
		return
	}
	doc, found, err := r.cfg.Decode(text)
	if err == nil && reflect.DeepEqual(doc, active) {
		r.text = text
		return
	}
	if err == nil {
		err = r.checkVersion(doc.Version)
	}
	if err != nil {
		r.rejectedHash = hash
		r.cfg.Log.Log(event.RoutesRejected, logKey, logValue, "error", err)
		return
	}
	for _, f := range found {
		r.cfg.Log.Log(event.RouteUnusable, "version", doc.Version, "finding", f.String())
	}
	r.text = text
	r.first.Store(false)
	r.active.Store(doc)
	r.cfg.Log.Log(event.RoutesActive, "version", doc.Version, logKey, logValue, "routes", len(doc.Routes))
	if r.cfg.Activated != nil {
		r.cfg.Activated(doc)
	}
}

// checkVersion returns an error unless the version is higher than that of the active document.
// Another document with the same version is not activated either, because peers compare only
// versions, so that not all processes would get it.
func (r *Routes) checkVersion(version int64) error {
	switch active := r.Version(); {
	case version < active:
		return errors.Newf("version %d is lower than the active version %d", version, active)
	case version == active:
		r.ambiguousVersion = version
		return errors.Newf("another document with version %d is active", version)
	}
	return nil
}

// jitter returns a random duration within 25% of d.
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
