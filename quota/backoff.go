package quota

import (
	"math/rand/v2"
	"time"
)

// jitter is the randomisation factor of retransmission times (RAND in RFC 8415,
// section 15).
const jitter = 0.1

// backoff computes retransmission times as in RFC 8415, section 15: the first is
// IRT, each further one is doubled up to MRT. All are randomised so that processes
// that start together do not stay synchronised.
type backoff struct {
	initial, max time.Duration
	fixed        bool
	last         time.Duration
}

func (b *backoff) next(rng *rand.Rand) time.Duration {
	if b.fixed {
		return b.initial
	}
	factor := jitter * (2*rng.Float64() - 1)
	if b.last == 0 {
		b.last = b.initial + scale(b.initial, factor)
		return b.last
	}
	b.last = 2*b.last + scale(b.last, factor)
	if b.last > b.max {
		b.last = b.max + scale(b.max, factor)
	}
	return b.last
}

func (b *backoff) reset() { b.last = 0 }

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
