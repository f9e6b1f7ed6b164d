package load

import (
	"math"
	"time"
)

// Warmup limits the requests that a cold upstream is given: at most its rate in any sliding second,
// or one in 1/rate seconds if the rate is below one a second. Requests are counted whether or not the
// limit applies, so that those of the last second count when it begins to apply.
//
// Times are counted in steps of a millisecond and rounded so that the limit holds; a request may
// count for a millisecond too long. A later call must not be given an earlier time; if it is,
// the latest time so far is used.
type Warmup struct {
	rate  float64       // requests a second; 0: no limit
	until time.Duration // end of the limit

	given [windowSteps + 1]uint32 // requests of the last steps, by step modulo the length
	sum   int                     // sum of given
	step  int64                   // latest step for which given is valid
	last  int64                   // step of the latest request
	start int64                   // step in which the counting began
}

const (
	// warmupStep is the resolution of the count.
	warmupStep = time.Millisecond
	// windowSteps is the number of steps in a second.
	windowSteps = int64(time.Second / warmupStep)
	// noStep is a step so long ago that it is outside of every window.
	noStep = -1 << 62
)

// MaxWarmupRate is the highest rate that a Warmup accepts, in requests a second. A higher one does not
// limit any upstream, and would be near the range of the counters.
const MaxWarmupRate = 1e6

func stepOf(now time.Duration) int64 { return max(0, int64(now/warmupStep)) }

// NewWarmup returns a Warmup without a rate. What the upstream was given before now, possibly by an
// earlier process, is not known, so the window counts as full.
func NewWarmup(now time.Duration) *Warmup {
	step := stepOf(now)
	return &Warmup{step: step, start: step, last: noStep}
}

// Set sets the rate in requests a second, and the time at which the limit ends. A rate that is not
// positive or not a number means that there is no limit.
func (w *Warmup) Set(rate float64, until time.Duration) {
	w.rate, w.until = 0, until
	if rate > 0 {
		w.rate = min(rate, MaxWarmupRate)
	}
}

// Applies reports whether the limit applies: the upstream has a rate and is cold. A nil Warmup does not apply.
func (w *Warmup) Applies(now time.Duration) bool { return w != nil && w.rate > 0 && now < w.until }

// Rate returns the rate in requests a second, or 0 if there is none.
func (w *Warmup) Rate() float64 { return w.rate }

// Until returns the time at which the limit ends.
func (w *Warmup) Until() time.Duration { return w.until }

// Note records that a request was given to the upstream.
func (w *Warmup) Note(now time.Duration) {
	w.advance(now)
	w.given[w.step%int64(len(w.given))]++
	w.sum++
	w.last = w.step
}

// Given returns the number of requests that were given to the upstream within the last second.
func (w *Warmup) Given(now time.Duration) int {
	w.advance(now)
	return w.sum
}

// Limit returns the room that is left: the number of requests that the upstream may be given now.
// It is meaningful only while the limit applies.
func (w *Warmup) Limit(now time.Duration) int { return w.roomBy(now, now) }

// LimitBy returns the number of requests that the upstream may be given from now to a later time, if each is
// given as soon as there is room; there is no bound if the limit ends before. It is meaningful only while the limit applies.
func (w *Warmup) LimitBy(now, at time.Duration) int {
	if at >= w.until {
		return math.MaxInt
	}
	return w.roomBy(now, at)
}

func (w *Warmup) roomBy(now, at time.Duration) (room int) {
	w.advance(now)
	capacity, length := w.window()
	// A request that is given as soon as there is room makes room for another one when its window has passed.
	for step := max(stepOf(at), w.step); step >= w.step && length > 0; step -= length + 1 {
		room += max(0, capacity-w.countSince(step-length, capacity))
	}
	return room
}

// window returns the number of requests that may be given within a window, and the length of the window in
// steps: a second, or the time for one request if that is longer.
func (w *Warmup) window() (capacity int, steps int64) {
	if w.rate >= 1 {
		return int(w.rate), windowSteps
	}
	if w.rate <= 0 {
		return 0, 0
	}
	return 1, int64(min(math.Ceil(float64(windowSteps)/w.rate), 1<<40))
}

// countSince returns the number of requests that were given in a step or later. Those before the
// start of the count are assumed to be capacity requests, all in its first step.
func (w *Warmup) countSince(from int64, capacity int) (n int) {
	if from <= w.start {
		return capacity
	}
	if from <= w.step-windowSteps {
		// A window longer than a second allows one request, so the latest is all that matters.
		if w.last >= from {
			return max(w.sum, 1)
		}
		return 0
	}
	if w.last < from {
		return 0
	}
	n = w.sum
	for step := w.step - windowSteps; step < from; step++ {
		if step >= 0 {
			n -= int(w.given[step%int64(len(w.given))])
		}
	}
	return n
}

// advance moves the count to now.
func (w *Warmup) advance(now time.Duration) {
	step := stepOf(now)
	if step-w.step >= int64(len(w.given)) {
		w.given, w.sum, w.step = [windowSteps + 1]uint32{}, 0, step
	}
	for w.step < step {
		w.step++
		slot := &w.given[w.step%int64(len(w.given))]
		w.sum -= int(*slot)
		*slot = 0
	}
}
