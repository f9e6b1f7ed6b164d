package plan

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// ReaderConfig sets the times of a Reader. Zero fields get the defaults.
type ReaderConfig struct {
	PollInterval time.Duration // between readings of the head while no watch is open, before backoff
	MaxBackoff   time.Duration // longest time between readings while the store fails
	SafetyPoll   time.Duration // between readings while a watch is open, in case it fails silently
	FetchTimeout time.Duration // after which a fetch without an answer has failed
	PeerRetry    time.Duration // before a peer that failed is asked again
	BatchPages   int           // pages of one fetch
}

func (c *ReaderConfig) complete() {
	defaults := ReaderConfig{
		PollInterval: time.Second,
		MaxBackoff:   10 * time.Second,
		SafetyPoll:   time.Minute,
		FetchTimeout: 3 * time.Second,
		PeerRetry:    time.Second,
		BatchPages:   16,
	}
	setDefault(&c.PollInterval, defaults.PollInterval)
	setDefault(&c.MaxBackoff, defaults.MaxBackoff)
	setDefault(&c.SafetyPoll, defaults.SafetyPoll)
	setDefault(&c.FetchTimeout, defaults.FetchTimeout)
	setDefault(&c.PeerRetry, defaults.PeerRetry)
	setDefault(&c.BatchPages, defaults.BatchPages)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// FetchKind says what the daemon does for the reader.
type FetchKind uint8

// Kinds of fetches.
const (
	FetchHead  FetchKind = iota // read the head
	FetchPages                  // read the pages named in Hashes
	WatchHead                   // watch HeadKey in the store from revision From on
	StopWatch                   // end the watch; it has no result
)

// Fetch is one task for the daemon, which passes its outcome to Done, and what a
// watch delivers to WatchEvent.
type Fetch struct {
	ID     uint64
	Kind   FetchKind
	Peer   netip.AddrPort // control address; the zero value is the store
	From   int64
	Hashes []Hash
}

// Result is the outcome of a fetch.
type Result struct {
	Head          []byte // FetchHead: the head's value; empty when there is none
	StoreRevision int64  // FetchHead from the store: the revision at which it was read
	Pages         Pages  // FetchPages: those that were there
	Err           error
}

// Reader steps the reading of the lists: from the store in the processes that read
// it, otherwise from a peer that is known to have a higher revision. It asks one
// source at a time and keeps the pages that it has.
type Reader struct {
	cfg        ReaderConfig
	rng        *rand.Rand
	installer  Installer
	readsStore bool
	lastID     uint64
	store      storeState
	peers      peerSet
	transfer   *transfer
	cache      Pages // of the active revision, and those of the next that are here already
	previous   Pages // of the revision before the active one
	rejected   int64 // highest revision that failed validation
	rejection  error
	out        []Fetch
}

// NewReader returns a reader without lists. SetReadsStore says whether it reads the
// store.
func NewReader(cfg ReaderConfig, rng *rand.Rand) *Reader {
	cfg.complete()
	return &Reader{cfg: cfg, rng: rng, peers: peerSet{}, cache: Pages{}}
}

// SetReadsStore says whether this process is one of those that read the store.
func (r *Reader) SetReadsStore(reads bool) { r.readsStore = reads }

// Step returns what to fetch now. The daemon calls it after each input, and at
// least every 100 ms.
func (r *Reader) Step(now time.Duration) []Fetch {
	r.stepStore(now)
	r.stepTransfer(now)
	out := r.out
	r.out = nil
	return out
}

// Heard takes the revision that a peer has announced, by gossip.
func (r *Reader) Heard(now time.Duration, peer netip.AddrPort, revision int64) {
	r.peers.heard(peer, revision)
}

// Forget drops a peer that has left or failed.
func (r *Reader) Forget(peer netip.AddrPort) { delete(r.peers, peer) }

// WatchEvent takes the head's value from the watch; it is empty after a deletion.
func (r *Reader) WatchEvent(now time.Duration, id uint64, value []byte) {
	if id == r.store.watch {
		r.store.offer(value)
	}
}

// Done takes the outcome of a fetch, or the end of a watch. Outcomes of fetches that
// have timed out or are no longer wanted are ignored.
func (r *Reader) Done(now time.Duration, id uint64, result Result) {
	switch {
	case id == 0:
	case id == r.store.headFetch:
		r.storeHeadDone(now, result)
	case id == r.store.watch:
		r.watchDone(now, result.Err)
	case r.transfer != nil && id == r.transfer.fetch:
		r.transferDone(now, result)
	}
}

func (r *Reader) emit(f Fetch) uint64 {
	r.lastID++
	f.ID = r.lastID
	r.out = append(r.out, f)
	return f.ID
}

// jitter spreads a time over half of it in both directions, so that processes that
// failed together do not return together.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d)))
}

// Active returns the lists in force, or nil before the first.
func (r *Reader) Active() *Installed { return r.installer.Active() }

// Head returns the active head for a peer, or nil before the first.
func (r *Reader) Head() []byte {
	if r.Active() == nil {
		return nil
	}
	return r.Active().Head.Short().Encode()
}

// Pages returns those of the pages that this process has. The revision before the
// active one is kept for peers that are still fetching it.
func (r *Reader) Pages(hashes []Hash) Pages {
	found := Pages{}
	for _, hash := range hashes {
		if page, ok := r.cache[hash]; ok {
			found[hash] = page
		} else if page, ok := r.previous[hash]; ok {
			found[hash] = page
		}
	}
	return found
}

// ReaderStatus is the reader's part of a dump.
type ReaderStatus struct {
	Revision    int64  `json:"revision"`
	EditID      string `json:"edit_id"`
	ReadsStore  bool   `json:"reads_store"`
	StoreAnswer bool   `json:"store_answers"` // the last reading of the store succeeded
	Watching    bool   `json:"watching"`
	Rejected    int64  `json:"rejected_revision"` // 0: none
	Rejection   string `json:"rejection"`
}

// Status returns the reader's state.
func (r *Reader) Status() ReaderStatus {
	s := ReaderStatus{
		Revision:    r.installer.Revision(),
		ReadsStore:  r.readsStore,
		StoreAnswer: r.store.answered && r.store.failures == 0,
		Watching:    r.store.watch != 0,
		Rejected:    r.rejected,
	}
	if r.Active() != nil {
		s.EditID = r.Active().Head.ID
	}
	if r.rejection != nil {
		s.Rejection = r.rejection.Error()
	}
	return s
}
