package soak

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/platform/standin"
)

// oracle checks the guarantees from what clients and servers observe.
type oracle struct {
	mu                sync.Mutex
	flows             map[packet.Key]*flowRecord
	takenBy           map[packet.Key]netip.Addr      // balancer that got the last packet of a flow
	acceptedBy        map[packet.Key]*standin.Server // server that got the first packet of a flow last
	executedBy        map[string]string              // name of the server that ran a request
	exemptUntil       map[netip.Addr]time.Time       // time until which a VM is exempt from checks
	alive             map[*standin.Server]bool
	coldBound         int                             // new flows that a cold server may get within a second; 0: no limit
	coldFlows         map[*standin.Server][]time.Time // when a cold server got new flows, within the last second
	routes            map[netip.AddrPort]routeRecord
	domains           map[netip.Addr]string // failure domains of the servers' VMs
	evacuated         map[string]time.Time  // domains under an order to evacuate, and when the store has acknowledged it
	routesExemptUntil time.Time             // time until which a store fault can delay changes of routes and orders
	failures          []error
	result            *Result
	clock             func() time.Time
}

type flowRecord struct {
	server      *standin.Server
	misdelivery *misdelivery // nil: no packet has reached another server within misdeliveryPeriod
}

// misdelivery counts the packets of a flow during misdeliveryPeriod, from the first packet that
// reached another server.
type misdelivery struct {
	misdelivered []*standin.Server // the servers, one for each packet
	takenBy      []netip.Addr      // the balancers that got the packets
	delivered    bool              // a packet has reached the flow's own server
	excused      bool              // a VM involved had a fault when one of the packets arrived
}

// routeRecord holds whether a route exists and when it was last added or removed.
type routeRecord struct {
	exists bool
	since  time.Time
}

func newOracle(r *Result) *oracle {
	return &oracle{
		flows: map[packet.Key]*flowRecord{}, takenBy: map[packet.Key]netip.Addr{},
		acceptedBy: map[packet.Key]*standin.Server{}, executedBy: map[string]string{}, exemptUntil: map[netip.Addr]time.Time{},
		coldFlows: map[*standin.Server][]time.Time{}, alive: map[*standin.Server]bool{}, routes: map[netip.AddrPort]routeRecord{}, result: r, clock: time.Now,
		domains: map[netip.Addr]string{}, evacuated: map[string]time.Time{},
	}
}

// maxViolations is the maximum number of violations in a result.
const maxViolations = 50

func (o *oracle) violation(format string, args ...any) {
	if len(o.result.Violations) < maxViolations {
		text := o.clock().Format("15:04:05.000") + " " + fmt.Sprintf(format, args...)
		o.result.Violations = append(o.result.Violations, text)
	}
}

// Violation implements standin.ClientObserver and standin.ServerObserver.
func (o *oracle) Violation(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violation("%s", text)
}

// exempt exempts a VM from the checks for the duration of a fault and for recoveryTime after
// it. Planned stops (SIGTERM, SIGHUP, drains) do not exempt a VM.
func (o *oracle) exempt(vm netip.Addr, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until := o.clock().Add(d + recoveryTime); until.After(o.exemptUntil[vm]) {
		o.exemptUntil[vm] = until
	}
}

// exemptRouteChanges exempts route changes from the checks for the duration of a store fault
// and for recoveryTime after it.
func (o *oracle) exemptRouteChanges(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until := o.clock().Add(d + recoveryTime); until.After(o.routesExemptUntil) {
		o.routesExemptUntil = until
	}
}

// checkable reports whether the guarantees are checked for all the VMs. The caller holds mu.
func (o *oracle) checkable(vms ...netip.Addr) bool {
	now := o.clock()
	for _, vm := range vms {
		if now.Before(o.exemptUntil[vm]) {
			return false
		}
	}
	return true
}

// judge reports whether an event at the VMs is checked against the guarantees, and counts it
// as judged or excused. The caller holds mu.
func (o *oracle) judge(vms ...netip.Addr) bool {
	checked := o.checkable(vms...)
	if checked {
		o.result.Judged++
	} else {
		o.result.Excused++
	}
	return checked
}

