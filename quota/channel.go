package quota

import (
	"time"
)

// channel transfers batches of tokens to and from one party. At most one batch is
// outstanding, so that a sequence number suffices to add each batch exactly once.
type channel struct {
	peer Party

	seq         uint64 // of the outstanding or the last acknowledged batch
	outstanding []Amount
	resendAt    time.Duration
	timer       backoff

	queued   map[Account]int32 // deducted from the account, not yet in a batch
	order    []Account         // keys of queued, so that batches are deterministic
	received uint64            // sequence number of the last batch added
}

func newChannel(peer Party, cfg *Config) *channel {
	timer := backoff{initial: cfg.RetransmitInitial, max: cfg.RetransmitMax, fixed: cfg.FixedRetransmission}
	return &channel{peer: peer, timer: timer, queued: map[Account]int32{}}
}

// queue adds tokens that the caller has deducted from its account.
func (c *channel) queue(a Account, tokens int32) {
	if c.queued[a] == 0 {
		c.order = append(c.order, a)
	}
	c.queued[a] += tokens
}

// startBatch moves queued tokens, except of accounts for which skip returns true,
// into a new batch unless one is outstanding. It reports whether it started a
// batch.
func (c *channel) startBatch(limit int, skip func(Account) bool) bool {
	if len(c.outstanding) > 0 || len(c.order) == 0 {
		return false
	}
	rest := c.order[:0:0]
	for _, a := range c.order {
		if len(c.outstanding) >= limit || skip(a) {
			rest = append(rest, a)
			continue
		}
		c.outstanding = append(c.outstanding, Amount{a, c.queued[a]})
		delete(c.queued, a)
	}
	c.order = rest
	if len(c.outstanding) == 0 {
		return false
	}
	c.seq++
	c.timer.reset()
	return true
}

// acknowledge ends the outstanding batch if seq is its sequence number.
func (c *channel) acknowledge(seq uint64) bool {
	if seq != c.seq || len(c.outstanding) == 0 {
		return false
	}
	c.outstanding = nil
	return true
}

// acceptSeq reports whether a received batch is new, and records its sequence
// number.
func (c *channel) acceptSeq(seq uint64) bool {
	if seq != c.received+1 {
		return false
	}
	c.received = seq
	return true
}
