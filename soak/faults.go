package soak

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/platform/standin"
)

// fault is one kind of fault. run injects it and returns when it has ended.
type fault struct {
	name string
	run  func(f *fleet, rng *rand.Rand)
}

// randomDuration returns a random duration between two bounds.
func randomDuration(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

func pick(rng *rand.Rand, list []*vm) *vm { return list[rng.IntN(len(list))] }

// any returns a random balancer or agent, each kind with equal probability.
func (f *fleet) any(rng *rand.Rand) *vm {
	if rng.IntN(2) == 0 {
		return pick(rng, f.balancers)
	}
	return pick(rng, f.agents)
}

// faults lists the kinds of faults, which are chosen with equal probability.
var faults = []fault{
	{"kill a daemon", func(f *fleet, rng *rand.Rand) { f.exemptAndKill(f.any(rng)) }},
	{"kill half of the daemons", func(f *fleet, rng *rand.Rand) {
		for _, v := range append(append([]*vm{}, f.balancers...), f.agents...) {
			if rng.IntN(2) == 0 {
				f.exemptAndKill(v)
			}
		}
	}},
	{"restart a balancer", func(f *fleet, rng *rand.Rand) { pick(rng, f.balancers).process.terminate() }},
	{"restart an agent", func(f *fleet, rng *rand.Rand) { pick(rng, f.agents).process.terminate() }},
	{"restart all agents in turn", func(f *fleet, rng *rand.Rand) {
		for _, v := range f.agents {
			v.process.terminate()
			time.Sleep(randomDuration(rng, 600*time.Millisecond, 1200*time.Millisecond))
		}
	}},
	{"reload settings", func(f *fleet, rng *rand.Rand) { f.any(rng).process.signal(syscall.SIGHUP) }},
	{"pause a daemon", func(f *fleet, rng *rand.Rand) {
		v, d := f.any(rng), randomDuration(rng, 300*time.Millisecond, 4*time.Second)
		f.oracle.exempt(v.addr, d)
		v.process.signal(syscall.SIGSTOP)
		time.Sleep(d)
		v.process.signal(syscall.SIGCONT)
	}},
	{"power failure of an upstream VM", func(f *fleet, rng *rand.Rand) { f.powerOff(rng, pick(rng, f.agents)) }},
	{"power failure of all VMs", func(f *fleet, rng *rand.Rand) {
		done := make(chan struct{})
		all := append(append([]*vm{}, f.balancers...), f.agents...)
		seed := rng.Uint64()
		for i, v := range all {
			go func() {
				f.powerOff(rand.New(rand.NewPCG(seed, uint64(i))), v)
				done <- struct{}{}
			}()
		}
		for range all {
			<-done
		}
	}},
	{"crash of a server", func(f *fleet, rng *rand.Rand) {
		v := pick(rng, f.agents)
		f.oracle.exempt(v.addr, time.Second)
		f.endServer(v, (*standin.Server).Crash)
		time.Sleep(randomDuration(rng, 100*time.Millisecond, 2*time.Second))
		f.restartServer(v)
	}},
	{"replacement of a server", func(f *fleet, rng *rand.Rand) {
		v := pick(rng, f.agents)
		v.mu.Lock()
		s := v.server
		v.mu.Unlock()
		if s == nil {
			return
		}
		s.Drain()
		time.Sleep(randomDuration(rng, 3*time.Second, 5*time.Second))
		// Another fault may have replaced s meanwhile. A server that was not drained crashes.
		f.endServer(v, func(ending *standin.Server) {
			if ending == s {
				ending.Leave()
			} else {
				ending.Crash()
			}
		})
		f.restartServer(v)
	}},
	{"store rejects requests", func(f *fleet, rng *rand.Rand) {
		f.storeFault(rng, standin.Faults{Status: http.StatusServiceUnavailable})
	}},
	{"store does not respond", func(f *fleet, rng *rand.Rand) { f.storeFault(rng, standin.Faults{Hang: true}) }},
	{"store is slow", func(f *fleet, rng *rand.Rand) { f.storeFault(rng, standin.Faults{Delay: 300 * time.Millisecond}) }},
	{"store loses write responses", func(f *fleet, rng *rand.Rand) { f.storeFault(rng, standin.Faults{DropWriteResponses: 3}) }},
	{"store compacts its history", func(f *fleet, _ *rand.Rand) { f.store.Compact() }},
	{"connections to the store are black-holed", func(f *fleet, rng *rand.Rand) {
		d := randomDuration(rng, time.Second, 4*time.Second)
		f.oracle.exemptRouteChanges(d)
		f.storeProxy.blackholed.Store(true)
		time.Sleep(d)
		f.storeProxy.blackholed.Store(false)
		f.storeProxy.reset()
	}},
	{"connections are reset", func(f *fleet, rng *rand.Rand) {
		v := f.any(rng)
		f.oracle.exempt(v.addr, 0)
		v.tcp.reset()
		f.storeProxy.reset()
	}},
	{"control connections of a daemon are black-holed", func(f *fleet, rng *rand.Rand) {
		f.linkFault(rng, f.any(rng), func(v *vm, on bool) { v.tcp.blackholed.Store(on) })
	}},
	{"control connections of a daemon are slow", func(f *fleet, rng *rand.Rand) {
		f.linkFault(rng, f.any(rng), func(v *vm, on bool) { v.tcp.delayNs.Store(linkDelayNs(on)) })
	}},
	{"an agent receives no packets", func(f *fleet, rng *rand.Rand) {
		f.linkFault(rng, pick(rng, f.agents), func(v *vm, on bool) { v.udp.blackholed.Store(on) })
	}},
	{"an agent loses packets", func(f *fleet, rng *rand.Rand) {
		f.linkFault(rng, pick(rng, f.agents), func(v *vm, on bool) {
			v.udp.lossPerThousand.Store(0)
			if on {
				v.udp.lossPerThousand.Store(lossPerThousand)
			}
		})
	}},
	{"an agent receives packets late", func(f *fleet, rng *rand.Rand) {
		f.linkFault(rng, pick(rng, f.agents), func(v *vm, on bool) { v.udp.delayNs.Store(linkDelayNs(on)) })
	}},
	{"a route is added and removed", func(f *fleet, rng *rand.Rand) { f.changeRoute(rng) }},
}

// lossPerThousand is the loss rate of a faulty link, in datagrams per 1,000.
const lossPerThousand = 100

// linkDelayNs returns the delay in nanoseconds of a slow link, or 0 if the fault is off.
func linkDelayNs(on bool) int64 {
	if on {
		return int64(80 * time.Millisecond)
	}
	return 0
}

func (f *fleet) exemptAndKill(v *vm) {
	f.oracle.exempt(v.addr, 2*restartPause)
	v.kill()
}

// powerOff kills a VM's daemon and server, and restarts them after a random delay.
func (f *fleet) powerOff(rng *rand.Rand, v *vm) {
	d := randomDuration(rng, 500*time.Millisecond, 2500*time.Millisecond)
	f.oracle.exempt(v.addr, d+2*restartPause)
	v.process.hold()
	v.kill()
	f.endServer(v, (*standin.Server).Crash)
	time.Sleep(d)
	v.process.release()
	if v.service != "" {
		f.restartServer(v)
	}
}

// restartServer starts a new server. It retries, as the port may still be in use for a moment.
func (f *fleet) restartServer(v *vm) {
	var err error
	for range 20 {
		if err = f.startServer(v); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.oracle.Failed(errors.Wrapf(err, "soak: start a server beside %s", v.name))
}

func (f *fleet) storeFault(rng *rand.Rand, faults standin.Faults) {
	d := randomDuration(rng, time.Second, 4*time.Second)
	f.oracle.exemptRouteChanges(d)
	f.store.SetFaults(faults)
	time.Sleep(d)
	f.store.SetFaults(standin.Faults{})
}

func (f *fleet) linkFault(rng *rand.Rand, v *vm, set func(v *vm, on bool)) {
	d := randomDuration(rng, 500*time.Millisecond, 4*time.Second)
	f.oracle.exempt(v.addr, d)
	set(v, true)
	time.Sleep(d)
	set(v, false)
}

// changeRoute adds a route and later removes it. It opens flows on the route after each change.
func (f *fleet) changeRoute(rng *rand.Rand) {
	f.routeLock.Lock()
	defer f.routeLock.Unlock()
	n := len(services)*(2+rng.IntN(20)) + rng.IntN(len(services))
	a := f.cfg.address(netRoute, n, 9443)
	f.routes[a] = f.serviceOf(a)
	f.putRoutes()
	f.oracle.setRoute(a, true)
	f.openFlows(rng, a, 5*time.Second)
	delete(f.routes, a)
	f.putRoutes()
	f.oracle.setRoute(a, false)
	f.openFlows(rng, a, 7*time.Second)
}

// openFlows opens a flow to an address every 300 ms and reports resets to the oracle.
func (f *fleet) openFlows(rng *rand.Rand, a netip.AddrPort, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		c := f.clients[rng.IntN(len(f.clients))]
		flow, err := c.Open(a)
		switch err {
		case nil:
			flow.Close()
		case standin.ErrReset:
			f.oracle.newFlowReset(a)
		}
	}
}
