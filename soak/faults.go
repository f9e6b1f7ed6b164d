package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/platform"
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
		for _, v := range f.all() {
			if rng.IntN(2) == 0 {
				f.exemptAndKill(v)
			}
		}
	}},
	{"restart a balancer", func(f *fleet, rng *rand.Rand) { pick(rng, f.balancers).process.terminate() }},
	{"restart an agent", func(f *fleet, rng *rand.Rand) { pick(rng, f.agents).process.terminate() }},
	{"restart all agents in turn", func(f *fleet, rng *rand.Rand) {
		restartInTurn(rng, f.agents, 600*time.Millisecond, 1200*time.Millisecond)
	}},
	{"restart the fleet", func(f *fleet, rng *rand.Rand) { f.restartFleet(rng) }},
	{"slow restart of an agent", func(f *fleet, rng *rand.Rand) {
		v := pick(rng, f.agents)
		v.process.hold()
		v.process.terminate()
		v.process.awaitEnd()
		time.Sleep(randomDuration(rng, 2*time.Second, 5*time.Second))
		v.process.release()
	}},
	{"rolls of agents and balancers and drains overlap", func(f *fleet, rng *rand.Rand) {
		replaced, own := f.drawReplacement(rng), rand.New(rand.NewPCG(rng.Uint64(), 1))
		var wait sync.WaitGroup
		wait.Go(func() { restartInTurn(own, f.balancers, 300*time.Millisecond, 1500*time.Millisecond) })
		wait.Go(replaced)
		restartInTurn(rng, f.agents, 50*time.Millisecond, 400*time.Millisecond)
		wait.Wait()
	}},
	{"upstreams are removed and added while balancers restart", func(f *fleet, rng *rand.Rand) { f.changeUpstreams(rng) }},
	{"brief pauses of daemons", func(f *fleet, rng *rand.Rand) {
		for range 4 + rng.IntN(8) {
			f.pause(rng, 50*time.Millisecond, maxBriefPause)
			time.Sleep(randomDuration(rng, 10*time.Millisecond, 400*time.Millisecond))
		}
	}},
	{"reload settings", func(f *fleet, rng *rand.Rand) { f.any(rng).process.signal(syscall.SIGHUP) }},
	{"pause a daemon", func(f *fleet, rng *rand.Rand) { f.pause(rng, maxBriefPause, 4*time.Second) }},
	{"power failure of an upstream VM", func(f *fleet, rng *rand.Rand) { f.powerOff(rng, pick(rng, f.agents)) }},
	{"power failure of all VMs", func(f *fleet, rng *rand.Rand) {
		var wait sync.WaitGroup
		seed := rng.Uint64()
		for i, v := range f.all() {
			wait.Go(func() { f.powerOff(rand.New(rand.NewPCG(seed, uint64(i))), v) })
		}
		wait.Wait()
	}},
	{"crash of a server", func(f *fleet, rng *rand.Rand) {
		v := pick(rng, f.agents)
		f.oracle.exempt(v.addr, time.Second)
		f.endServer(v, (*standin.Server).Crash)
		time.Sleep(randomDuration(rng, 100*time.Millisecond, 2*time.Second))
		f.restartServer(v)
	}},
	{"replacement of a server", func(f *fleet, rng *rand.Rand) { f.drawReplacement(rng)() }},
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
	{"a failure domain is evacuated", func(f *fleet, rng *rand.Rand) { f.evacuate(rng) }},
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
		delay(rng, &f.any(rng).tcp.link)
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
		delay(rng, &pick(rng, f.agents).udp.link)
	}},
	{"store returns from an older copy", func(f *fleet, rng *rand.Rand) { f.restoreStore(rng) }},
	{"a route is added and removed", func(f *fleet, rng *rand.Rand) { f.changeRoute(rng) }},
}

// Waits that exempt no VM: the rule on flows counts a machine as slowed from a wait of half a second
// on, and shorter ones happen on any busy VM.
const (
	maxBriefPause = 300 * time.Millisecond // longest pause of a daemon
	linkDelay     = 80 * time.Millisecond  // of a slow link
)

// faultsNamed returns the faults whose names contain the text.
func faultsNamed(text string) (list []fault) {
	for _, f := range faults {
		if strings.Contains(f.name, text) {
			list = append(list, f)
		}
	}
	return list
}

// lossPerThousand is the loss rate of a faulty link, in datagrams per 1,000.
const lossPerThousand = 100

// pause stops a random daemon for a while.
func (f *fleet) pause(rng *rand.Rand, from, to time.Duration) {
	v, d := f.any(rng), randomDuration(rng, from, to)
	if d > maxBriefPause {
		f.oracle.exempt(v.addr, d)
	}
	v.process.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.process.signal(syscall.SIGCONT)
}

// restartInTurn stops the daemons one after another, with random pauses, and does not wait for
// their ends.
func restartInTurn(rng *rand.Rand, list []*vm, from, to time.Duration) {
	for _, v := range list {
		v.process.terminate()
		time.Sleep(randomDuration(rng, from, to))
	}
}

// restartFleet stops all daemons in turn and starts all of them at once.
func (f *fleet) restartFleet(rng *rand.Rand) {
	all := f.all()
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, v := range all {
		v.process.hold()
		v.process.terminate()
		time.Sleep(randomDuration(rng, 0, 200*time.Millisecond))
	}
	for _, v := range all {
		v.process.awaitEnd()
	}
	for _, v := range all {
		v.process.release()
	}
}

