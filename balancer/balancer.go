package balancer

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/route"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/store"
)

const (
	// tick is the interval of membership steps.
	tick = 100 * time.Millisecond
	// leavePause is the interval of the rounds in which the leave record is pushed,
	// and leaveLimit bounds them.
	leavePause = 250 * time.Millisecond
	leaveLimit = time.Second
)

// Options connects a balancer with what it runs on. The zero value stands for a VM:
// IP packets, the store of the settings, addresses that the agents announce.
type Options struct {
	// Packets is the format of clients' packets, which come to
	// settings.Balancer.ClientAddress.
	Packets packet.Datagram
	// OpenStore returns a store that is used in place of the store of the settings. Each
	// of its calls is passed to observe.
	OpenStore func(observe StoreObserver) store.Store
	// RoutesKey is the store's key of the operators' routes, and DecodeRoutes reads
	// them. Without a key the agents announce the addresses of their services.
	RoutesKey    string
	DecodeRoutes func(text []byte) (*route.Document, finding.List, error)
	// CollectorPause is the time between two looks of a candidate at the lease of its
	// failure domain's collector, for stores that are paid by the call. Default: a look
	// in each step.
	CollectorPause time.Duration
}

// StoreObserver takes the outcome of one call to the store: the call's name, such as
// "txn", the time that it took, and its error.
type StoreObserver func(call string, d time.Duration, err error)

// Balancer is one balancer process.
type Balancer struct {
	cfg      settings.Balancer // as at the start
	inForce  settings.Balancer // in force; used by Reload
	options  Options
	log      *event.Logger
	clock    daemon.Clock
	rng      *rand.Rand
	life     *daemon.Lifecycle
	registry metrics.Registry
	counters *counters
	router   *router
	health   *health

	exposition *daemon.Exposition
	ports      ports
	control    *daemon.Control
	members    *daemon.Members[*member.Node]
	fleet      fleet
	wake       daemon.Waker                   // a step is due before the next tick
	routed     atomic.Pointer[route.Document] // routes that the router has
	// learnedOnly says that new flows go by what agents have learned, for want of routes.
	learnedOnly atomic.Bool
	lists       *daemon.Lists
	routes      *daemon.Routes // nil where the agents announce the services' addresses
	collect     *collector     // nil without a store
	grants      *grantors      // nil without a store

	closeStore func()
}

// New returns a balancer that has opened nothing yet.
func New(cfg settings.Balancer, options Options, log *event.Logger) *Balancer {
	b := newBalancer(cfg, log, daemon.NewClock())
	b.options = options
	return b
}

func newBalancer(cfg settings.Balancer, log *event.Logger, clock daemon.Clock) *Balancer {
	registry := metrics.NewRegistry()
	return &Balancer{
		cfg:      cfg,
		inForce:  cfg,
		log:      log,
		clock:    clock,
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		life:     daemon.NewLifecycle(),
		registry: registry,
		counters: newCounters(registry),
		router:   newRouter(clock, &cfg),
		health:   newHealth(),
		fleet:    fleet{view: &flow.View{}},
		wake:     daemon.NewWaker(),
	}
}

// Start opens the sockets and begins to serve.
func (b *Balancer) Start() error {
	s, closeStore, err := b.openStore()
	if err != nil {
		return err
	}
	p, err := openPorts(&b.cfg)
	if err != nil {
		return err
	}
	b.closeStore = closeStore
	b.assemble(p, s, nil, b.life.Spawn)
	b.launch()
	b.log.Log(event.Started, "data", p.dataAddr, "control", b.self().Control, "health", p.health.Addr())
	return nil
}

// assemble connects the parts. A nil transport stands for the control client;
// spawn runs a call in the background.
func (b *Balancer) assemble(p ports, s store.Store, transport daemon.Transport, spawn func(func())) {
	b.ports = p
	b.control = daemon.NewControl(b.registry, b.log, b.cfg.ControlListen.Addr())
	if transport == nil {
		transport = b.control.Client
	}
	node := member.NewNode(member.Config{Seeds: b.cfg.Seeds}, b.record(), daemon.NewRand(b.rng))
	silent := daemon.NewLogLimiter(b.log, b.clock, event.PeerUnreachable)
	b.members = daemon.NewMembers(node, daemon.MembersConfig{
		Clock:     b.clock,
		Transport: transport,
		Spawn:     spawn,
		Failed:    silent.LogPeer,
	})
	b.lists = daemon.NewLists(daemon.ListsConfig{
		Log: b.log, Clock: b.clock, Rand: daemon.NewRand(b.rng), Transport: transport, Store: s,
		Spawn: spawn, Activated: b.listsActivated,
	})
	if s != nil && b.options.RoutesKey != "" {
		b.routes = daemon.NewRoutes(daemon.RoutesConfig{
			Log: b.log, Clock: b.clock, Rand: daemon.NewRand(b.rng), Store: s,
			Key: b.options.RoutesKey, Decode: b.options.DecodeRoutes,
			Transport: transport, Spawn: spawn, Activated: b.routesInstalled,
		})
		b.control.Register(daemon.RoutesService, daemon.NewRoutesRPC(b.routes))
	}
	if s != nil {
		b.collect = newCollector(b, s)
	}
	if s != nil && b.limited() {
		b.grants = newGrantors(b, s, transport, spawn, silent.LogPeer)
		b.control.Register(daemon.QuotaService, daemon.NewQuotaRPC(b.grants.quota))
	}
	b.control.Register(daemon.ListsService, daemon.NewListsRPC(b.lists))
	b.control.Register(control.MemberService, control.NewMember(b.members.Handle))
	b.control.Register(daemon.AdminService, daemon.NewAdmin(b.drainRequested))
	b.addDumpSources()
	b.addGauges()
}

