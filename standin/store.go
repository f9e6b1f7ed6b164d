package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
	"github.com/nutmegtrack/nutmegtrack/store/mem"
)

// StoreConfig configures the stand-in for the platform's store. Zero fields get
// their defaults.
type StoreConfig struct {
	History int // number of changes kept for watches; older ones are compacted
}

const (
	defaultHistory = 10000

	// maxRequestBody is the maximum size of a request body in bytes. The published
	// protocol's default limit is 1.5 MiB before base64 encoding, which is 2 MiB after
	// it.
	maxRequestBody = 2 << 20
)

// StoreServer serves the etcd v3 JSON-over-HTTP protocol from memory. Leases expire
// in real time, and watches can start at any revision that has not been compacted.
// PathStoreFaults injects faults, and PathStoreCounts returns its counters.
type StoreServer struct {
	mux    *http.ServeMux
	counts counts
	start  time.Time

	mu      sync.Mutex
	engine  *mem.Engine
	faults  StoreFaults
	changed chan struct{} // closed and replaced to notify the watches of a change
	expiry  *time.Timer
	closed  bool
}

var _ http.Handler = (*StoreServer)(nil)

// NewStoreServer returns an empty store.
func NewStoreServer(cfg StoreConfig) *StoreServer {
	if cfg.History == 0 {
		cfg.History = defaultHistory
	}
	s := &StoreServer{
		mux:     http.NewServeMux(),
		start:   time.Now(),
		engine:  mem.New(cfg.History),
		changed: make(chan struct{}),
	}
	s.counts.calls = map[string]int64{}
	s.expiry = time.AfterFunc(time.Hour, s.onExpiryTimer)
	s.routes()
	return s
}

func (s *StoreServer) routes() {
	s.mux.HandleFunc("POST "+wire.PathRange, handle(s, readCall, s.rangeKeys))
	s.mux.HandleFunc("POST "+wire.PathTxn, handle(s, writeCall, s.txn))
	s.mux.HandleFunc("POST "+wire.PathPut, handle(s, writeCall, s.put))
	s.mux.HandleFunc("POST "+wire.PathCompaction, handle(s, writeCall, s.compact))
	s.mux.HandleFunc("POST "+wire.PathGrant, handle(s, writeCall, s.grant))
	s.mux.HandleFunc("POST "+wire.PathKeepAlive, handle(s, writeCall, s.keepAlive))
	s.mux.HandleFunc("POST "+wire.PathRevoke, handle(s, writeCall, s.revoke))
	s.mux.HandleFunc("POST "+wire.PathWatch, s.watch)
	s.mux.HandleFunc(PathStoreFaults, s.serveFaults)
	s.mux.HandleFunc("GET "+PathStoreCounts, s.serveCounts)
}

// ServeHTTP implements http.Handler.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Copy returns a copy of the store's state.
func (s *StoreServer) Copy() *mem.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine.Copy()
}

// Restore returns the store to a copy, as a restore from a snapshot does: what was written since
// is lost, and revisions and lease numbers are given out again.
func (s *StoreServer) Restore(copied *mem.Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = copied.Copy()
	s.expireLeases()
	s.notifyWatches()
}

// Close stops the lease timer and ends all watches.
func (s *StoreServer) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.expiry.Stop()
	s.notifyWatches()
}

func (s *StoreServer) now() time.Duration { return time.Since(s.start) }

// notifyWatches notifies all watches of a change. The caller holds the lock.
func (s *StoreServer) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases revokes expired leases and sets the timer for the next expiry. No lease
// expires during an outage. The caller holds the lock.
func (s *StoreServer) expireLeases() {
	if s.closed || s.faults.Outage != OutageNone {
		s.expiry.Stop()
		return
	}
	before := s.engine.Revision()
	s.engine.Expire(s.now())
	if s.engine.Revision() != before {
		s.notifyWatches()
	}
	if next, ok := s.engine.NextExpiry(); ok {
		s.expiry.Reset(next - s.now())
	}
}

func (s *StoreServer) onExpiryTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}
