package main

import (
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	stableWindow = 4 * time.Second
	flowWindow   = 2 * time.Second
)

// watch checks the rule FLOW from what clients and servers see.
type watch struct {
	f  *fleet
	mu sync.Mutex
	// owner is the server that holds an open flow. strays are the packets of the flow that have reached other
	// servers, and own those that have reached its own.
	owner  map[packet.Key]*server
	strays map[packet.Key][]time.Time
	own    map[packet.Key][]time.Time
	taken  map[packet.Key]*machine // the balancer that got the flow's last packet
	// excused says that one of the packets was taken by a machine that was not in touch.
	excused map[packet.Key]bool
}

func newWatch(f *fleet) *watch {
	return &watch{f: f, owner: map[packet.Key]*server{}, strays: map[packet.Key][]time.Time{}, own: map[packet.Key][]time.Time{},
		taken: map[packet.Key]*machine{}, excused: map[packet.Key]bool{}}
}

func (w *watch) arrived(s *server, k packet.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner[k] = s
	w.own[k] = append(w.own[k], time.Now())
}

func (w *watch) strayed(s *server, k packet.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	owner := w.owner[k]
	if owner == nil || owner == s {
		return
	}
	w.f.rec.write("a packet of flow %s, held by %s, reached %s", name(k), owner.m.name, s.m.name)
	w.strays[k] = append(w.strays[k], time.Now())
	if t := w.taken[k]; !w.f.inTouch(owner.m) || t == nil || !w.f.inTouch(t) {
		w.excused[k] = true
	}
}

func (w *watch) closed(k packet.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.owner, k)
}

func (w *watch) took(k packet.Key, m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taken[k] = m
}

// reset checks part (a) of the rule: no reset but the server's own while the server lives.
func (w *watch) reset(k packet.Key, from netip.Addr) {
	w.mu.Lock()
	defer w.mu.Unlock()
	owner, taken, sender := w.owner[k], w.taken[k], w.f.machineAt(from)
	if owner == nil {
		return
	}
	if sender == nil || taken == nil || !w.f.inTouch(owner.m) || !w.f.inTouch(taken) || !w.f.inTouch(sender) {
		w.f.rec.write("flow %s, held by %s, was reset by %s, not all in touch", name(k), owner.m.name, from)
		return
	}
	w.f.rec.breaks("FLOW (a): %s reset flow %s, which lives at the server on %s; its last packet was taken by %s", sender.name, name(k), owner.m.name, taken.name)
}

// check checks part (b): within flowWindow three or more packets of a flow reach other servers and none its own.
func (w *watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, at := range w.strays {
		if w.owner[k] == nil || w.excused[k] {
			continue
		}
		for i := range at {
			end := at[i].Add(flowWindow)
			n, own := 0, false
			for _, t := range at[i:] {
				if t.Before(end) {
					n++
				}
			}
			for _, t := range w.own[k] {
				own = own || t.After(at[i]) && t.Before(end)
			}
			if n >= 3 && !own {
				w.f.rec.breaks("FLOW (b): %d packets of flow %s reached other servers within %s, and none its own on %s", n, name(k), flowWindow, w.owner[k].m.name)
				break
			}
		}
	}
}
