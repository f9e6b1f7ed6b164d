package plan

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// errTimeout is the result of a fetch that was not answered within FetchTimeout.
var errTimeout = errors.New("plan: fetch timed out")

// transfer is the state of fetching one revision from one source.
type transfer struct {
	peer     netip.AddrPort // the zero value means the store
	fetch    uint64
	deadline time.Duration
	head     *Head // nil while it is being fetched from a peer
}

// handledRevision returns the highest qualified revision that was installed or rejected. Only higher ones
// are fetched.
func (r *Reader) handledRevision() int64 { return max(r.installer.Revision(), r.rejected) }

// stepTransfer ends a transfer that has timed out, and starts the next one if there is
// none.
func (r *Reader) stepTransfer(now time.Duration) {
	if r.transfer != nil && now >= r.transfer.deadline {
		r.transferFailed(now)
	}
	if r.transfer != nil {
		return
	}
	if r.store.head.Qualified() > r.handledRevision() && now >= r.store.retryAt {
		r.startTransfer(now, netip.AddrPort{}, r.store.head)
		return
	}
	if peer, ok := r.peers.choose(now, r.handledRevision(), r.rng); ok {
		id := r.emit(Fetch{Kind: FetchHead, Peer: peer})
		r.transfer = &transfer{peer: peer, fetch: id, deadline: now + r.cfg.FetchTimeout}
	}
}

// startTransfer begins to fetch the missing pages of a head.
func (r *Reader) startTransfer(now time.Duration, peer netip.AddrPort, head Head) {
	r.transfer = &transfer{peer: peer, head: &head}
	r.fetchMissing(now)
}

func (r *Reader) fetchMissing(now time.Duration) {
	t := r.transfer
	missing := r.missingPages(*t.head)
	if len(missing) == 0 {
		r.install(*t.head)
		return
	}
	t.fetch = r.emit(Fetch{Kind: FetchPages, Peer: t.peer, Hashes: missing[:min(len(missing), r.cfg.BatchPages)]})
	t.deadline = now + r.cfg.FetchTimeout
}

// missingPages returns the pages of the head that have not been fetched yet, without duplicates.
func (r *Reader) missingPages(head Head) []Hash {
	var missing []Hash
	seen := map[Hash]bool{}
	for _, hash := range head.Hashes() {
		if _, ok := r.cache[hash]; !ok && !seen[hash] {
			seen[hash] = true
			missing = append(missing, hash)
		}
	}
	return missing
}

func (r *Reader) transferDone(now time.Duration, result Result) {
	switch {
	case result.Err != nil:
		r.transferFailed(now)
	case r.transfer.head == nil:
		r.peerHeadDone(now, result.Head)
	default:
		r.pagesDone(now, result.Pages)
	}
}

// peerHeadDone handles the head received from a peer. If its revision is lower than the peer
// announced, the recorded revision of the peer is corrected.
func (r *Reader) peerHeadDone(now time.Duration, value []byte) {
	peer := r.transfer.peer
	head, err := DecodeHead(value)
	if err != nil {
		r.transferFailed(now)
		return
	}
	r.peers.setRevision(peer, head.Qualified())
	if head.Qualified() <= r.handledRevision() {
		r.transfer = nil
		return
	}
	r.startTransfer(now, peer, head.Short())
}

// pagesDone caches the fetched pages whose content matches their hashes. If there are none,
// the transfer has failed: the source no longer has the pages of this revision, or returned
// wrong content.
func (r *Reader) pagesDone(now time.Duration, pages Pages) {
	progress := false
	for _, hash := range r.missingPages(*r.transfer.head) {
		if page, ok := pages[hash]; ok && HashOf(page) == hash {
			r.cache[hash] = page
			progress = true
		}
	}
	if !progress {
		r.transferFailed(now)
		return
	}
	r.fetchMissing(now)
}

// transferFailed ends the transfer and pauses fetches from its source; another source may
// be used at once. The pages fetched so far are kept.
func (r *Reader) transferFailed(now time.Duration) {
	retryAt := now + r.jitter(r.cfg.SourceRetry)
	if peer := r.transfer.peer; peer.IsValid() {
		r.peers.postpone(peer, retryAt)
	} else {
		r.store.retryAt = retryAt
		r.store.nextRead = min(r.store.nextRead, retryAt) // the head may have changed
	}
	r.transfer = nil
}

// install makes a complete revision active. The revision of lists that cannot be installed
// is recorded, so that they are not fetched again.
func (r *Reader) install(head Head) {
	r.transfer = nil
	before := r.Active()
	if err := r.installer.Install(head, r.cache); err != nil {
		r.rejected, r.rejection = head.Qualified(), err
		r.cache = r.pagesOf(before)
		return
	}
	r.rejection = nil
	r.previous = r.pagesOf(before)
	r.cache = r.pagesOf(r.Active())
}

// pagesOf returns the pages of an installed revision; callers drop all others.
func (r *Reader) pagesOf(installed *Installed) Pages {
	pages := Pages{}
	if installed == nil {
		return pages
	}
	for _, hash := range installed.Head.Hashes() {
		pages[hash] = r.cache[hash]
	}
	return pages
}
