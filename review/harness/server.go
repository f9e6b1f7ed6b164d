//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	answerRetry       = 200 * time.Millisecond
	answerRetryMost   = 1600 * time.Millisecond
	answerRetries     = 8
	processingTime    = 20 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
	heartbeatTimeout  = time.Second
	heartbeatRetry    = 300 * time.Millisecond
)

// serverSettings are the places of a server on its side machine.
type serverSettings struct {
	id, service            string
	zone                   string
	app, outbound, control netip.AddrPort
	warmup                 time.Duration // how long it is slow after its start
}

// appServer is a server as PROTOCOL.md describes it.
type appServer struct {
	set    serverSettings
	rec    *recorder
	born   time.Time
	udp    *net.UDPConn
	health *http.Server
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	ended    map[flowKey]bool
	seq      int
	draining bool
	opened   []opening
}

// opening is a flow that the server has accepted by a SYN.
type opening struct {
	key flowKey
	at  time.Time
}

type serverFlow struct {
	clientSeq      uint32 // of the SYN
	own, next      uint32 // own first number; next one expected from the client
	send           uint32
	open           bool
	finSeen        bool
	finSent        bool
	answer         []byte
	answerEnd      uint32
	retries        int
	retryAt        time.Time
	requestsServed int
}

func startServer(rec *recorder, set serverSettings) (*appServer, error) {
	s := &appServer{set: set, rec: rec, born: time.Now(), flows: map[flowKey]*serverFlow{}, ended: map[flowKey]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var err error
	if s.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(set.app)); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", set.app.String())
	if err != nil {
		_ = s.udp.Close()
		return nil, err
	}
	s.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("X-Nutmegtrack-Instance-Id", set.id)
		if s.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = s.health.Serve(l) }()
	go s.read()
	go s.every(20*time.Millisecond, s.retransmit)
	go func() {
		s.beat()
		s.every(heartbeatInterval, s.beat)
	}()
	rec.log("server %s of %s at %s starts, born %d", set.id, set.service, set.app, s.born.UnixMilli())
	return s, nil
}

func (s *appServer) every(d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-s.ctx.Done():
			return
		}
	}
}

// beat sends a heartbeat and repeats it a few times while it isn't acknowledged.
func (s *appServer) beat() {
	for range 3 {
		if s.heartbeat() || s.ctx.Err() != nil {
			return
		}
		time.Sleep(heartbeatRetry)
	}
}

// exit ends the server without a notice.
func (s *appServer) exit(why string) {
	s.rec.log("server %s of %s %s", s.set.id, s.set.service, why)
	s.cancel()
	_ = s.udp.Close()
	_ = s.health.Close()
}

