package quota

import (
	"time"
)

// lease is the holder's right to admit new flows.
type lease struct {
	length  time.Duration
	end     time.Duration // no new flow is admitted from then on
	renewAt time.Duration // when the next renewal starts (T1 of RFC 8415)

	seq      uint64
	sentAt   time.Duration // when the attempt seq was sent
	resendAt time.Duration // when the attempt is retransmitted
	active   bool          // a renewal is in progress
	timer    backoff
}

func newLease(cfg *Config) lease {
	return lease{
		length: cfg.Lease,
		timer:  backoff{initial: cfg.RetransmitInitial, max: cfg.RetransmitMax, fixed: cfg.FixedRetransmission},
	}
}

func (l *lease) valid(now time.Duration) bool { return now < l.end }

// due reports whether a renewal message has to be sent now.
func (l *lease) due(now time.Duration) bool {
	if !l.active {
		if now < l.renewAt {
			return false
		}
		l.active = true
		l.timer.reset()
		return true
	}
	return now >= l.resendAt
}

// renewed extends the lease from the time at which the renewal was sent. The
// grantor counts from the later time at which it granted the renewal, so the lease
// never ends later at the holder than at the grantor.
func (l *lease) renewed(seq uint64) {
	if !l.active || seq != l.seq {
		return
	}
	l.active = false
	l.end = l.sentAt + l.length
	l.renewAt = l.sentAt + l.length/2
}
