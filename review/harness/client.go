//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"time"
)

var (
	errReset    = errors.New("reset by the system")
	errServer   = errors.New("reset by the server")
	errDeadline = errors.New("no answer until the deadline")
)

var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openTime = 1400 * time.Millisecond

// clientMachine is a machine of clients with one address.
type clientMachine struct {
	rec    *recorder
	addr   netip.Addr
	udp    *net.UDPConn
	router *router

	mu    sync.Mutex
	flows map[flowKey]*clientFlow
}

func startClients(rec *recorder, at netip.AddrPort, r *router) (*clientMachine, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &clientMachine{rec: rec, addr: at.Addr(), udp: udp, router: r, flows: map[flowKey]*clientFlow{}}
	go c.read()
	return c, nil
}

func (c *clientMachine) read() {
	b := make([]byte, 2048)
	for {
		n, err := c.udp.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p, err := decode(b[:n])
		if err != nil || !(p.sum == 0 && p.is(flagRST)) && keyedSum(b[:n]) != p.sum {
			c.rec.say("client: a packet that its sender didn't write so: %v", err)
			continue
		}
		k := flowKey{client: p.dst, route: p.src}
		c.mu.Lock()
		f := c.flows[k]
		c.mu.Unlock()
		if f != nil {
			f.receive(p)
		}
	}
}

// clientFlow is one flow.
type clientFlow struct {
	c        *clientMachine
	key      flowKey
	in       chan *packet
	seq, ack uint32

	mu      sync.Mutex
	open    bool
	resetAt time.Time // when the system has reset the open flow
	opened  time.Time
	seal    string // the server
}

func (f *clientFlow) receive(p *packet) {
	f.mu.Lock()
	near := p.seq-f.ack+76_800 <= 2*76_800
	if p.is(flagRST) && p.sum == 0 && f.open {
		if !near {
			f.mu.Unlock()
			return
		}
		if f.resetAt.IsZero() {
			f.resetAt = time.Now()
			f.c.rec.log("client: %s, open at server %s, is reset by the system", f.key, f.seal)
		}
	}
	f.mu.Unlock()
	select {
	case f.in <- p:
	default:
	}
}

func (f *clientFlow) wasReset() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.resetAt.IsZero()
}

func (f *clientFlow) send(flags uint8, seq, ack uint32, data []byte) {
	b := (&packet{seq: seq, ack: ack, src: f.key.client, dst: f.key.route, flags: flags, data: data}).encode()
	f.c.router.forward(b, f.key)
}

// open opens a flow from a port. It replaces an earlier flow with this key.
func (c *clientMachine) open(port uint16, to netip.AddrPort) (*clientFlow, error) {
	f := &clientFlow{c: c, key: flowKey{netip.AddrPortFrom(c.addr, port), to}, in: make(chan *packet, 64), seq: rand.Uint32()}
	c.mu.Lock()
	c.flows[f.key] = f
	c.mu.Unlock()
	c.rec.log("client: sends the SYN of %s (seq %d)", f.key, f.seq)
	started := time.Now()
	deadline := time.After(openTime)
	for copies := 0; ; {
		wait := openTime
		if copies < len(synTimes) {
			wait = time.Until(started.Add(synTimes[copies]))
		}
		select {
		case <-time.After(wait):
			if copies < len(synTimes) {
				f.send(flagSYN, f.seq, uint32(copies), nil)
				copies++
			}
		case p := <-f.in:
			switch {
			case p.is(flagRST):
				c.rec.log("client: %s is reset before it opens", f.key)
				return nil, errReset
			case p.is(flagSYN) && p.is(flagACK) && p.ack == f.seq+1:
				f.mu.Lock()
				f.seq, f.ack, f.open, f.opened = p.ack, p.seq+1, true, time.Now()
				f.mu.Unlock()
				f.send(flagACK, f.seq, f.ack, nil)
				c.rec.log("client: %s is open", f.key)
				return f, nil
			}
		case <-deadline:
			c.rec.log("client: %s doesn't open", f.key)
			return nil, errDeadline
		}
	}
}

var sealPattern = regexp.MustCompile(`X-Nutmegtrack-Server-Seal: (\S+)`)

func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "X-Nutmegtrack-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// request sends a request and waits for its whole answer.
func (f *clientFlow) request(id string, deadline time.Duration) error {
	data := fmt.Appendf(nil, "GET /r HTTP/1.1\r\nX-Nutmegtrack-Request-Id: %s\r\n\r\n", id)
	f.c.rec.log("client: sends request %s on %s", id, f.key)
	end := time.After(deadline)
	for retry := answerRetry; ; retry = min(2*retry, answerRetryMost) {
		f.send(flagACK, f.seq, f.ack, data)
		again := time.After(retry)
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				switch {
				case p.is(flagRST) && p.sum == 0:
					return f.ended(id, errReset)
				case p.is(flagRST):
					return f.ended(id, errServer)
				case len(p.data) > 0 && p.seq == f.ack:
					return f.answered(id, data, p)
				case len(p.data) > 0:
					f.send(flagACK, f.seq, f.ack, nil)
				}
			case <-again:
				waiting = false
			case <-end:
				return f.ended(id, errDeadline)
			}
		}
	}
}

func (f *clientFlow) ended(id string, err error) error {
	f.c.rec.log("client: request %s on %s: %v", id, f.key, err)
	return err
}

func (f *clientFlow) answered(id string, data []byte, p *packet) error {
	f.mu.Lock()
	f.seq += uint32(len(data))
	f.ack += uint32(len(p.data))
	if m := sealPattern.FindSubmatch(p.data); m != nil {
		f.seal = string(m[1])
	}
	f.mu.Unlock()
	f.send(flagACK, f.seq, f.ack, nil)
	if !strings.HasSuffix(string(p.data), "done "+id) {
		return fmt.Errorf("answer to another request: %q", p.data)
	}
	f.c.rec.log("client: request %s on %s is answered by server %s", id, f.key, f.seal)
	return nil
}

// close closes the flow from the client's end.
func (f *clientFlow) close() {
	f.send(flagFIN|flagACK, f.seq, f.ack, nil)
	f.mu.Lock()
	f.open = false
	f.mu.Unlock()
}

// server returns the seal of the server that has answered last.
func (f *clientFlow) server() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seal
}
