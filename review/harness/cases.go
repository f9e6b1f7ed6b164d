//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime         = 3 * time.Second // drain-ms
	stableWindow      = 4 * time.Second // stable-window-ms
	flowTTL           = 60 * time.Second
	requestDeadline   = 3 * time.Second
	firstClientPort   = 40001
	idleTimeoutMs     = 15000
	longIdleTimeoutMs = 40000
	longRequest       = "long" // begins the ids of requests that take longRequestTime
	longRequestTime   = 1500 * time.Millisecond
	shortDeadline     = 1200 * time.Millisecond
	configApplyTime   = 3 * time.Second  // config-apply-ms
	lossSettleTime    = 20 * time.Second // after the loss of machines
	addedRoutePort    = 9090
	youngRounds       = 4
	coldTime          = 5 * time.Second // how long a server is slow after its start
	routePort         = 8443
	secondRoutePort   = 8080
	clientZone        = "z-b"
	serviceA          = "huvo11a"
	serviceB          = "wuno96b"
	traceSettleDelay  = 500 * time.Millisecond
)

// addMachines adds balancers as at a small deployment, and side machines in turn in three zones.
func (f *fleet) addMachines(ofA, ofB int) {
	for _, z := range []string{"z-a", "z-b", "z-b", "z-b", "z-c"} {
		f.addBalancer(z)
	}
	zones := []string{"z-a", "z-b", "z-c"}
	for i := range ofA {
		f.addSide(zones[i%3], serviceA)
	}
	for i := range ofB {
		f.addSide(zones[i%3], serviceB)
	}
}

func (f *fleet) document(version int, to string) *document {
	return &document{
		Version: version,
		Routes: []route{
			{Name: "r-a3hwrr6", Hostname: f.addr(200).String(), Prefix: fmt.Sprintf("/%d/", routePort), RouteType: "idempotent",
				TimeoutMs: 3000, TargetMs: 200, Priority: 2, Service: to, MaxAttempts: 2},
			{Name: "r-i9n73hh", Hostname: f.addr(200).String(), Prefix: fmt.Sprintf("/%d/", secondRoutePort), RouteType: "idempotent",
				TimeoutMs: 3000, TargetMs: 200, Priority: 2, Service: serviceB, MaxAttempts: 2},
		},
		Services: []service{
			{Name: serviceA, HealthPath: "/health", MaxConns: 2000, Protocol: "h1"},
			{Name: serviceB, HealthPath: "/health", MaxConns: 2000, Protocol: "h1"},
		},
		Limits: map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": idleTimeoutMs},
	}
}

// openFlows opens flows from consecutive ports, at the rate of 20 a second, and sends one request on each.
func (f *fleet) openFlows(n int, route netip.AddrPort) ([]*clientFlow, error) {
	var out []*clientFlow
	for i := range n {
		c, err := f.clients.open(uint16(firstClientPort+i), route)
		if err != nil {
			return nil, fmt.Errorf("flow %d doesn't open: %w", i, err)
		}
		if err := c.request(fmt.Sprintf("first-%d", i), requestDeadline); err != nil {
			return nil, fmt.Errorf("the first request of flow %d: %w", i, err)
		}
		out = append(out, c)
		time.Sleep(50 * time.Millisecond)
	}
	return out, nil
}

// requestOnEach sends a request on each flow that has not been reset, all at once.
func requestOnEach(flows []*clientFlow, name string) {
	var wait sync.WaitGroup
	for i, c := range flows {
		if c.wasReset() {
			continue
		}
		wait.Go(func() { _ = c.request(fmt.Sprintf("%s-%d", name, i), requestDeadline) })
	}
	wait.Wait()
}

// resetFlows returns a violation of FLOW for each flow that the system has reset although its server
// lives and holds it.
func (f *fleet) resetFlows(flows []*clientFlow) (out []string) {
	for _, c := range flows {
		if !c.wasReset() {
			continue
		}
		s := f.serverNamed(c.server())
		if s == nil || !s.holds(c.key) {
			continue
		}
		out = append(out, fmt.Sprintf("FLOW: %s, %.1f s old, was reset by the system; its server %s of %s lives and holds it",
			c.key, c.resetAt.Sub(c.opened).Seconds(), s.set.id, s.set.service))
	}
	return out
}

