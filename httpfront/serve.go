package httpfront

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmegtrack/nutmegtrack/request"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

// ServeHTTP answers one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, problem := f.requestOf(r)
	if problem != "" {
		w.Header().Set(HeaderOutcome, request.NotRun.String())
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(req.Deadline)
	t, events := f.submit(req)
	defer f.forget(t)
	e := f.await(r.Context(), t, events)
	if e.Start {
		f.run(&exchange{front: f, w: w, r: r, ticket: t, keyed: req.Keyed, deadline: deadline})
		return
	}
	f.answer(w, e)
}

// requestOf reads what decides on a request. The method and target are part of the
// key, so that a key used for two different requests never joins them. The host is
// not: it differs when a retry goes to another agent by its own address.
func (f *Front) requestOf(r *http.Request) (request.Request, string) {
	left, valid := deadlineLeft(r.Header)
	if !valid {
		return request.Request{}, HeaderDeadline + ": not a number of milliseconds"
	}
	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return request.Request{}, HeaderKey + ": longer than " + strconv.Itoa(maxKeyBytes) + " bytes"
	}
	req := request.Request{Deadline: left, Retry: r.Header.Get(HeaderRetry) == "1"}
	if key != "" && !Idempotent(r.Method) {
		req.Keyed = true
		req.Key = request.KeyOf(f.cfg.Service, r.Method+" "+r.URL.RequestURI(), key)
	}
	return req, ""
}

// await waits for the start or the end of a request. A caller that goes away cancels
// it.
func (f *Front) await(ctx context.Context, t request.Ticket, events chan request.Event) request.Event {
	select {
	case e := <-events:
		return e
	case <-ctx.Done():
		f.cancel(t, events)
		return <-events
	}
}

// answer answers a request that did not run here.
func (f *Front) answer(w http.ResponseWriter, e request.Event) {
	h := w.Header()
	if e.Outcome == request.Done && e.Answer != nil && !e.Answer.TooLong {
		for name, values := range e.Answer.Header {
			h[name] = values
		}
		h.Set(HeaderOutcome, e.Outcome.String())
		h.Set("Content-Length", strconv.Itoa(len(e.Answer.Body)))
		w.WriteHeader(e.Answer.Status)
		_, _ = w.Write(e.Answer.Body)
		return
	}
	reason := e.Reason
	if e.Outcome == request.Done && reason == request.ReasonNone {
		reason = request.ReasonAnswerTooLarge
	}
	h.Set(HeaderOutcome, e.Outcome.String())
	h.Set(HeaderReason, reason.String())
	status := statusOf(e.Outcome, reason)
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(f.retryAfter()))
	}
	http.Error(w, e.Outcome.String()+": "+reason.String(), status)
}

func statusOf(o request.Outcome, reason request.Reason) int {
	switch {
	case o == request.Done:
		// The request itself is done; its answer is not kept.
		return http.StatusConflict
	case reason == request.ReasonDeadline:
		return http.StatusGatewayTimeout
	case o == request.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func (f *Front) retryAfter() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, int(math.Ceil(f.node.RetryDelay().Seconds())))
}

// copyFlushed copies a body and flushes after each read, so that an event reaches the
// caller at once. kept receives the start of the body.
func copyFlushed(w http.ResponseWriter, body io.Reader, kept *prefix) (callerGone bool, err error) {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
	for {
		n, err := body.Read(buffer)
		kept.add(buffer[:n])
		if n > 0 && !callerGone {
			_, failed := w.Write(buffer[:n])
			if failed == nil {
				failed = control.Flush()
			}
			callerGone = failed != nil
		}
		if err == io.EOF {
			return callerGone, nil
		}
		if err != nil {
			return callerGone, err
		}
	}
}

// copyBytes is the size of the buffer of one copy.
const copyBytes = 32 << 10

// prefix keeps the start of a body, up to one byte over the limit.
type prefix struct {
	limit int
	bytes []byte
}

func (p *prefix) add(b []byte) {
	if room := p.limit + 1 - len(p.bytes); room > 0 {
		p.bytes = append(p.bytes, b[:min(room, len(b))]...)
	}
}
