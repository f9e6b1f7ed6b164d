package httpfront

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/request"
)

// exchange is one request that is being forwarded to the upstream.
type exchange struct {
	front    *Front
	w        http.ResponseWriter
	r        *http.Request
	ticket   request.Ticket
	keyed    bool
	deadline time.Time

	conn *upstreamConn // nil until it is open
	ctx  context.Context
}

// run forwards the request to the upstream and its response to the caller. The slot is
// freed when the upstream has closed the connection.
func (f *Front) run(x *exchange) {
	// By default the server discards the unread rest of the request body when the
	// response begins, and the upstream would receive a truncated body. The error
	// is ignored: HTTP/1 connections support full duplex.
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	ctx := x.r.Context()
	if x.keyed {
		// A disconnect of the caller does not cancel the request, so that a retry can
		// receive the response. If the caller disconnects before its request body has
		// been read, the exchange still fails.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer x.freeWhenClosed()
	defer cancel()
	x.ctx = ctx
	resp, err := f.transport.RoundTrip(x.outgoing())
	if err != nil {
		x.fail(err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		x.upgrade(resp)
		return
	}
	x.respond(resp)
}

// outgoing returns the request to send to the upstream.
func (x *exchange) outgoing() *http.Request {
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	out := x.r.Clone(httptrace.WithClientTrace(x.ctx, trace))
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", x.front.cfg.Upstream.String()
	out.Header = endToEnd(x.r.Header)
	if x.r.Header.Get(HeaderDeadline) != "" {
		out.Header.Set(HeaderDeadline, strconv.FormatInt(max(0, time.Until(x.deadline).Milliseconds()), 10))
	}
	if _, set := x.r.Header["User-Agent"]; !set {
		out.Header.Set("User-Agent", "") // prevents net/http from adding its own
	}
	if x.r.ContentLength == 0 {
		out.Body = nil
	}
	out.Close = false
	return out
}

// gotConn is called when the connection is open, before the first byte of the request is
// written.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.conn, _ = info.Conn.(*upstreamConn)
	x.front.withNode(func(_ time.Duration, n *request.Node) { n.Sent(x.ticket) })
}

// fail ends a request of whose response nothing has been forwarded.
func (x *exchange) fail(err error) {
	outcome, reason := request.Unknown, request.ReasonBroken
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = request.ReasonDeadline
	case x.ctx.Err() != nil:
		reason = request.ReasonCanceled
	}
	if x.conn == nil {
		outcome = request.NotRun
	}
	x.front.finish(x.ticket, outcome, reason, nil)
	x.front.writeResult(x.w, request.Event{Outcome: outcome, Reason: reason})
}

// respond forwards the response. If the response is truncated, the caller's connection
// is closed without the final chunk. The caller has then received the outcome Done with
// the head, but the recorded outcome is Unknown.
func (x *exchange) respond(resp *http.Response) {
	stored := &prefix{}
	if x.keyed {
		stored.limit = x.front.maxStoredBytes
	}
	header := endToEnd(resp.Header)
	x.writeHead(resp, header)
	callerDisconnected, err := copyFlushed(x.w, resp.Body, stored)
	if err != nil {
		reason := request.ReasonBroken
		if x.ctx.Err() != nil { // the caller has disconnected or the deadline has passed
			reason = request.ReasonCanceled
		}
		x.front.finish(x.ticket, request.Unknown, reason, nil)
		panic(http.ErrAbortHandler)
	}
	x.front.finish(x.ticket, request.Done, request.ReasonNone, x.storedAnswer(resp, header, stored))
	if callerDisconnected {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) writeHead(resp *http.Response, header http.Header) {
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(HeaderOutcome, request.Done.String())
	x.w.WriteHeader(resp.StatusCode)
	if resp.ContentLength < 0 {
		_ = http.NewResponseController(x.w).Flush()
	}
}

// storedAnswer returns the answer to store for retries, or nil if the request has no key.
func (x *exchange) storedAnswer(resp *http.Response, header http.Header, body *prefix) *request.Answer {
	if !x.keyed {
		return nil
	}
	if len(body.bytes) > body.limit {
		return &request.Answer{Status: resp.StatusCode, TooLong: true}
	}
	return &request.Answer{Status: resp.StatusCode, Header: header, Body: body.bytes}
}

// freeWhenClosed frees the slot once the upstream has closed the connection.
func (x *exchange) freeWhenClosed() {
	if x.conn == nil {
		x.front.free(x.ticket)
		return
	}
	_ = x.conn.Close()
	go func() {
		<-x.conn.closed
		x.front.free(x.ticket)
	}()
}

// upgrade relays bytes between the caller and the upstream until either side closes or
// the deadline passes. The outcome is Done however the connection ended; no answer is
// stored.
func (x *exchange) upgrade(resp *http.Response) {
	upstream, ok := resp.Body.(io.ReadWriteCloser)
	caller, buffered, err := http.NewResponseController(x.w).Hijack()
	if !ok || err != nil {
		x.fail(errors.New("httpfront: cannot take over the connection for an upgrade"))
		return
	}
	defer caller.Close()
	resp.Header = endToEnd(resp.Header)
	resp.Header.Set(HeaderOutcome, request.Done.String())
	resp.Body = nil
	if err := resp.Write(buffered); err == nil {
		err = buffered.Flush()
		_ = err // if the caller has disconnected, the calls of io.Copy below return
	}
	ended := make(chan struct{}, 2)
	go func() {
		_, _ = io.Copy(upstream, buffered)
		ended <- struct{}{}
	}()
	go func() {
		_, _ = io.Copy(caller, upstream)
		ended <- struct{}{}
	}()
	select {
	case <-ended:
	case <-x.ctx.Done():
	}
	_ = upstream.Close()
	x.front.finish(x.ticket, request.Done, request.ReasonNone, nil)
}
