package plan

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/store"
)

// storeState is the reading of the head from the store: by a watch, and by polls
// while there is none.
type storeState struct {
	headFetch uint64 // 0: none in progress
	deadline  time.Duration
	watch     uint64 // 0: none open
	next      time.Duration
	failures  int // since the store last answered
	answered  bool
	head      Head          // the highest one seen in the store
	retry     time.Duration // before which its pages are not fetched again
}

// offer keeps the head when it is higher than the earlier ones. A value that cannot
// be decoded is ignored: the active lists stay in force.
func (s *storeState) offer(value []byte) {
	if len(value) == 0 {
		return
	}
	head, err := DecodeHead(value)
	if err == nil && head.Revision > s.head.Revision {
		s.head, s.retry = head.Short(), 0
	}
}

func (r *Reader) stepStore(now time.Duration) {
	s := &r.store
	if !r.readsStore {
		r.leaveStore()
		return
	}
	if s.headFetch != 0 && now >= s.deadline {
		r.storeHeadDone(now, Result{Err: errTimeout})
	}
	if s.headFetch == 0 && now >= s.next {
		s.headFetch = r.emit(Fetch{Kind: FetchHead})
		s.deadline = now + r.cfg.FetchTimeout
	}
}

// leaveStore ends the reading when another process has taken it over.
func (r *Reader) leaveStore() {
	if r.store.watch != 0 {
		r.out = append(r.out, Fetch{ID: r.store.watch, Kind: StopWatch})
	}
	r.store = storeState{}
}

func (r *Reader) storeHeadDone(now time.Duration, result Result) {
	s := &r.store
	s.headFetch = 0
	if result.Err != nil {
		r.storeFailed(now)
		return
	}
	s.failures, s.answered = 0, true
	s.next = now + r.jitter(r.cfg.SafetyPoll)
	s.offer(result.Head)
	if s.watch == 0 {
		s.watch = r.emit(Fetch{Kind: WatchHead, From: result.StoreRevision + 1})
	}
}

// watchDone reads the head again: at once when the watch's start was compacted, since
// the store answers, and after a pause otherwise.
func (r *Reader) watchDone(now time.Duration, err error) {
	r.store.watch = 0
	if errors.Is(err, store.ErrCompacted) {
		r.store.next = now
		return
	}
	r.storeFailed(now)
}

func (r *Reader) storeFailed(now time.Duration) {
	s := &r.store
	backoff := min(r.cfg.PollInterval<<min(s.failures, 16), r.cfg.MaxBackoff)
	s.failures++
	s.next = now + r.jitter(backoff)
}
