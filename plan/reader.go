package plan

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// ReaderConfig configures a Reader. Zero fields get the defaults.
type ReaderConfig struct {
	PollInterval time.Duration // initial backoff after a failed read or watch of the head; doubled up to MaxBackoff
	MaxBackoff   time.Duration // maximum backoff while the store fails, before jitter
	SafetyPoll   time.Duration // between reads while a watch is open, in case it fails without an error
	FetchTimeout time.Duration // timeout of a fetch
	SourceRetry  time.Duration // pause after a failed fetch before the same source is used again, with jitter
	BatchPages   int           // maximum number of pages in one fetch
}

func (c *ReaderConfig) setDefaults() {
	defaults := ReaderConfig{
		PollInterval: time.Second,
		MaxBackoff:   10 * time.Second,
		SafetyPoll:   time.Minute,
		FetchTimeout: 3 * time.Second,
		SourceRetry:  time.Second,
		BatchPages:   16,
	}
	setDefault(&c.PollInterval, defaults.PollInterval)
	setDefault(&c.MaxBackoff, defaults.MaxBackoff)
	setDefault(&c.SafetyPoll, defaults.SafetyPoll)
	setDefault(&c.FetchTimeout, defaults.FetchTimeout)
	setDefault(&c.SourceRetry, defaults.SourceRetry)
	setDefault(&c.BatchPages, defaults.BatchPages)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// FetchKind is the kind of a Fetch.
type FetchKind uint8

// Kinds of fetches.
const (
	FetchHead  FetchKind = iota // read the head
	FetchPages                  // read the pages in Hashes
	WatchHead                   // watch HeadKey in the store, starting at store revision From
	StopWatch                   // end the watch; no result is expected
)

// Fetch is an operation on a source that the daemon performs for the reader: a read, or the
// start or end of a watch. The daemon passes the result to FetchDone, and the events of a
// watch to WatchEvent.
type Fetch struct {
	ID     uint64
	Kind   FetchKind
	Peer   netip.AddrPort // control address of the peer; the zero value means the store
	From   int64
	Hashes []Hash
}

// Result is the result of a fetch.
type Result struct {
	Head          []byte // FetchHead: the encoded head; empty if there is none
	StoreRevision int64  // FetchHead from the store: the store revision of the read
	Pages         Pages  // FetchPages: the pages that the source has
	Err           error
}

// Reader is the state machine that fetches and installs new revisions of the lists. The
// processes that read the store fetch from it; all processes fetch from peers that are
// known to have a higher revision. It uses one source at a time, keeps the pages that
// it has and fetches only the missing ones.
type Reader struct {
	cfg        ReaderConfig
	rng        *rand.Rand
	installer  Installer
	readsStore bool
	lastID     uint64
	store      storeState
	peers      peerSet
	transfer   *transfer
	cache      Pages // pages of the active revision, and those already fetched of the next one
	previous   Pages // pages of the revision before the active one
	rejected   int64 // highest qualified revision that could not be installed
	rejection  error
	lost       *LostEdit // last edit found to be lost by the store; nil if there is none
	out        []Fetch
}

// NewReader returns a reader without lists. It does not read the store until
// SetReadsStore enables that.
func NewReader(cfg ReaderConfig, rng *rand.Rand) *Reader {
	cfg.setDefaults()
	return &Reader{cfg: cfg, rng: rng, peers: peerSet{}, cache: Pages{}}
}

// SetReadsStore sets whether this process reads the store.
func (r *Reader) SetReadsStore(reads bool) { r.readsStore = reads }

// Step returns the fetches to start now. The daemon must call it after each input and at
// least every 100 ms.
func (r *Reader) Step(now time.Duration) []Fetch {
	r.stepStore(now)
	r.stepTransfer(now)
	out := r.out
	r.out = nil
	return out
}

// SetPeerRevision records the qualified revision that a peer has announced by gossip.
func (r *Reader) SetPeerRevision(now time.Duration, peer netip.AddrPort, revision int64) {
	r.peers.setRevision(peer, revision)
}

// RemovePeer removes a peer that has left or failed.
func (r *Reader) RemovePeer(peer netip.AddrPort) { delete(r.peers, peer) }

// WatchEvent handles a new value of the head from the watch; it is empty after a deletion.
func (r *Reader) WatchEvent(now time.Duration, id uint64, value []byte) {
	if id == r.store.watch {
		r.setHead(value, r.store.era)
	}
}

// FetchDone handles the result of a fetch, or the end of a watch. It ignores results of fetches
// that have timed out or were superseded.
func (r *Reader) FetchDone(now time.Duration, id uint64, result Result) {
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

// jitter returns a random duration from half to one and a half times d, so that processes
// that failed at the same time do not retry at the same time.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.rng.Int64N(int64(d)))
}

// Active returns the active lists, or nil if none are installed.
func (r *Reader) Active() *Installed { return r.installer.Active() }

// Head returns the active short head, encoded for a peer, or nil if none is installed.
func (r *Reader) Head() []byte {
	if r.Active() == nil {
		return nil
	}
	return r.Active().Head.Short().Encode()
}

// Pages returns the requested pages that this process has. The pages of the previous
// revision are kept for peers that are still fetching it.
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

// ReaderStatus is the reader's state in a dump. Revisions are qualified with their eras.
type ReaderStatus struct {
	Revision    int64  `json:"revision"`
	EditID      string `json:"edit_id"`
	ReadsStore  bool   `json:"reads_store"`
	StoreAnswer bool   `json:"store_answers"` // the last read of the store succeeded
	Watching    bool   `json:"watching"`
	Rejected    int64  `json:"rejected_revision"` // highest revision that could not be installed; 0: none
	Rejection   string `json:"rejection"`

	Lost *LostEdit `json:"lost_edit,omitempty"`
}

// Status returns the reader's state.
func (r *Reader) Status() ReaderStatus {
	s := ReaderStatus{
		Revision:    r.installer.Revision(),
		ReadsStore:  r.readsStore,
		StoreAnswer: r.store.responded && r.store.failures == 0,
		Watching:    r.store.watch != 0,
		Rejected:    r.rejected,
		Lost:        r.lost,
	}
	if r.Active() != nil {
		s.EditID = r.Active().Head.ID
	}
	if r.rejection != nil {
		s.Rejection = r.rejection.Error()
	}
	return s
}