func (o *oracle) started(s *standin.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.alive[s] = true
}

func (o *oracle) ended(s *standin.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.alive, s)
}

// Received implements standin.ServerObserver.
func (o *oracle) Received(s *standin.Server, k packet.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.flows[k]
	if f == nil || f.server != s {
		f = &flowRecord{server: s}
		o.flows[k] = f
	}
	if f.misdelivery != nil {
		f.misdelivery.delivered = true
	}
}

// Closed implements standin.ServerObserver.
func (o *oracle) Closed(_ *standin.Server, k packet.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.flows, k)
	delete(o.takenBy, k)
}

// Misdelivered implements standin.ServerObserver.
func (o *oracle) Misdelivered(s *standin.Server, k packet.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.flows[k]
	if f == nil || f.server == s || !o.alive[f.server] {
		return
	}
	if f.misdelivery == nil {
		f.misdelivery = &misdelivery{}
		time.AfterFunc(misdeliveryPeriod, func() { o.endMisdelivery(k, f) })
	}
	m := f.misdelivery
	m.misdelivered = append(m.misdelivered, s)
	m.takenBy = append(m.takenBy, o.takenBy[k])
	// The rule asks for the VMs of the flow's own server and of the balancer that took the packet,
	// not for that of the other server.
	m.excused = !o.judge(f.server.Host(), o.takenBy[k]) || m.excused
}

func (o *oracle) endMisdelivery(k packet.Key, f *flowRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := f.misdelivery
	f.misdelivery = nil
	if m != nil && o.flows[k] == f && o.alive[f.server] && len(m.misdelivered) >= minMisdelivered && !m.delivered && !m.excused && o.checkable(f.server.Host()) {
		o.violation("%d packets of flow %v reached other servers, and none its own %s: %s", len(m.misdelivered), id(k), f.server.Name(), m)
	}
}

// String lists where the packets were delivered and which balancers took them.
func (m *misdelivery) String() string {
	var text []string
	for i, s := range m.misdelivered {
		text = append(text, fmt.Sprintf("%s by way of %s", s.Name(), m.takenBy[i]))
	}
	return strings.Join(text, ", ")
}

// took records which balancer gets the next packet of a flow.
func (o *oracle) took(k packet.Key, balancer netip.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.takenBy[k] = balancer
}

// Failed implements processObserver.
func (o *oracle) Failed(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = append(o.failures, err)
}

// finish checks the requests of the final check. It returns the failures of the run, which say
// nothing on the guarantees.
func (o *oracle) finish() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.result
	if float64(r.CalmOK) < minAnsweredShare*float64(r.CalmSent) || r.CalmSent == 0 {
		o.violation("after %s without faults %d of %d requests were answered", faultFreeTime, r.CalmOK, r.CalmSent)
	}
	return errors.Join(o.failures...)
}

// Reset implements standin.ClientObserver.
func (o *oracle) Reset(k packet.Key, from netip.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.flows[k]
	if f == nil || !o.alive[f.server] || !o.judge(f.server.Host(), from) {
		return
	}
	if r, known := o.routes[k.Destination()]; known && !r.exists {
		return
	}
	o.violation("flow %v was reset by %s while its server %s lives", id(k), from, f.server.Name())
}

// checkCold checks the number of new flows that a cold server has got within a second.
func (o *oracle) checkCold(s *standin.Server) {
	now := o.clock()
	if o.coldBound == 0 || now.After(s.ColdUntil()) {
		return
	}
	recent := slices.DeleteFunc(append(o.coldFlows[s], now), func(at time.Time) bool { return now.Sub(at) > time.Second })
	o.coldFlows[s] = recent
	o.result.MaxCold = max(o.result.MaxCold, len(recent))
	if len(recent) > o.coldBound {
		o.violation("cold server %s got %d new flows within a second, and may get %d", s.Name(), len(recent), o.coldBound)
	}
}

