package standin

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
)

// PathStoreCounts is the path of the endpoint that returns StoreCounts as JSON.
const PathStoreCounts = "/standin/counts"

// StoreCounts contains the counters since the start. Calls is the number of calls by name
// ("range", "txn", "put", "compaction", "grant", "keepalive", "revoke", "watch"). BytesIn
// and BytesOut are the bytes of the request and response bodies of these calls, without
// HTTP headers.
type StoreCounts struct {
	Calls    map[string]int64 `json:"calls"`
	BytesIn  int64            `json:"bytes_in"`
	BytesOut int64            `json:"bytes_out"`
	Watches  int64            `json:"watches"` // currently open
}

type counts struct {
	mu       sync.Mutex
	calls    map[string]int64
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
	watches  atomic.Int64
}

func (c *counts) addCall(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[name]++
}

// Counts returns the counters since the start.
func (s *StoreServer) Counts() StoreCounts {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	return StoreCounts{
		Calls:    maps.Clone(s.counts.calls),
		BytesIn:  s.counts.bytesIn.Load(),
		BytesOut: s.counts.bytesOut.Load(),
		Watches:  s.counts.watches.Load(),
	}
}

func (s *StoreServer) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counts())
}
