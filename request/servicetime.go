package request

import (
	"slices"
	"time"
)

// serviceSamples is the number of service times kept. It is odd so that the median is
// one of the samples.
const serviceSamples = 31

// serviceTimes keeps the last service times. Their median adapts to a cold or slow
// upstream within a few requests and ignores single outliers.
type serviceTimes struct {
	last   [serviceSamples]time.Duration
	sorted []time.Duration // cached sort of last; empty if stale
	count  int
}

func (s *serviceTimes) add(d time.Duration) {
	s.last[s.count%serviceSamples] = d
	s.count++
	s.sorted = s.sorted[:0]
}

func (s *serviceTimes) median() time.Duration {
	if s.count == 0 {
		return 0
	}
	s.sort()
	return s.sorted[len(s.sorted)/2]
}

func (s *serviceTimes) longest() time.Duration {
	if s.count == 0 {
		return 0
	}
	s.sort()
	return s.sorted[len(s.sorted)-1]
}

func (s *serviceTimes) sort() {
	if len(s.sorted) == 0 {
		s.sorted = append(s.sorted, s.last[:min(s.count, serviceSamples)]...)
		slices.Sort(s.sorted)
	}
}