// FirstPacket implements standin.ServerObserver.
func (o *oracle) FirstPacket(s *standin.Server, k packet.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// A copy of the first packet opens nothing new at a server that got the flow before.
	held := o.acceptedBy[k] == s
	o.acceptedBy[k] = s
	if since, drained := s.DrainedSince(); drained && !held && o.clock().Sub(since) > drainBound && o.checkable(s.Host()) {
		o.violation("server %s got the new flow %v %s after its drain was acknowledged", s.Name(), id(k), o.clock().Sub(since))
	}
	domain := o.domains[s.Host()]
	ordered, evacuated := o.evacuated[domain]
	if age := o.clock().Sub(ordered); evacuated && !held && age > evacuationBound && o.clock().After(o.routesExemptUntil) && o.checkable(s.Host()) {
		o.violation("server %s got the new flow %v %s after the order to evacuate %s", s.Name(), id(k), age, domain)
	}
	if !held {
		o.checkCold(s)
	}
	r, known := o.routes[k.Destination()]
	if known && !r.exists && o.clock().Sub(r.since) > routeRemovalBound && o.clock().After(o.routesExemptUntil) {
		o.violation("server %s got the new flow %v %s after its route was removed", s.Name(), id(k), o.clock().Sub(r.since))
	}
}

// Executed implements standin.ServerObserver.
func (o *oracle) Executed(s *standin.Server, request string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if before, twice := o.executedBy[request]; twice {
		o.violation("request %s ran at %s and at %s", request, before, s.Name())
	}
	o.executedBy[request] = s.Name()
}

// setEvacuated records an order to evacuate a failure domain, or its withdrawal. Call it after the store has
// acknowledged the order, and before the withdrawal is written.
func (o *oracle) setEvacuated(domain string, ordered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if delete(o.evacuated, domain); ordered {
		o.evacuated[domain] = o.clock()
	}
}

// setRoute records a route change that the store has acknowledged.
func (o *oracle) setRoute(a netip.AddrPort, exists bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routes[a] = routeRecord{exists: exists, since: o.clock()}
}

// newFlowReset handles a reset that a client received in reply to the SYN of a new flow. The
// reset is checked only between configBound and 2*configBound after the route was added.
func (o *oracle) newFlowReset(to netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, known := o.routes[to]
	age := o.clock().Sub(r.since)
	if known && r.exists && age > configBound && age < 2*configBound && o.clock().After(o.routesExemptUntil) {
		o.violation("a new flow to %s was reset %s after its route was added", to, age)
	}
}

var activatedVersion = regexp.MustCompile(fmt.Sprintf(`event=%d .*version=(\d+)`, event.RoutesActive.Number))

// checkVersions checks that no process of a daemon, whose log is given, has gone back to a lower
// version of the routes.
func (o *oracle) checkVersions(daemon, log string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	started, last := fmt.Sprintf("event=%d ", event.Started.Number), int64(0)
	for line := range strings.Lines(log) {
		if strings.Contains(line, started) {
			last = 0
		}
		found := activatedVersion.FindStringSubmatch(line)
		if found == nil {
			continue
		}
		version, err := strconv.ParseInt(found[1], 10, 64)
		if err != nil {
			o.failures = append(o.failures, errors.Wrapf(err, "soak: log of %s", daemon))
			continue
		}
		if version < last {
			o.violation("%s went back from version %d of the routes to %d", daemon, last, version)
		}
		last = version
	}
}

// count counts a request's outcome. finalCheck marks a request sent in the final check.
func (o *oracle) count(err error, finalCheck bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.result
	r.Requests++
	switch err {
	case nil:
		r.Answered++
	case standin.ErrReset:
		r.Reset++
	default:
		r.TimedOut++
	}
	if finalCheck {
		r.CalmSent++
		if err == nil {
			r.CalmOK++
		}
	}
}

func id(k packet.Key) string { return k.Source().String() + ">" + k.Destination().String() }
