//go:build review

package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// router is the platform's router of one zone: it probes the balancers twice a second, and forwards
// each packet by a hash modulo the number of balancers in rotation.
type router struct {
	rec  *recorder
	udp  *net.UDPConn
	stop chan struct{}

	mu       sync.Mutex
	all      []*target
	rotation []*target
}

type target struct {
	name             string
	datagrams, ready netip.AddrPort
	misses           int
	in               bool
}

func startRouter(rec *recorder, at netip.Addr, balancers []*machine) (*router, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
	if err != nil {
		return nil, err
	}
	r := &router{rec: rec, udp: udp, stop: make(chan struct{})}
	for _, b := range balancers {
		t := &target{name: b.name, datagrams: b.at(b.f.ports.datagram), ready: b.at(b.f.ports.ready), misses: 2}
		r.all = append(r.all, t)
		go r.probe(t)
	}
	return r, nil
}

func (r *router) probe(t *target) {
	c := http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		a, err := c.Get("http://" + t.ready.String() + "/nutmegtrack/ready")
		ok := err == nil && a.StatusCode == http.StatusOK
		if err == nil {
			_ = a.Body.Close()
		}
		r.update(t, ok)
		select {
		case <-tick.C:
		case <-r.stop:
			return
		}
	}
}

func (r *router) update(t *target, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := t.in
	if ok {
		t.misses, t.in = 0, true
	} else if t.misses++; t.misses >= 2 {
		t.in = false
	}
	if t.in != was {
		r.rec.log("router: %s in rotation: %v", t.name, t.in)
	}
	r.rotation = r.rotation[:0]
	for _, b := range r.all {
		if b.in {
			r.rotation = append(r.rotation, b)
		}
	}
	if 2*len(r.rotation) < len(r.all) {
		r.rotation = append(r.rotation[:0], r.all...)
	}
}

// remove forgets a balancer whose machine doesn't exist any more.
func (r *router) remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = slices.DeleteFunc(r.all, func(t *target) bool { return t.name == name })
	r.rotation = slices.DeleteFunc(r.rotation, func(t *target) bool { return t.name == name })
	r.rec.log("router: %s doesn't exist any more", name)
}

func (r *router) inRotation() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.all {
		if b.in {
			n++
		}
	}
	return n
}

func (r *router) forward(b []byte, k flowKey) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.String()))
	r.mu.Lock()
	to := r.rotation[h.Sum32()%uint32(len(r.rotation))]
	r.mu.Unlock()
	_, _ = r.udp.WriteToUDPAddrPort(b, to.datagrams)
}
