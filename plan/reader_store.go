package plan

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/store"
)

// storeState is the state of reading the head from the store: by a watch, and by single
// reads before the watch, after a failure and at intervals of SafetyPoll.
type storeState struct {
	headFetch uint64 // 0: none in progress
	deadline  time.Duration
	watch     uint64        // 0: none open
	nextRead  time.Duration // time of the next read
	failures  int           // consecutive failures
	responded bool
	era       store.Era     // highest era of a read of the head
	head      Head          // head with the highest revision seen in the store in this era
	retryAt   time.Duration // time before which its pages are not fetched again
}

// LostEdit is an edit that is or was active here, although the store no longer has it.
type LostEdit struct {
	Edit
	Stored int64 `json:"stored"` // qualified revision that the store had instead; 0 if it had none
}

// noteLost records the active edit as lost if the store has returned from a copy without it: the
// store then has an earlier revision, or edits of a later era that do not follow it.
func (r *Reader) noteLost(head Head) {
	active := r.Active()
	if active == nil || r.store.era <= active.Head.Era || r.lost != nil && r.lost.ID == active.Head.ID {
		return
	}
	_, found := head.FindEdit(active.Head.ID)
	replaced := head.Qualified() > active.Head.Qualified() && !found && head.HistoryCovers(active.Head.Revision-1)
	if replaced || head.Qualified() < active.Head.Qualified() {
		r.lost = &LostEdit{Edit: active.Head.Edit, Stored: head.Qualified()}
	}
}

// setHead records the head if its qualified revision is higher than that of all earlier ones of
// the era, because a store that has returned from an older copy may have lost those of an earlier
// one. It ignores a value that cannot be decoded: the active lists stay in force.
func (r *Reader) setHead(value []byte, era store.Era) {
	s := &r.store
	if era > s.era {
		s.era, s.head = era, Head{}
	}
	var head Head
	if len(value) > 0 {
		var err error
		if head, err = DecodeHead(value); err != nil {
			return
		}
	}
	r.noteLost(head)
	if head.Qualified() > s.head.Qualified() {
		s.head, s.retryAt = head.Short(), 0
	}
}

func (r *Reader) stepStore(now time.Duration) {
	s := &r.store
	if !r.readsStore {
		r.stopReadingStore()
		return
	}
	if s.headFetch != 0 && now >= s.deadline {
		r.storeHeadDone(now, Result{Err: errTimeout})
	}
	if s.headFetch == 0 && now >= s.nextRead {
		s.headFetch = r.emit(Fetch{Kind: FetchHead})
		s.deadline = now + r.cfg.FetchTimeout
	}
}

// stopReadingStore ends the watch and resets the state. Another process now reads the
// store instead of this one.
func (r *Reader) stopReadingStore() {
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
	s.failures, s.responded = 0, true
	s.nextRead = now + r.jitter(r.cfg.SafetyPoll)
	r.setHead(result.Head, store.EraOf(result.StoreRevision))
	if s.watch == 0 {
		s.watch = r.emit(Fetch{Kind: WatchHead, From: result.StoreRevision + 1})
	}
}

// watchDone schedules a read of the head after the watch has ended: at once if the start
// revision of the watch was compacted, because that error shows that the store responds,
// otherwise after the backoff.
func (r *Reader) watchDone(now time.Duration, err error) {
	r.store.watch = 0
	if errors.Is(err, store.ErrCompacted) {
		r.store.nextRead = now
		return
	}
	r.storeFailed(now)
}

func (r *Reader) storeFailed(now time.Duration) {
	s := &r.store
	backoff := min(r.cfg.PollInterval<<min(s.failures, 16), r.cfg.MaxBackoff)
	s.failures++
	s.nextRead = now + r.jitter(backoff)
}
