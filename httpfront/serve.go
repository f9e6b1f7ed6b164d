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

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// ServeHTTP handles one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, problem := f.parseRequest(r)
	if problem != "" {
		w.Header().Set(HeaderOutcome, request.NotRun.String())
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(req.Deadline)
	t, events := f.submit(req)
	defer f.removePending(t)
	e := f.await(r.Context(), t, events)
	if e.Start {
		f.run(&exchange{front: f, w: w, r: r, ticket: t, keyed: req.Keyed, deadline: deadline})
		return
	}
	f.writeResult(w, e)
}

// parseRequest returns the properties of a request that its admission depends on, or a
// message for the caller if a header is invalid. The Deadline is the remaining time. The
// method and the request URI are part of the key, so that requests that differ in them are
// not treated as one. The host is not: it differs if the caller sends a retry to the
// address of another agent. Neither are the body and the customer.
func (f *Front) parseRequest(r *http.Request) (request.Request, string) {
	left, valid := parseDeadline(r.Header)
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

// await waits for the start or the end of a request. It cancels the request if the context
// ends. For a disconnect of the caller, net/http ends it only once the request body has been
// read to its end, so a waiting request with a body is not cancelled.
func (f *Front) await(ctx context.Context, t request.Ticket, events chan request.Event) request.Event {
	select {
	case e := <-events:
		return e
	case <-ctx.Done():
		f.cancel(t, events)
		return <-events
	}
}

// writeResult responds to a request without forwarding a response of the upstream: with
// the stored answer of an earlier attempt, or with the outcome and reason.
func (f *Front) writeResult(w http.ResponseWriter, e request.Event) {
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

// statusOf returns the status of a response with an outcome and reason. ReasonDeadline can
// come from the holder of the key, whose deadline may differ from the request's.
func statusOf(o request.Outcome, reason request.Reason) int {
	switch {
	case o == request.Done:
		// The request has run, but its answer was not stored.
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

// copyFlushed copies a response body to w and its start to stored. It flushes w after each
// read, so that the caller receives the events of an event stream without delay. After a
// failed write to w it still reads the body to its end, to complete stored.
func copyFlushed(w http.ResponseWriter, body io.Reader, stored *prefix) (callerDisconnected bool, err error) {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
	for {
		n, err := body.Read(buffer)
		stored.add(buffer[:n])
		if n > 0 && !callerDisconnected {
			_, writeErr := w.Write(buffer[:n])
			if writeErr == nil {
				writeErr = control.Flush()
			}
			callerDisconnected = writeErr != nil
		}
		if err == io.EOF {
			return callerDisconnected, nil
		}
		if err != nil {
			return callerDisconnected, err
		}
	}
}

// copyBytes is the size of the buffer for copying a body.
const copyBytes = 32 << 10

// prefix stores the start of a body, at most limit+1 bytes: more than limit bytes mean
// that the body is longer than the limit.
type prefix struct {
	limit int
	bytes []byte
}

func (p *prefix) add(b []byte) {
	if room := p.limit + 1 - len(p.bytes); room > 0 {
		p.bytes = append(p.bytes, b[:min(room, len(b))]...)
	}
}
