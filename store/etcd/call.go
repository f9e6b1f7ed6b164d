package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
)

// callKind classifies a call by what it may change, which determines whether it is
// retried.
type callKind uint8

const (
	read  callKind = iota // tried at every endpoint
	renew                 // idempotent write: tried at every endpoint; ErrUnknown if it was sent
	write                 // not retried once it was sent
)

// failure describes a failed attempt.
type failure struct {
	err   error
	sent  bool // the store may have run the call
	final bool // the store rejected the call, and another endpoint would too
}

// callChecked makes a call and checks that its response, with the given header, continues the
// history of the store. A stale response may be of an older revision.
func (c *Client) callChecked(ctx context.Context, kind callKind, path string, request, response any, header *wire.Header, stale bool) error {
	floor, _ := c.history.begin() // call returns the error
	if err := c.call(ctx, kind, path, request, response); err != nil {
		return err
	}
	if err := c.history.check(*header, floor, stale); err != nil {
		return outcome(kind, true, path, err)
	}
	return nil
}

// call sends the request to the endpoints in turn, starting with the one that answered
// most recently, and decodes the first response.
func (c *Client) call(ctx context.Context, kind callKind, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	if _, err := c.history.begin(); err != nil {
		return outcome(kind, false, path, err)
	}
	first := c.preferred.Load()
	sent := false
	var last error
	for i := range c.cfg.Endpoints {
		index := (int(first) + i) % len(c.cfg.Endpoints)
		f := c.attempt(ctx, c.cfg.Endpoints[index]+path, body, response)
		if f == nil {
			c.preferred.Store(uint32(index))
			return nil
		}
		if f.final {
			return f.err
		}
		sent, last = sent || f.sent, f.err
		if ctx.Err() != nil || (sent && kind == write) {
			break
		}
	}
	return outcome(kind, sent, path, last)
}

// outcome returns ErrUnknown or ErrUnavailable joined with the cause, so that errors.Is
// finds both.
func outcome(kind callKind, sent bool, path string, cause error) error {
	if kind != read && sent {
		return fmt.Errorf("%w: %s: %w", store.ErrUnknown, path, cause)
	}
	return fmt.Errorf("%w: %s: %w", store.ErrUnavailable, path, cause)
}

// attempt sends the request to one endpoint and decodes the response.
func (c *Client) attempt(ctx context.Context, url string, body []byte, response any) *failure {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	resp, sent, err := c.post(ctx, url, body)
	if err != nil {
		return &failure{err: err, sent: sent}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &failure{err: err, sent: true}
	}
	if resp.StatusCode != http.StatusOK {
		return classifyError(resp.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, response); err != nil {
		return &failure{err: fmt.Errorf("malformed response: %w", err), sent: true}
	}
	return nil
}

// post sends the request and reports whether the store may have received it. This is
// assumed as soon as the request has a connection, since its bytes may be sent from then
// on.
func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	return resp, sent.Load(), err
}

// classifyError classifies an error response. The store has not run a call if it rejects
// the call as invalid, for too many requests, or for want of a leader. After any other
// server error, the store may have run the write or may still run it.
func classifyError(status int, body []byte) *failure {
	e := wire.DecodeError(body)
	err := fmt.Errorf("status %d: %s", status, e.Message)
	switch {
	case e.Code == wire.CodeNotFound:
		return &failure{err: fmt.Errorf("%w: %s", store.ErrNotFound, e.Message), final: true}
	case status == http.StatusTooManyRequests, e.Message == wire.MessageNoLeader:
		return &failure{err: err}
	case status >= 400 && status < 500:
		return &failure{err: fmt.Errorf("store: call rejected: %w", err), final: true}
	}
	return &failure{err: err, sent: true}
}
