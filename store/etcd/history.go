package etcd

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
)

// history notices that the store does not continue the history that this client has seen, as
// after a restore from a snapshot. The protocol has no number that orders the lives of the
// store, and revisions of before could be equal to later ones, so the client then refuses all
// further calls until the process is restarted. It does not notice a restored store that has
// kept its cluster ID and has passed the highest revision seen before the next read or
// transaction.
type history struct {
	log *event.Logger // may be nil

	mu       sync.Mutex
	cluster  wire.ID // empty until an answer has carried one
	revision int64   // highest one seen
	lost     error   // not nil once the history has ended
}

// begin returns the highest revision seen, or an error if the history has ended.
func (h *history) begin() (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision, h.lost
}

// check processes the header of a response to a read or transaction that was sent when the
// highest revision seen was floor. A stale response may be of an older revision.
func (h *history) check(header wire.Header, floor int64, stale bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	revision := int64(header.Revision)
	switch {
	case h.lost != nil:
	case h.cluster != "" && header.ClusterID != "" && header.ClusterID != h.cluster:
		h.lost = errors.Newf("the cluster ID has changed from %s to %s", h.cluster, header.ClusterID)
	case !stale && revision != 0 && revision < floor: // 0: the response has none
		h.lost = errors.Newf("the revision has gone back from %d to %d", floor, revision)
	default:
		h.revision = max(h.revision, revision)
		if h.cluster == "" {
			h.cluster = header.ClusterID
		}
		return nil
	}
	if h.log != nil {
		h.log.Log(event.StoreHistoryLost, "error", h.lost)
	}
	return h.lost
}