// drain reports draining until an agent acknowledges it, and returns the time of the acknowledgement.
func (s *appServer) drain(within time.Duration) (time.Time, bool) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for end := time.Now().Add(within); time.Now().Before(end); {
		if s.heartbeat() {
			return time.Now(), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

func (s *appServer) heartbeat() bool {
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	warm := max(s.set.warmup-time.Since(s.born), 0)
	seq := s.seq
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":5,"state":%q,"warmup-left-ms":%d,"seq":%d,"born":%d}`,
		s.set.service, s.set.app, s.set.zone, state, warm.Milliseconds(), seq, s.born.UnixMilli())
	s.mu.Unlock()
	status, err := callControl(http.MethodPut, s.set.control, s.set.id, body)
	s.rec.log("server %s: heartbeat %d %s is answered with %d %v", s.set.id, seq, state, status, errText(err))
	return err == nil && status/100 == 2
}

// leaveVia sends the DELETE of a server that exits, to the address.
func leaveVia(control netip.AddrPort, id string) (int, error) {
	return callControl(http.MethodDelete, control, id, "")
}

func callControl(method string, control netip.AddrPort, id, body string) (int, error) {
	r, err := http.NewRequest(method, "http://"+control.String()+"/nutmegtrack/instances/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(a.Body, 4096))
	return a.StatusCode, err
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (s *appServer) read() {
	b := make([]byte, 2048)
	for {
		n, err := s.udp.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			s.receive(bytes.Clone(b[:n]))
		}
	}
}

func (s *appServer) write(b []byte) { _, _ = s.udp.WriteToUDPAddrPort(b, s.set.outbound) }

func (s *appServer) reply(k flowKey, flags uint8, seq, ack uint32, data []byte) []byte {
	b := (&packet{seq: seq, ack: ack, src: k.route, dst: k.client, flags: flags, data: data}).encode()
	s.write(b)
	return b
}

func (s *appServer) receive(b []byte) {
	p, err := decode(b)
	if err != nil || keyedSum(b) != p.sum {
		s.rec.say("server %s: a packet that its sender didn't write so: %v", s.set.id, err)
		return
	}
	k := flowKey{client: p.src, route: p.dst}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	if p.flags&(flagSYN|flagACK|flagRST) == flagSYN {
		if f == nil || f.clientSeq != p.seq {
			own := rand.Uint32()
			f = &serverFlow{clientSeq: p.seq, own: own, next: p.seq + 1, send: own + 1}
			s.flows[k] = f
			delete(s.ended, k)
			s.opened = append(s.opened, opening{k, time.Now()})
			s.rec.log("server %s takes the SYN of %s (copy %d, seq %d)", s.set.id, k, p.ack, p.seq)
		}
		s.reply(k, flagSYN|flagACK, f.own, f.next, nil)
		return
	}
	if f == nil && s.ended[k] {
		switch {
		case p.is(flagRST):
		case p.is(flagFIN):
			s.reply(k, flagACK, p.ack, p.seq+uint32(len(p.data))+1, nil)
		case len(p.data) > 0:
			s.rec.log("server %s resets %s, which has ended", s.set.id, k)
			s.reply(k, flagRST, p.ack, 0, nil)
		}
		return
	}
	if f == nil || !f.open && p.ack != f.own+1 {
		s.rec.log("server %s returns a packet of %s, which it doesn't hold", s.set.id, k)
		b[30] |= flagBounced
		b[31] = 0
		s.write(b)
		return
	}
	f.open = true
	s.established(k, f, p)
}

func (s *appServer) established(k flowKey, f *serverFlow, p *packet) {
	if p.is(flagRST) {
		delete(s.flows, k)
		s.ended[k] = true
		s.rec.log("server %s: %s is reset by its client", s.set.id, k)
		return
	}
	if f.answer != nil && p.ack-f.own >= f.answerEnd-f.own {
		f.answer = nil
	}
	if p.seq == f.next && len(p.data) > 0 {
		f.next += uint32(len(p.data))
		id := requestID(p.data)
		s.rec.log("server %s runs request %s of %s", s.set.id, id, k)
		work := processingTime
		if strings.HasPrefix(id, longRequest) {
			work = longRequestTime
		}
		time.AfterFunc(work, func() { s.respond(k, f, id) })
	} else if len(p.data) > 0 {
		s.reply(k, flagACK, f.send, f.next, nil)
	}
	if p.is(flagFIN) && p.seq+uint32(len(p.data)) == f.next {
		f.next++
		s.reply(k, flagFIN|flagACK, f.send, f.next, nil)
		delete(s.flows, k)
		s.ended[k] = true
		s.rec.log("server %s: %s is closed by both ends", s.set.id, k)
	}
}

func (s *appServer) respond(k flowKey, f *serverFlow, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[k] != f || s.ctx.Err() != nil {
		return
	}
	body := "done " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Nutmegtrack-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", s.set.id, len(body), body)
	f.answer = s.reply(k, flagACK, f.send, f.next, []byte(text))
	f.send += uint32(len(text))
	f.answerEnd, f.retries, f.retryAt = f.send, 0, time.Now().Add(answerRetry)
	f.requestsServed++
}

func (s *appServer) retransmit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, f := range s.flows {
		if f.answer == nil || now.Before(f.retryAt) {
			continue
		}
		if f.retries++; f.retries > answerRetries {
			f.answer = nil
			continue
		}
		f.retryAt = now.Add(min(answerRetry<<f.retries, answerRetryMost))
		s.write(f.answer)
	}
}

// holds reports whether the server has an open flow.
func (s *appServer) holds(k flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	return f != nil && f.open && s.ctx.Err() == nil
}

// openedAfter returns the flows that the server has accepted after a time.
func (s *appServer) openedAfter(t time.Time) (out []opening) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.opened {
		if o.at.After(t) {
			out = append(out, o)
		}
	}
	return out
}