// lostReaders: all balancers but one are lost for good; later the operator drops a route and adds one.
func lostReaders(f *fleet, trouble string) ([]string, error) {
	f.addMachines(3, 2)
	if err := f.start(f.document(7, serviceA), clientZone); err != nil {
		return nil, err
	}
	if _, err := f.openFlows(3, f.routeAddr(routePort)); err != nil {
		return nil, err
	}
	// The one that is left is the last of its zone by name.
	if trouble != "0" {
		for i, m := range f.balancers {
			if i != 3 {
				m.end()
				f.rec.say("%s is lost for good", m.name)
				f.router.remove(m.name)
			}
		}
	}
	time.Sleep(lossSettleTime)
	d := f.document(9, serviceA)
	d.Routes[1].Name, d.Routes[1].Prefix = "r-x73d3zj", fmt.Sprintf("/%d/", addedRoutePort)
	f.store.putConfig(d)
	acknowledged := time.Now()
	time.Sleep(configApplyTime + stableWindow)
	var violations []string
	for i := range 10 {
		at := time.Since(acknowledged).Seconds()
		c, err := f.clients.open(uint16(firstClientPort+100+i), f.routeAddr(secondRoutePort))
		if err == nil && c.request(fmt.Sprintf("dropped-%d", i), requestDeadline) == nil {
			violations = append(violations, fmt.Sprintf("CONFIG: %.1f s after the acknowledgement of version 9, a request was sent on the route that it drops, and server %s ran it", at, c.server()))
		}
		at = time.Since(acknowledged).Seconds()
		if _, err := f.clients.open(uint16(firstClientPort+200+i), f.routeAddr(addedRoutePort)); errors.Is(err, errReset) {
			violations = append(violations, fmt.Sprintf("CONFIG: %.1f s after the acknowledgement of version 9, a flow to the route that it adds was refused", at))
		}
		time.Sleep(500 * time.Millisecond)
	}
	return violations, nil
}

// serviceChange: the operator gives a route another service while flows of the route are open. With
// VARIANT=weights the route is split between two services, the operator changes the weights, and then one
// balancer is stopped and started.
func serviceChange(f *fleet, trouble string) ([]string, error) {
	f.addMachines(3, 2)
	weights := os.Getenv("VARIANT") == "weights"
	version := func(number int, to string, ofA, ofB int) *document {
		d := f.document(number, to)
		if weights {
			d.Routes[0].Service, d.Routes[0].TrafficSplit = "", []share{{serviceA, ofA}, {serviceB, ofB}}
		}
		return d
	}
	if err := f.start(version(7, serviceA, 90, 10), clientZone); err != nil {
		return nil, err
	}
	flows, err := f.openFlows(12, f.routeAddr(routePort))
	if err != nil {
		return nil, err
	}
	requestOnEach(flows, "before")
	time.Sleep(stableWindow)
	if trouble != "0" {
		f.store.putConfig(version(9, serviceB, 10, 90))
	}
	for i := range 10 {
		time.Sleep(time.Second)
		if weights && i == 2 {
			f.balancers[2].signal(syscall.SIGTERM)
		}
		requestOnEach(flows, fmt.Sprintf("after-%d", i))
	}
	return f.resetFlows(flows), nil
}

// portReuse: a server drains; later a client opens a flow from a port that it has used before.
func portReuse(f *fleet, trouble string) ([]string, error) {
	f.addMachines(3, 1)
	if err := f.start(f.document(7, serviceA), clientZone); err != nil {
		return nil, err
	}
	flows, err := f.openFlows(12, f.routeAddr(routePort))
	if err != nil {
		return nil, err
	}
	// A client gives up at its deadline, without a packet. The server takes longer for these requests.
	var wait sync.WaitGroup
	for i, c := range flows {
		wait.Go(func() { _ = c.request(fmt.Sprintf("%s-%d", longRequest, i), shortDeadline) })
	}
	wait.Wait()
	f.rec.say("client: has given up its requests at their deadline; its flows get older than flow-ttl-s")
	time.Sleep(flowTTL + 3*time.Second)
	leaving := f.serverNamed(flows[0].server())
	acknowledged := time.Now()
	if trouble != "0" {
		at, ok := leaving.drain(5 * time.Second)
		if !ok {
			return nil, errNotRun
		}
		acknowledged = at
		f.rec.say("server %s: its agent has acknowledged that it is draining", leaving.set.id)
	}
	time.Sleep(drainTime + time.Second)
	sent := time.Now()
	for i := range flows {
		c, err := f.clients.open(uint16(firstClientPort+i), f.routeAddr(routePort))
		if err != nil {
			continue
		}
		_ = c.request(fmt.Sprintf("again-%d", i), requestDeadline)
		c.close()
	}
	if trouble == "0" {
		return nil, nil
	}
	var violations []string
	for _, o := range leaving.openedAfter(sent) {
		violations = append(violations, fmt.Sprintf("DRAIN: server %s took the opening packet of %s %.1f s after the acknowledgement that it is draining; it was sent %.1f s after it at the earliest",
			leaving.set.id, o.key, o.at.Sub(acknowledged).Seconds(), sent.Sub(acknowledged).Seconds()))
	}
	return violations, nil
}

