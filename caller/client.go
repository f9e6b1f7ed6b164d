package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/httpfront"
	"github.com/nutmegtrack/nutmegtrack/request"
)

// Config holds the parameters of a client. Zero fields take the default.
type Config struct {
	Transport      http.RoundTripper // default http.DefaultTransport
	MaxAttempts    int               // maximum for each request; default 5
	InitialBackoff time.Duration     // maximum first delay, doubled for each further delay; default 50 ms
	MaxBackoff     time.Duration     // limit of the doubled maximum; default 1 s
	Budget         BudgetConfig
	// Sleep waits for the duration, or returns the error of the context when that ends
	// first. Tests replace it.
	Sleep func(context.Context, time.Duration) error
}

// Client sends requests and retries them. It is safe for concurrent use.
type Client struct {
	cfg    Config
	budget *budget
}

// New returns a client with the given parameters.
func New(cfg Config) *Client {
	if cfg.Transport == nil {
		cfg.Transport = http.DefaultTransport
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = 5
	}
	if cfg.InitialBackoff == 0 {
		cfg.InitialBackoff = 50 * time.Millisecond
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = time.Second
	}
	if cfg.Sleep == nil {
		cfg.Sleep = sleep
	}
	return &Client{cfg: cfg, budget: newBudget(cfg.Budget)}
}

// Result is the result of a request.
type Result struct {
	// Outcome covers all attempts: it is NotRun only if none of them can have run.
	Outcome request.Outcome
	// Response is the response to the last attempt, or nil if there was none. The code
	// that calls Do must close its body. A read error before the end means that the body
	// is truncated.
	Response *http.Response
	Attempts int
	Err      error // set if the last attempt had no response
}

// Do sends a request. It retries until the outcome is Done, the attempts or the retry
// budget are used up, the context would end before the next attempt, or a retry is not
// allowed. A request with a method that is not idempotent is retried after an unknown
// outcome only if it has an Idempotency-Key header and the reason is not one of those in
// permanentlyUnknown; a request with a body is retried only if it has GetBody; status 400 is never retried.
// The deadline of the context is sent to the service.
func (c *Client) Do(r *http.Request) Result {
	c.budget.deposit()
	var result Result
	mayHaveRun := false
	for {
		result.Attempts++
		last := c.send(r, mayHaveRun)
		result.Response, result.Err, result.Outcome = last.response, last.err, last.outcome
		if last.outcome == request.Done {
			return result
		}
		mayHaveRun = mayHaveRun || last.outcome == request.Unknown
		if mayHaveRun {
			result.Outcome = request.Unknown
		}
		if result.Attempts >= c.cfg.MaxAttempts || !retryable(r, last) || !c.budget.tryWithdraw() {
			return result
		}
		if !c.backOff(r.Context(), result.Attempts, last) {
			return result
		}
		last.drainAndClose()
	}
}

// attemptResult is the result of sending a request once.
type attemptResult struct {
	outcome  request.Outcome
	response *http.Response
	err      error
}

// send sends the request once.
func (c *Client) send(r *http.Request, mayHaveRun bool) attemptResult {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	out, err := prepare(r.Clone(httptrace.WithClientTrace(r.Context(), trace)), mayHaveRun)
	if err != nil {
		return attemptResult{outcome: request.NotRun, err: err}
	}
	response, err := c.cfg.Transport.RoundTrip(out)
	switch {
	case err == nil:
		return attemptResult{outcome: outcomeOf(response), response: response}
	case sent.Load():
		return attemptResult{outcome: request.Unknown, err: errors.Wrap(err, "caller")}
	}
	return attemptResult{outcome: request.NotRun, err: errors.Wrap(err, "caller")}
}

// prepare sets the headers of an attempt and a new copy of the body.
func prepare(out *http.Request, mayHaveRun bool) (*http.Request, error) {
	if deadline, set := out.Context().Deadline(); set {
		left := max(0, time.Until(deadline).Milliseconds())
		out.Header.Set(httpfront.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	if mayHaveRun {
		out.Header.Set(httpfront.HeaderRetry, "1")
	}
	if out.GetBody == nil {
		return out, nil
	}
	body, err := out.GetBody()
	out.Body = body
	return out, errors.Wrap(err, "caller: get request body")
}

// outcomeOf returns the outcome that a response reports. A response without a valid outcome
// header counts as Done: a service that is not behind an agent sends no header. Neither does
// net/http when it rejects a malformed request itself.
func outcomeOf(r *http.Response) request.Outcome {
	switch r.Header.Get(httpfront.HeaderOutcome) {
	case request.NotRun.String():
		return request.NotRun
	case request.Unknown.String():
		return request.Unknown
	}
	return request.Done
}

// retryable reports whether the request can be sent again: the last attempt has not run,
// the method is idempotent, or the request has an idempotency key. The key protects it only if the service is
// behind agents, which is not checked.
func retryable(r *http.Request, last attemptResult) bool {
	if r.Body != nil && r.Body != http.NoBody && r.GetBody == nil {
		return false
	}
	if last.response != nil && last.response.StatusCode == http.StatusBadRequest {
		return false
	}
	if last.outcome == request.NotRun || httpfront.Idempotent(r.Method) {
		return true
	}
	return r.Header.Get(httpfront.HeaderKey) != "" && !permanentlyUnknown(last)
}

// permanentlyUnknown reports whether the reason of an unknown outcome is one after which the
// outcome of a request with a key stays unknown, so that further retries are useless. It
// cannot tell from other reasons whether the attempt that holds the key has ended.
func permanentlyUnknown(last attemptResult) bool {
	if last.response == nil {
		return false
	}
	reason := last.response.Header.Get(httpfront.HeaderReason)
	return reason == request.ReasonAttemptLost.String() || reason == request.ReasonBroken.String()
}

// backOff waits before the next attempt: for the time in Retry-After, if the response has
// it, plus a random time up to a maximum that doubles with each attempt. It returns false
// if the context ends before that time, without waiting if the deadline is that early.
func (c *Client) backOff(ctx context.Context, attempts int, last attemptResult) bool {
	bound := min(c.cfg.InitialBackoff<<min(attempts-1, 20), c.cfg.MaxBackoff)
	d := time.Duration(rand.Int64N(int64(bound) + 1))
	if last.response != nil {
		if seconds, err := strconv.Atoi(last.response.Header.Get("Retry-After")); err == nil {
			d += time.Duration(seconds) * time.Second
		}
	}
	if deadline, set := ctx.Deadline(); set && time.Until(deadline) <= d {
		return false
	}
	return c.cfg.Sleep(ctx, d) == nil
}

// maxDrainBytes is the maximum number of bytes that are read from an unused response body;
// the connection can be reused if the body ends within them.
const maxDrainBytes = 64 << 10

func (a attemptResult) drainAndClose() {
	if a.response != nil {
		_, _ = io.CopyN(io.Discard, a.response.Body, maxDrainBytes)
		_ = a.response.Body.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
