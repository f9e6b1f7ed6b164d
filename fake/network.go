package fake

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Faults are the faults that the network injects. With the zero value, each message
// is delivered once and without delay.
type Faults struct {
	MinDelay, MaxDelay time.Duration // one way; messages can be reordered if these differ
	Loss, Duplication  float64       // probability per message
}

// Handler processes a message that arrives at a process and returns the reply. The
// reply to a message that was not sent with Request is dropped.
type Handler func(now time.Duration, from netip.AddrPort, message any) any

// Network delivers messages between processes in virtual time. It is deterministic:
// the same seed and the same calls produce the same run. It is not safe for
// concurrent use.
type Network struct {
	Faults  Faults
	Timeout time.Duration // of each Request
	// Observe, if set, is called for each message when it is sent, including messages
	// that are then lost.
	Observe func(from, to netip.AddrPort, message any)

	rng      *rand.Rand
	now      time.Duration
	queue    queue
	sequence uint64
	nodes    map[netip.AddrPort]node
	cuts     map[[2]string]bool
}

type node struct {
	segment     string
	handle      Handler
	incarnation uint64 // distinguishes a restarted process from its predecessor
}

// NewNetwork returns a network without processes. Requests time out after 1 s.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Timeout: time.Second,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		nodes:   make(map[netip.AddrPort]node),
		cuts:    make(map[[2]string]bool),
	}
}

// Now returns the virtual time.
func (n *Network) Now() time.Duration { return n.now }

// Attach starts a process at an address in a network segment. Cut separates
// segments.
func (n *Network) Attach(addr netip.AddrPort, segment string, handle Handler) {
	n.sequence++
	n.nodes[addr] = node{segment: segment, handle: handle, incarnation: n.sequence}
}

// Detach stops the process at an address: messages to it are lost, its timers are
// cancelled, and the outcomes of its requests are dropped.
func (n *Network) Detach(addr netip.AddrPort) { delete(n.nodes, addr) }

// Cut drops all messages between two segments until Heal is called.
func (n *Network) Cut(a, b string) {
	n.cuts[[2]string{a, b}] = true
	n.cuts[[2]string{b, a}] = true
}

// CutOneWay drops all messages from one segment to another until Heal is called.
func (n *Network) CutOneWay(from, to string) { n.cuts[[2]string{from, to}] = true }

// Heal removes all cuts.
func (n *Network) Heal() { clear(n.cuts) }

// After calls f once after the delay, unless the process at owner has stopped by
// then. With an invalid (zero) owner, f is always called.
func (n *Network) After(owner netip.AddrPort, delay time.Duration, f func()) {
	incarnation := n.nodes[owner].incarnation
	n.schedule(n.now+delay, func() {
		if n.nodes[owner].incarnation == incarnation {
			f()
		}
	})
}

// Every calls f once per period until the process at owner stops. The first call
// comes after a random fraction of the period.
func (n *Network) Every(owner netip.AddrPort, period time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		n.After(owner, period, tick)
	}
	n.After(owner, time.Duration(n.rng.Int64N(int64(period))), tick)
}

// Send sends a message without a reply.
func (n *Network) Send(from, to netip.AddrPort, message any) {
	n.deliver(from, to, message, func(any) {})
}

// Request sends a message and calls done once: with the reply, or with ok set to
// false after Timeout. A request may take effect even if its reply is lost.
func (n *Network) Request(from, to netip.AddrPort, message any, done func(reply any, ok bool)) {
	answered := false
	finish := func(reply any, ok bool) {
		if !answered {
			answered = true
			done(reply, ok)
		}
	}
	n.After(from, n.Timeout, func() { finish(nil, false) })
	incarnation := n.nodes[from].incarnation
	n.deliver(from, to, message, func(reply any) {
		n.transmit(to, from, reply, func(caller node) {
			if caller.incarnation == incarnation {
				finish(reply, true)
			}
		})
	})
}

// Run advances virtual time by d.
func (n *Network) Run(d time.Duration) {
	end := n.now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *Network) deliver(from, to netip.AddrPort, message any, answer func(any)) {
	n.transmit(from, to, message, func(receiver node) {
		answer(receiver.handle(n.now, from, message))
	})
}

func (n *Network) transmit(from, to netip.AddrPort, message any, onArrival func(node)) {
	if n.Observe != nil {
		n.Observe(from, to, message)
	}
	copies := 1
	if n.rng.Float64() < n.Faults.Duplication {
		copies = 2
	}
	segment := n.nodes[from].segment
	for range copies {
		lost := n.rng.Float64() < n.Faults.Loss
		n.schedule(n.now+n.delay(), func() {
			receiver, running := n.nodes[to]
			if running && !lost && !n.cuts[[2]string{segment, receiver.segment}] {
				onArrival(receiver)
			}
		})
	}
}

func (n *Network) delay() time.Duration {
	spread := int64(n.Faults.MaxDelay - n.Faults.MinDelay)
	return n.Faults.MinDelay + time.Duration(n.rng.Int64N(max(spread, 0)+1))
}

func (n *Network) schedule(at time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.queue, event{at: at, sequence: n.sequence, run: run})
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// queue is a heap of events, ordered by time and then by the order in which they
// were scheduled.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
