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

// exchange is one request that runs at the upstream.
type exchange struct {
	front    *Front
	w        http.ResponseWriter
	r        *http.Request
	ticket   request.Ticket
	keyed    bool
	deadline time.Time

	conn *upstreamConn // nil until one was opened
	ctx  context.Context
}

// run sends the request and passes the answer on. The slot is free when the upstream
// has let go.
func (f *Front) run(x *exchange) {
	// By default the server discards the unread part of the request's body when the
	// answer begins, so that the upstream would receive a cut body. The error says
	// that the connection cannot do both at once; HTTP/1 connections can.
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	ctx := x.r.Context()
	if x.keyed {
		// A retry receives the answer of an attempt whose caller has gone away.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer x.release()
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

// outgoing builds the request to the upstream.
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
		out.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	if x.r.ContentLength == 0 {
		out.Body = nil
	}
	out.Close = false
	return out
}

// gotConn is called before the first byte is written.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.conn, _ = info.Conn.(*upstreamConn)
	x.front.do(func(_ time.Duration, n *request.Node) { n.Sent(x.ticket) })
}

// fail ends a request without an answer.
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
	x.front.answer(x.w, request.Event{Outcome: outcome, Reason: reason})
}

// respond passes an answer on. One that breaks off closes the caller's connection
// without the final chunk.
func (x *exchange) respond(resp *http.Response) {
	kept := &prefix{}
	if x.keyed {
		kept.limit = x.front.keepBytes
	}
	header := endToEnd(resp.Header)
	x.writeHead(resp, header)
	callerGone, err := copyFlushed(x.w, resp.Body, kept)
	if err != nil {
		reason := request.ReasonBroken
		if x.ctx.Err() != nil {
			reason = request.ReasonCanceled
		}
		x.front.finish(x.ticket, request.Unknown, reason, nil)
		panic(http.ErrAbortHandler)
	}
	x.front.finish(x.ticket, request.Done, request.ReasonNone, x.kept(resp, header, kept))
	if callerGone {
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

// kept returns the answer for retries.
func (x *exchange) kept(resp *http.Response, header http.Header, body *prefix) *request.Answer {
	if !x.keyed {
		return nil
	}
	if len(body.bytes) > body.limit {
		return &request.Answer{Status: resp.StatusCode, TooLong: true}
	}
	return &request.Answer{Status: resp.StatusCode, Header: header, Body: body.bytes}
}

// release frees the slot when the upstream has let go.
func (x *exchange) release() {
	if x.conn == nil {
		x.front.free(x.ticket)
		return
	}
	_ = x.conn.Close()
	go func() {
		<-x.conn.released
		x.front.free(x.ticket)
	}()
}

// upgrade connects the caller and the upstream until either side ends.
func (x *exchange) upgrade(resp *http.Response) {
	upstream, ok := resp.Body.(io.ReadWriteCloser)
	caller, buffered, err := http.NewResponseController(x.w).Hijack()
	if !ok || err != nil {
		x.fail(errors.New("httpfront: the connection cannot be upgraded"))
		return
	}
	defer caller.Close()
	resp.Header = endToEnd(resp.Header)
	resp.Header.Set(HeaderOutcome, request.Done.String())
	resp.Body = nil
	if err := resp.Write(buffered); err == nil {
		err = buffered.Flush()
		_ = err // a caller that is gone ends the copies below
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
