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
	Transport  http.RoundTripper // default http.DefaultTransport
	Attempts   int               // at most, for each request; default 5
	MinBackoff time.Duration     // bound of the first pause, doubled for each further one; default 50 ms
	MaxBackoff time.Duration     // default 1 s
	Budget     BudgetConfig
	// Sleep waits or returns the context's error; tests replace it.
	Sleep func(context.Context, time.Duration) error
}

// Client makes requests. It is safe for concurrent use.
type Client struct {
	cfg    Config
	budget *budget
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Transport == nil {
		cfg.Transport = http.DefaultTransport
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = 5
	}
	if cfg.MinBackoff == 0 {
		cfg.MinBackoff = 50 * time.Millisecond
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = time.Second
	}
	if cfg.Sleep == nil {
		cfg.Sleep = sleep
	}
	return &Client{cfg: cfg, budget: newBudget(cfg.Budget)}
}

// Result is what is known of a request.
type Result struct {
	// Outcome covers all attempts: it is NotRun only when none of them ran.
	Outcome request.Outcome
	// Response is the last answer, nil when the last attempt had none. The caller
	// closes its body. A body that ends with an error was cut.
	Response *http.Response
	Attempts int
	Err      error // of the last attempt without an answer
}

// Do makes a request. The deadline of its context is passed on. A request that is
// not idempotent is safe to repeat only with the header Idempotency-Key; a body is
// repeated only with GetBody.
func (c *Client) Do(r *http.Request) Result {
	c.budget.earn()
	var result Result
	doubt := false
	for {
		result.Attempts++
		last := c.attempt(r, doubt)
		result.Response, result.Err, result.Outcome = last.response, last.err, last.outcome
		if last.outcome == request.Done {
			return result
		}
		doubt = doubt || last.outcome == request.Unknown
		if doubt {
			result.Outcome = request.Unknown
		}
		if result.Attempts >= c.cfg.Attempts || !repeatable(r, last) || !c.budget.spend() {
			return result
		}
		if !c.pause(r.Context(), result.Attempts, last) {
			return result
		}
		last.discard()
	}
}

// attempt is one exchange.
type attempt struct {
	outcome  request.Outcome
	response *http.Response
	err      error
}

func (c *Client) attempt(r *http.Request, doubt bool) attempt {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	out, err := prepare(r.Clone(httptrace.WithClientTrace(r.Context(), trace)), doubt)
	if err != nil {
		return attempt{outcome: request.NotRun, err: err}
	}
	response, err := c.cfg.Transport.RoundTrip(out)
	switch {
	case err == nil:
		return attempt{outcome: outcomeOf(response), response: response}
	case sent.Load():
		return attempt{outcome: request.Unknown, err: errors.Wrap(err, "caller")}
	}
	return attempt{outcome: request.NotRun, err: errors.Wrap(err, "caller")}
}

// prepare sets the headers and the body of an attempt.
func prepare(out *http.Request, doubt bool) (*http.Request, error) {
	if deadline, set := out.Context().Deadline(); set {
		left := max(0, time.Until(deadline).Milliseconds())
		out.Header.Set(httpfront.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	if doubt {
		out.Header.Set(httpfront.HeaderRetry, "1")
	}
	if out.GetBody == nil {
		return out, nil
	}
	body, err := out.GetBody()
	out.Body = body
	return out, errors.Wrap(err, "caller: body")
}

// outcomeOf reads the outcome. An answer without the header comes from a service
// that is not behind an agent, and was run.
func outcomeOf(r *http.Response) request.Outcome {
	switch r.Header.Get(httpfront.HeaderOutcome) {
	case request.NotRun.String():
		return request.NotRun
	case request.Unknown.String():
		return request.Unknown
	}
	return request.Done
}

// repeatable reports whether another attempt cannot run the request twice.
func repeatable(r *http.Request, last attempt) bool {
	if r.Body != nil && r.Body != http.NoBody && r.GetBody == nil {
		return false
	}
	if last.response != nil && last.response.StatusCode == http.StatusBadRequest {
		return false
	}
	if last.outcome == request.NotRun || httpfront.Idempotent(r.Method) {
		return true
	}
	return r.Header.Get(httpfront.HeaderKey) != "" && !final(last)
}

// final reports whether a keyed request stays unknown however often it is repeated.
func final(last attempt) bool {
	if last.response == nil {
		return false
	}
	reason := last.response.Header.Get(httpfront.HeaderReason)
	return reason == request.ReasonAttemptLost.String() || reason == request.ReasonBroken.String()
}

// pause waits before the next attempt: a random part of a bound that doubles, and at
// least as long as the answer asks for.
func (c *Client) pause(ctx context.Context, attempts int, last attempt) bool {
	bound := min(c.cfg.MinBackoff<<min(attempts-1, 20), c.cfg.MaxBackoff)
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

// discardBytes bounds what is read so that a connection can be used again.
const discardBytes = 64 << 10

func (a attempt) discard() {
	if a.response != nil {
		_, _ = io.CopyN(io.Discard, a.response.Body, discardBytes)
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
