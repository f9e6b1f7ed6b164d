package demo

import (
	"context"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

const (
	balanceEvery = 500 * time.Millisecond
	// slowStart is the time after its start in which an agent takes fewer flows.
	slowStart = 30 * time.Second
)

// imbalance is the max/mean of open flows over ready upstreams of one service: the
// largest of all samples taken while nothing was starting or draining.
type imbalance struct {
	Service string
	Ratio   float64
	Samples int
	Open    []int // flows of each upstream in the worst sample
}

// watchBalance samples the upstreams until ctx ends.
func (f *fleet) watchBalance(ctx context.Context, start time.Time) []imbalance {
	worst := make([]imbalance, len(f.spec.services))
	for i, s := range f.spec.services {
		worst[i].Service = s.name
	}
	for pause(ctx, balanceEvery) {
		if time.Since(start) < 2*rampUp {
			continue
		}
		for i := range worst {
			f.sampleBalance(ctx, &worst[i], start)
		}
	}
	return worst
}

// sampleBalance adds one sample unless the fleet changed during it.
func (f *fleet) sampleBalance(ctx context.Context, worst *imbalance, start time.Time) {
	if !f.isQuiet(worst.Service, start) {
		return
	}
	open, err := f.openFlows(ctx, worst.Service)
	if err != nil || !f.isQuiet(worst.Service, start) {
		return // the upstreams that cannot be read fail the run elsewhere
	}
	worst.Samples++
	if ratio := maxOverMean(open); ratio > worst.Ratio {
		worst.Ratio, worst.Open = ratio, open
	}
}

// isQuiet reports whether no upstream of the service is starting or draining. The
// first upstreams start together, so that their slow start changes no share.
func (f *fleet) isQuiet(service string, start time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if u.service != service {
			continue
		}
		starting := u.started.After(start) && time.Since(u.started) < slowStart
		draining := !u.drained.IsZero() && u.agent.status() == "running"
		if starting || draining {
			return false
		}
	}
	return true
}

func (f *fleet) openFlows(ctx context.Context, service string) ([]int, error) {
	var open []int
	for _, u := range f.serving(service) {
		var report standin.UpstreamReport
		if err := getJSON(ctx, u.report, "/report", &report); err != nil {
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