// idleFlow: all processes are killed while flows are idle, for less than the configured idle timeout.
func idleFlow(f *fleet, trouble string) ([]string, error) {
	f.addMachines(3, 1)
	d := f.document(7, serviceA)
	d.Limits["idle-timeout-ms"] = longIdleTimeoutMs
	if err := f.start(d, clientZone); err != nil {
		return nil, err
	}
	flows, err := f.openFlows(12, f.routeAddr(routePort))
	if err != nil {
		return nil, err
	}
	if trouble != "0" {
		f.killAll()
	}
	time.Sleep(30 * time.Second)
	requestOnEach(flows, "after-pause")
	time.Sleep(traceSettleDelay)
	return f.resetFlows(flows), nil
}

// killAll kills all processes of the system at the same moment. They are restarted after a short delay.
func (f *fleet) killAll() {
	for _, m := range append(slices.Clone(f.balancers), f.sides...) {
		m.signal(syscall.SIGKILL)
	}
}

// delayingProxy accepts one connection, holds up what it carries, and passes it on.
func delayingProxy(f *fleet, listen, to netip.AddrPort, delay time.Duration) error {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return err
	}
	go func() {
		defer func() { _ = l.Close() }()
		in, err := l.Accept()
		if err != nil {
			return
		}
		b := make([]byte, 4096)
		n, _ := in.Read(b)
		time.Sleep(delay)
		out, err := net.Dial("tcp", to.String())
		if err != nil {
			return
		}
		_, _ = out.Write(b[:n])
		_ = out.SetReadDeadline(time.Now().Add(time.Second))
		answer, _ := io.ReadAll(io.LimitReader(out, 64))
		f.rec.say("proxy: passes on %.60q after %v, answered %.20q", b[:n], delay, answer)
		_ = out.Close()
		_ = in.Close()
	}()
	return nil
}

// lateDelete: a server leaves and starts again under its id; the call with which it left arrives late.
func lateDelete(f *fleet, trouble string) ([]string, error) {
	f.addMachines(3, 1)
	if err := f.start(f.document(7, serviceA), clientZone); err != nil {
		return nil, err
	}
	m := f.sides[0]
	id := m.server.set.id
	if _, ok := m.server.drain(5 * time.Second); !ok {
		return nil, errNotRun
	}
	time.Sleep(drainTime + time.Second)
	delay := 10 * time.Millisecond
	if trouble != "0" {
		delay = 4 * time.Second
	}
	proxy := netip.AddrPortFrom(f.addr(3), f.ports.control)
	if err := delayingProxy(f, proxy, m.at(f.ports.control), delay); err != nil {
		return nil, err
	}
	status, err := leaveVia(proxy, id)
	f.rec.log("server %s: DELETE is answered with %d %v", id, status, errText(err))
	m.server.exit("exits")
	if err := m.startServer(id, 0); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	flows, err := f.openFlows(24, f.routeAddr(routePort))
	if err != nil {
		return nil, err
	}
	time.Sleep(delay + stableWindow)
	for i := range 3 {
		requestOnEach(flows, fmt.Sprintf("after-%d", i))
		time.Sleep(time.Second)
	}
	return f.resetFlows(flows), nil
}

// youngServer: all processes of the system are killed soon after a server was added. The balancers write
// down their members every few seconds only, so the case tries it at several moments.
func youngServer(f *fleet, trouble string) ([]string, error) {
	f.addMachines(2, 1)
	if err := f.start(f.document(7, serviceA), clientZone); err != nil {
		return nil, err
	}
	for round := range youngRounds {
		m := f.addSide("z-c", serviceA)
		if err := m.start(); err != nil {
			return nil, err
		}
		if err := m.startServer(fmt.Sprintf("i-001%d", round), coldTime); err != nil {
			return nil, err
		}
		time.Sleep(700 * time.Millisecond)
		var flows []*clientFlow
		for i := range 24 { // some of them at the added server
			c, err := f.clients.open(uint16(firstClientPort+100*round+i), f.routeAddr(routePort))
			if err != nil {
				continue
			}
			if c.request(fmt.Sprintf("first-%d-%d", round, i), requestDeadline) == nil {
				flows = append(flows, c)
			}
		}
		if trouble != "0" {
			f.killAll()
		}
		time.Sleep(10 * time.Second)
		for i := range 2 {
			requestOnEach(flows, fmt.Sprintf("after-%d-%d", round, i))
			time.Sleep(500 * time.Millisecond)
		}
		if violations := f.resetFlows(flows); len(violations) > 0 {
			return violations, nil
		}
		for _, c := range flows {
			c.close()
		}
		m.server.exit("is taken away")
		m.end()
		time.Sleep(stableWindow)
	}
	return nil, nil
}