// changeUpstreams removes upstreams with their agents, and adds them again, while the balancers
// restart in turn. So new flows are placed by other views than the hints that were lost.
func (f *fleet) changeUpstreams(rng *rand.Rand) {
	own := rand.New(rand.NewPCG(rng.Uint64(), 1))
	removed := append([]*vm{}, f.agents...)
	rng.Shuffle(len(removed), func(i, j int) { removed[i], removed[j] = removed[j], removed[i] })
	var wait sync.WaitGroup
	wait.Go(func() { restartInTurn(own, f.balancers, 500*time.Millisecond, 2500*time.Millisecond) })
	for _, v := range removed[:1+len(removed)/4] {
		away := randomDuration(rng, 500*time.Millisecond, 4*time.Second)
		wait.Go(func() {
			f.drain(v, drainBound)
			v.process.hold()
			v.process.terminate()
			v.process.awaitEnd()
			time.Sleep(away)
			v.process.release()
			f.restartServer(v)
		})
	}
	wait.Wait()
}

// drawReplacement chooses a server, and returns a function that drains and replaces it.
func (f *fleet) drawReplacement(rng *rand.Rand) func() {
	v, d := pick(rng, f.agents), randomDuration(rng, 3*time.Second, 5*time.Second)
	return func() {
		f.drain(v, d)
		f.restartServer(v)
	}
}

// drain drains a VM's server, and ends it after a while.
func (f *fleet) drain(v *vm, d time.Duration) {
	v.mu.Lock()
	s := v.server
	v.mu.Unlock()
	if s == nil {
		return
	}
	s.Drain()
	time.Sleep(d)
	// Another fault may have replaced s meanwhile. A server that was not drained crashes.
	f.endServer(v, func(ending *standin.Server) {
		if ending == s {
			ending.Leave()
		} else {
			ending.Crash()
		}
	})
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

// delay delays the data on a link for a while.
func delay(rng *rand.Rand, l *link) {
	l.delayNs.Store(int64(linkDelay))
	time.Sleep(randomDuration(rng, 500*time.Millisecond, 4*time.Second))
	l.delayNs.Store(0)
}

// changeRoute adds a route and later removes it. It opens flows on the route after each change.
func (f *fleet) changeRoute(rng *rand.Rand) {
	f.routeLock.Lock()
	defer f.routeLock.Unlock()
	a := f.addRoute(rng)
	f.openFlows(rng, a, 5*time.Second)
	f.removeRoute(a)
	f.openFlows(rng, a, 7*time.Second)
}

// evacuate orders the evacuation of a failure domain and withdraws the order later.
func (f *fleet) evacuate(rng *rand.Rand) {
	// restoreStore would lose the order. Orders that wait for one another would make the run longer.
	if !f.routeLock.TryLock() {
		return
	}
	defer f.routeLock.Unlock()
	domain := fmt.Sprintf("fd-%d", rng.IntN(3))
	key := "op/evacuate/" + domain
	f.store.Put(key, []byte("{}"))
	f.oracle.setEvacuated(domain, true)
	time.Sleep(randomDuration(rng, 6*time.Second, 12*time.Second))
	f.oracle.setEvacuated(domain, false)
	f.store.Delete(key)
}

// addRoute adds a route at a random address.
func (f *fleet) addRoute(rng *rand.Rand) netip.AddrPort {
	n := len(services)*(2+rng.IntN(20)) + rng.IntN(len(services))
	a := f.cfg.address(netRoute, n, 9443)
	f.routes[a] = f.serviceOf(a)
	f.putRoutes()
	f.oracle.setRoute(a, true)
	return a
}

func (f *fleet) removeRoute(a netip.AddrPort) {
	delete(f.routes, a)
	f.putRoutes()
	f.oracle.setRoute(a, false)
}

// restoreStore returns the store to an older copy once or twice. Routes are changed after the
// copy, just before the outage and just after the return; the operator writes again what was
// lost. It opens flows on the routes that are then in force or removed.
func (f *fleet) restoreStore(rng *rand.Rand) {
	f.routeLock.Lock()
	defer f.routeLock.Unlock()
	removed := f.addRoute(rng)
	copied := f.store.Copy()
	age := randomDuration(rng, 3*time.Second, 14*time.Second)
	time.Sleep(age / 2)
	kept := f.addRoute(rng)
	time.Sleep(age / 2)
	if removed != kept {
		f.removeRoute(removed)
	}
	for range 1 + rng.IntN(2) {
		away := randomDuration(rng, 300*time.Millisecond, 3*time.Second)
		f.oracle.exemptRouteChanges(away)
		f.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
		f.store.Restore(copied)
		time.Sleep(away)
		f.store.SetFaults(standin.Faults{})
		// The store shows the older document for a while.
		time.Sleep(randomDuration(rng, 0, 300*time.Millisecond))
		f.store.Put(platform.ConfigKey, f.document)
		f.oracle.setRoute(kept, true)
		if removed != kept {
			f.oracle.setRoute(removed, false)
		}
	}
	after := f.addRoute(rng)
	own := rand.New(rand.NewPCG(rng.Uint64(), 1))
	var wait sync.WaitGroup
	wait.Go(func() { f.openFlows(own, kept, 7*time.Second) })
	f.openFlows(rng, after, 7*time.Second)
	wait.Wait()
	f.openFlows(rng, removed, time.Second)
	f.removeRoute(after)
	if kept != after {
		f.removeRoute(kept)
	}
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
