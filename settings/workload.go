package settings

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/finding"
)

// Milliseconds is a period in milliseconds.
type Milliseconds float64

// Duration returns the period as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Workload describes a service and its callers for "nutmegtrack bench load".
type Workload struct {
	// Seconds is the length of a run.
	Seconds Seconds `json:"seconds" default:"30" min:"1" max:"600"`
	// Upstreams is the number of upstreams of the service.
	Upstreams int `json:"upstreams" required:"true" min:"1" max:"1000"`
	// Slots is the number of requests that an upstream runs at once.
	Slots int `json:"slots" required:"true" min:"1" max:"1000"`
	// Queue is the number of requests that an upstream queues. It rejects further ones.
	Queue int `json:"queue" default:"28" min:"0" max:"10000"`
	// ColdSeconds is how long an upstream is slow after its start.
	ColdSeconds Seconds `json:"cold_seconds" default:"0" min:"0" max:"600"`
	// ColdFactor multiplies the work of requests at an upstream that is slow after its start.
	ColdFactor float64 `json:"cold_factor" default:"1" min:"1" max:"100"`
	// RoundTripMilliseconds is the round trip between a caller and an upstream.
	RoundTripMilliseconds Milliseconds `json:"round_trip_milliseconds" default:"4" min:"0" max:"1000"`
	// AttemptMilliseconds is how long a caller waits for a flow to open before it gives up
	// the attempt.
	AttemptMilliseconds Milliseconds `json:"attempt_milliseconds" default:"1400" min:"1" max:"60000"`
	// Outage is a time without any upstream.
	Outage WorkloadOutage `json:"outage"`
	// Burst is a time with more requests than usual.
	Burst WorkloadBurst `json:"burst"`
	// Classes are the kinds of requests.
	Classes []WorkloadClass `json:"classes" required:"true"`
}

// WorkloadOutage is a power failure of all upstreams. Requests in progress are lost.
type WorkloadOutage struct {
	// AtSeconds is when the upstreams stop; with DownSeconds 0 they do not.
	AtSeconds Seconds `json:"at_seconds" default:"0" min:"0" max:"600"`
	// DownSeconds is how long they are away.
	DownSeconds Seconds `json:"down_seconds" default:"0" min:"0" max:"600"`
	// SpreadSeconds is the time between the first and the last upstream that is back.
	SpreadSeconds Seconds `json:"spread_seconds" default:"0" min:"0" max:"60"`
	// ResetSeconds is the time from the start of the last upstream until callers on lost flows
	// receive a reset.
	ResetSeconds Seconds `json:"reset_seconds" default:"0.5" min:"0" max:"60"`
}

// WorkloadBurst multiplies the rates of all classes for some time.
type WorkloadBurst struct {
	// AtSeconds is when the burst begins.
	AtSeconds Seconds `json:"at_seconds" default:"0" min:"0" max:"600"`
	// ForSeconds is its length.
	ForSeconds Seconds `json:"for_seconds" default:"0" min:"0" max:"600"`
	// Factor multiplies the rates meanwhile.
	Factor float64 `json:"factor" default:"1" min:"0" max:"100"`
}

// WorkloadClass is one kind of request.
type WorkloadClass struct {
	// Name is the name of the class in reports.
	Name string `json:"name" required:"true"`
	// PerSecond is the mean number of requests per second.
	PerSecond float64 `json:"per_second" required:"true" min:"0" max:"100000"`
	// WorkMilliseconds is the mean processing time of a request.
	WorkMilliseconds Milliseconds `json:"work_milliseconds" required:"true" min:"1" max:"60000"`
	// WorkSpread is the standard deviation of the processing time as a share of its mean.
	WorkSpread float64 `json:"work_spread" default:"0.5" min:"0" max:"3"`
	// ObjectiveMilliseconds is the latency objective, from the caller's first attempt.
	ObjectiveMilliseconds Milliseconds `json:"objective_milliseconds" required:"true" min:"1" max:"60000"`
	// DeadlineMilliseconds is when the caller gives up the request.
	DeadlineMilliseconds Milliseconds `json:"deadline_milliseconds" required:"true" min:"1" max:"600000"`
	// Worth and LateWorth are the credit of an answer within the objective and of a later one.
	Worth     float64 `json:"worth" default:"1" min:"0" max:"1000"`
	LateWorth float64 `json:"late_worth" default:"0.3" min:"0" max:"1000"`
	// Priority orders the classes; 0 is the highest.
	Priority int `json:"priority" default:"0" min:"0" max:"7"`
	// Attempts is how often a caller tries a request.
	Attempts int `json:"attempts" default:"3" min:"1" max:"100"`
	// Flows is "fresh" if each request opens a flow, or "long" if flows stay open.
	Flows string `json:"flows" default:"fresh" oneof:"fresh long"`
	// Repeatable says whether a request that may have run is attempted again: "yes" or "no".
	Repeatable string `json:"repeatable" default:"yes" oneof:"yes no"`
}

// LoadWorkload reads the settings file of a workload. The error is a finding.List when the file
// has findings.
func LoadWorkload(path string) (Workload, error) {
	var w Workload
	err := load(path, &w)
	return w, err
}

func (w *Workload) check(in fileFields, found *finding.List) {
	if end := w.Outage.AtSeconds + w.Outage.DownSeconds; end > w.Seconds {
		in.addFinding(found, "outage", "ends after the run")
	}
	for i := range w.Classes {
		if c := &w.Classes[i]; c.ObjectiveMilliseconds > c.DeadlineMilliseconds {
			in.addFinding(found, "classes", "class "+c.Name+" has an objective beyond its deadline")
		}
	}
}
