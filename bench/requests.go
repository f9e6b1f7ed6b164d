package bench

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// RequestsConfig configures a run of the request benchmark. A zero field takes its
// default.
type RequestsConfig struct {
	Seed     uint64
	Requests int // that callers make; default 100,000
	// Trace, when set, receives the events of requests that violate a target.
	Trace func(string)
}

const defaultRequests = 100_000

// Validate reports the first field that a run cannot use.
func (c RequestsConfig) Validate() error {
	if c.Requests < 0 {
		return errors.Newf("requests: %d is negative", c.Requests)
	}
	return nil
}

// RequestsResult is what one variant did in one run.
type RequestsResult struct {
	Variant  string `json:"variant"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`

	// RunTwice counts non-idempotent requests that upstreams started more than once.
	RunTwice int `json:"run_twice"`
	// NotRunButRun counts attempts, and requests, that were told not run and ran.
	NotRunButRun int `json:"not_run_but_run"`
	// Crossed counts answers taken by a caller that were cut or named another request.
	Crossed int `json:"crossed"`
	// AnswersLost counts requests whose caller learns only that they are done.
	AnswersLost int `json:"answers_lost"`
	// UnknownShare is the share of requests whose caller ended without knowing.
	UnknownShare float64 `json:"unknown_share"`
	// SlotUse is the share of slots in use over the time in which requests waited for
	// a slot, paused agents included.
	SlotUse float64 `json:"slot_use"`
	// SlotUseAll includes the time in which requests waited only for a permit.
	SlotUseAll float64 `json:"slot_use_with_permit_waits"`
	// RefusedShare is the share of requests that ended as not run.
	RefusedShare float64 `json:"refused_share"`
	// QueueP99OverDeadline is the 99th percentile of the time in the queue divided by
	// the deadline left on arrival, over all requests that were queued.
	QueueP99OverDeadline float64 `json:"queue_p99_over_deadline"`

	StoreWritesPerSecond  float64 `json:"store_writes_per_second"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"` // sent, mean of the agents
	// ControlBytesByKind is indexed by request.Kind and is the sum over the run.
	ControlBytesByKind [16]uint64 `json:"control_bytes_by_kind"`

	VirtualSeconds float64 `json:"virtual_seconds"`
	Deaths         int     `json:"deaths"`
	UpstreamRuns   int     `json:"upstream_runs"`
	LateAnswers    uint64  `json:"late_answers"` // dropped
	// The unknown outcomes by cause.
	UnknownLost     int `json:"unknown_attempt_lost"`
	UnknownDeadline int `json:"unknown_deadline"`
	UnknownBroken   int `json:"unknown_broken"`
}

type permits string

const (
	withoutKeys  permits = "without-keys"
	storePermits permits = "store-permits"
	registrars   permits = "registrars"
)

// RunRequests runs every variant on the same arrivals and faults.
func RunRequests(cfg RequestsConfig) []RequestsResult {
	if cfg.Requests == 0 {
		cfg.Requests = defaultRequests
	}
	variants := [...]permits{withoutKeys, storePermits, registrars}
	results := make([]RequestsResult, len(variants))
	var wg sync.WaitGroup
	for i, v := range variants {
		wg.Go(func() { results[i] = runRequests(cfg, v) })
	}
	wg.Wait()
	return results
}

// runRequests runs one variant until the last caller has ended.
func runRequests(cfg RequestsConfig, v permits) RequestsResult {
	w := newRequestWorld(cfg, v)
	for !w.callers.finished() {
		w.net.Run(time.Second)
	}
	w.net.Run(requestSettle)
	return w.result()
}

// requestSettle lets delayed messages arrive after the last caller has ended, so
// that late runs are counted.
const requestSettle = 30 * time.Second
