package demo

import (
	"context"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

const (
	balanceInterval = 500 * time.Millisecond
	// slowStartDuration is how long after its start an agent accepts fewer flows.
	slowStartDuration = 30 * time.Second
)

// imbalance is the ratio of maximum to mean of the open flows on the ready upstreams of
// one service: the largest of all samples taken while no upstream started or drained.
type imbalance struct {
	Service string
	Ratio   float64
	Samples int
	Open    []int // open flows of each upstream in the worst sample
}

// measureBalance samples the open flows of the upstreams until ctx ends and returns the
// worst sample of each service.
func (f *fleet) measureBalance(ctx context.Context, start time.Time) []imbalance {
	worst := make([]imbalance, len(f.spec.services))
	for i, s := range f.spec.services {
		worst[i].Service = s.name
	}
	for sleep(ctx, balanceInterval) {
		if time.Since(start) < 2*rampUp {
			continue
		}
		for i := range worst {
			f.sampleBalance(ctx, &worst[i], start)
		}
	}
	return worst
}

// sampleBalance adds one sample unless upstreams of the service were starting or
// draining at the time.
func (f *fleet) sampleBalance(ctx context.Context, worst *imbalance, start time.Time) {
	if !f.isStable(worst.Service, start) {
		return
	}
	open, err := f.openFlows(ctx, worst.Service)
	if err != nil || !f.isStable(worst.Service, start) {
		return // an upstream that does not answer fails the run elsewhere
	}
	worst.Samples++
	if ratio := maxOverMean(open); ratio > worst.Ratio {
		worst.Ratio, worst.Open = ratio, open
	}
}

// isStable reports whether no upstream of the service is starting or draining. The
// initial upstreams do not count as starting: all of them are in slow start at the same
// time, which leaves their shares equal.
func (f *fleet) isStable(service string, start time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if u.service != service {
			continue
		}
		starting := u.started.After(start) && time.Since(u.started) < slowStartDuration
		draining := !u.drainStart.IsZero() && u.agent.status() == "running"
		if starting || draining {
			return false
		}
	}
	return true
}

func (f *fleet) openFlows(ctx context.Context, service string) ([]int, error) {
	var open []int
	for _, u := range f.servingUpstreams(service) {
		var report standin.UpstreamReport
		if err := getJSON(ctx, u.reportAddr, "/report", &report); err != nil {
			return nil, err
		}
		open = append(open, report.Open)
	}
	return open, nil
}

func maxOverMean(values []int) float64 {
	sum, highest := 0, 0
	for _, v := range values {
		sum += v
		highest = max(highest, v)
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(len(values)) / float64(sum)
}