// limited reports whether plans limit customers.
func (b *Balancer) limited() bool { return b.cfg.Limits != settings.LimitsNone }

func (b *Balancer) record() member.Record {
	return member.Record{
		Name:          b.cfg.Name,
		FailureDomain: b.cfg.FailureDomain,
		Role:          member.RoleBalancer,
		State:         flow.Ready,
		Data:          b.ports.dataAddr,
		Control:       daemon.Advertised(b.cfg.ControlAdvertise, b.ports.control),
	}
}

// launch starts the goroutines.
func (b *Balancer) launch() {
	source := b.ports.clientPackets()
	if source != packetio.Source(b.ports.data) {
		b.life.Go(b.newReader(b.ports.data).run) // hints
	}
	for range b.readers() {
		b.life.Go(b.newReader(source).run)
	}
	b.life.Spawn(func() { b.health.serve(b.ports.health) })
	b.exposition = daemon.ServeMetrics(b.ports.metrics, b.registry, b.life.Spawn)
	b.control.Serve(b.ports.control)
	b.life.EveryOrOnWake(tick, b.wake, b.step)
	if b.collect != nil {
		collect := func() { b.collect.step(b.life.Context()) }
		b.life.Spawn(collect) // a starting balancer reads the shards at once
		b.life.Every(collectInterval, collect)
	}
	if b.grants != nil {
		b.life.Every(electInterval, func() { b.grants.electWhenDue(b.life.Context()) })
	}
	if b.routes != nil {
		b.life.Spawn(func() { b.routes.Run(b.life.Context()) })
	}
	b.life.Supervise(b.drain, b.close)
}

// readers returns the number of goroutines that read IP packets. A TUN device is
// read by one, since packetio.Device allows no more.
func (b *Balancer) readers() int {
	if b.ports.device != nil {
		return 1
	}
	return b.cfg.Readers
}

// step advances membership and the lists, and installs the view when it has changed.
func (b *Balancer) step() {
	b.members.Step(b.life.Context())
	b.refreshView()
	if b.routes != nil {
		b.stepRoutes()
	}
	if b.limited() {
		b.stepLists()
	}
	if b.grants != nil {
		b.grants.step(b.life.Context())
	}
}

func (b *Balancer) drainRequested() int {
	b.life.Shutdown()
	return 0
}

// drain keeps forwarding while the fabric and the agents learn that this balancer
// is leaving.
func (b *Balancer) drain() {
	b.log.Log(event.Draining, "seconds", float64(b.cfg.DrainSeconds))
	b.health.drain()
	b.setState(flow.Draining)
	if !b.life.Sleep(b.cfg.DrainSeconds.Duration()) {
		return
	}
	b.setState(flow.Leaving)
	if b.collect != nil {
		b.collect.stop(b.life.Context())
	}
	for end := b.clock() + leaveLimit; ; {
		b.members.StepAndWait(b.life.Context())
		if b.confirmed() || b.clock() >= end || !b.life.Sleep(leavePause) {
			return
		}
	}
}

func (b *Balancer) confirmed() (done bool) {
	b.members.Do(func(_ time.Duration, n *member.Node) { done = n.Confirmed() })
	return done
}

func (b *Balancer) setState(s flow.State) {
	b.members.Do(func(now time.Duration, n *member.Node) { n.SetState(now, s) })
}

// close ends all goroutines.
func (b *Balancer) close() {
	b.ports.closePackets()
	b.health.close()
	b.exposition.Close()
	b.control.Close()
	b.closeStore()
}

func (b *Balancer) self() (r member.Record) {
	b.members.Do(func(_ time.Duration, n *member.Node) { r = n.Self() })
	return r
}

// ControlAddress returns the control address that the balancer announces. It may be
// called after Start.
func (b *Balancer) ControlAddress() netip.AddrPort { return b.self().Control }

// Shutdown begins a graceful shutdown.
func (b *Balancer) Shutdown() { b.life.Shutdown() }

// Done is closed when the balancer has stopped.
func (b *Balancer) Done() <-chan struct{} { return b.life.Done() }

// Err returns what stopped the balancer, or nil.
func (b *Balancer) Err() error { return b.life.Err() }

// OpenFlows returns 0: a balancer owns no flows.
func (b *Balancer) OpenFlows() int { return 0 }
