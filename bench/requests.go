package bench

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// RequestsConfig configures a run of the request benchmark. Zero fields take their
// defaults.
type RequestsConfig struct {
	Seed     uint64
	Requests int // number of requests of all callers; default 100,000
	// Trace, if set, receives a line for each request or attempt that violates a target,
	// and the history of each request that ended as unknown.
	Trace func(string)
}

const defaultRequests = 100_000

// Validate returns an error for the first field that is out of range.
func (c RequestsConfig) Validate() error {
	if c.Requests < 0 {
		return errors.Newf("requests: %d is negative", c.Requests)
	}
	return nil
}

// RequestsResult is the result of one variant in one run.
type RequestsResult struct {
	Variant  string `json:"variant"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`

	// RunTwice counts non-idempotent requests that upstreams started more than once.
	RunTwice int `json:"run_twice"`
	// NotRunButRun counts attempts and requests that were reported as not run but ran.
	NotRunButRun int `json:"not_run_but_run"`
	// Crossed counts answers accepted by a caller that were truncated or belonged to
	// another request.
	Crossed int `json:"crossed"`
	// AnswersLost counts requests that were reported as done without their answer.
	AnswersLost int `json:"answers_lost"`
	// UnknownShare is the share of requests that ended with an unknown outcome.
	UnknownShare float64 `json:"unknown_share"`
	// SlotUse is the share of slots in use at agents where requests waited for a slot. Paused
	// agents are included.
	SlotUse float64 `json:"slot_use"`
	// SlotUseAll is like SlotUse, but also includes agents where requests waited only for a
	// permit.
	SlotUseAll float64 `json:"slot_use_with_permit_waits"`
	// RefusedShare is the share of requests that ended as not run (request.NotRun).
	RefusedShare float64 `json:"refused_share"`
	// QueueP99OverDeadline is the 99th percentile, over all queued requests, of the time
	// in the queue divided by the time left to the deadline on arrival.
	QueueP99OverDeadline float64 `json:"queue_p99_over_deadline"`

	StoreWritesPerSecond  float64 `json:"store_writes_per_second"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"` // sent; mean of all agents
	// ControlBytesByKind is the total of control bytes of the run, indexed by request.Kind.
	ControlBytesByKind [16]uint64 `json:"control_bytes_by_kind"`

	VirtualSeconds float64 `json:"virtual_seconds"`
	Deaths         int     `json:"deaths"`
	UpstreamRuns   int     `json:"upstream_runs"`
	LateAnswers    uint64  `json:"late_answers"` // dropped answers and replies that arrived too late
	// Unknown outcomes by cause.
	UnknownLost     int `json:"unknown_attempt_lost"`
	UnknownDeadline int `json:"unknown_deadline"`
	UnknownBroken   int `json:"unknown_broken"`
}

// permitVariant names a way to issue permits. A request that is not idempotent is sent with an
// idempotency key, except in the variant without keys. A permit allows one attempt with the
// key to run: the grants of both registrars of the key (package request), or one of the store.
type permitVariant string

const (
	withoutKeys      permitVariant = "without-keys"  // no keys and no permits
	storePermits     permitVariant = "store-permits" // the platform's store grants all keys
	registrarPermits permitVariant = "registrars"    // both registrars of a key, which are agents, grant it
)

// RunRequests runs every variant with the same load, fault model and random seeds.
func RunRequests(cfg RequestsConfig) []RequestsResult {
	if cfg.Requests == 0 {
		cfg.Requests = defaultRequests
	}
	variants := [...]permitVariant{withoutKeys, storePermits, registrarPermits}
	results := make([]RequestsResult, len(variants))
	var wg sync.WaitGroup
	for i, v := range variants {
		wg.Go(func() { results[i] = runRequests(cfg, v) })
	}
	wg.Wait()
	return results
}

// runRequests simulates one variant until all requests have ended.
func runRequests(cfg RequestsConfig, v permitVariant) RequestsResult {
	w := newRequestWorld(cfg, v)
	for !w.callers.finished() {
		w.net.Run(time.Second)
	}
	w.net.Run(requestCoolDown)
	return w.result()
}

// requestCoolDown is how long a run continues after the last request has ended, so that
// delayed messages arrive and late runs are counted.
const requestCoolDown = 30 * time.Second
