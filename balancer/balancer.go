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
	// stepInterval is the interval between two calls of step.
	stepInterval = 100 * time.Millisecond
	// leavePushInterval is the interval between two rounds in which a leaving balancer
	// pushes its record; leaveTimeout is the time after which it stops pushing.
	leavePushInterval = 250 * time.Millisecond
	leaveTimeout      = time.Second
)

// Options adapts a balancer to its environment. The zero value is for a VM: clients send
// IP packets, the settings name the store, and the agents announce the addresses of
// their services.
type Options struct {
	// Packets is the format of the client packets received at
	// settings.Balancer.ClientAddress.
	Packets packet.Datagram
	// OpenStore returns a store that replaces the store named in the settings. It
	// reports each call to the store to observe.
	OpenStore func(log *event.Logger, observe StoreObserver) store.Store
	// RoutesKey is the store key of the operators' routes, and DecodeRoutes decodes its
	// value. If the key is empty, the agents announce the addresses of their services.
	RoutesKey    string
	DecodeRoutes func(text []byte) (*route.Document, finding.List, error)
	// OrdersPrefix is the prefix of the store keys of the operators' orders to evacuate failure domains, and
	// DecodeOrders decodes them: see daemon.OrdersConfig. They are read with the routes if
	// settings.Balancer.EvacuationSeconds is not 0.
	OrdersPrefix string
	DecodeOrders func(orders []store.KV) (domains []string, found finding.List)
	// CollectorPollInterval is the minimum interval at which a candidate reads the lease
	// key of its failure domain's collector while another balancer holds it. It is meant for
	// stores that charge per call. Default: the key is read in each collector step.
	CollectorPollInterval time.Duration
}

// StoreObserver receives the name of a completed store call, such as "txn", its
// duration and its error.
type StoreObserver func(call string, d time.Duration, err error)

// Balancer is one balancer process.
type Balancer struct {
	cfg        settings.Balancer // settings at process start
	currentCfg settings.Balancer // settings in force after reloads; used by Reload only
	options    Options
	log        *event.Logger
	clock      daemon.Clock
	rng        *rand.Rand
	lifecycle  *daemon.Lifecycle
	registry   metrics.Registry
	counters   *counters
	router     *router
	health     *health

	exposition *daemon.Exposition
	ports      ports
	control    *daemon.Control
	members    *daemon.Members[*member.Node]
	installed  installedView
	evacuated  evacuated
	wake       daemon.Waker // triggers a step before stepInterval has passed
	// installedRoutes are the routes in the router. Active routes (Routes.Active) are the
	// newest that this process has read; the next step installs them.
	installedRoutes atomic.Pointer[route.Document]
	unrouted        unroutedFlows
	// useLearnedAddresses is set while new flows are placed by learned addresses, which
	// agents have learned from open flows and announce, because no routes can be read.
	useLearnedAddresses atomic.Bool
	warmupFrom          *route.Document // whose rates of cold upstreams the membership node has; accessed by stepRoutes only
	lists               *daemon.Lists
	routes              *daemon.Routes // nil if the agents announce the services' addresses
	collector           *collector     // nil without a store
	grantors            *grantors      // nil without a store or if no limits apply

	closeStore func()
}

// New returns a balancer without open sockets or a store client; Start opens them.
func New(cfg settings.Balancer, options Options, log *event.Logger) *Balancer {
	b := newBalancer(cfg, log, daemon.NewClock())
	b.options = options
	return b
}

func newBalancer(cfg settings.Balancer, log *event.Logger, clock daemon.Clock) *Balancer {
	registry := metrics.NewRegistry()
	return &Balancer{
		cfg:        cfg,
		currentCfg: cfg,
		log:        log,
		clock:      clock,
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		lifecycle:  daemon.NewLifecycle(),
		registry:   registry,
		counters:   newCounters(registry),
		router:     newRouter(clock, &cfg),
		health:     newHealth(),
		installed:  installedView{view: &flow.View{}},
		wake:       daemon.NewWaker(),
	}
}

// Start opens the store client and the sockets and starts serving.
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
	b.assemble(p, s, nil, b.lifecycle.Spawn)
	b.launch()
	b.log.Log(event.Started, "data", p.dataAddr, "control", b.self().Control, "health", p.health.Addr())
	return nil
}

// assemble creates and connects the components. If transport is nil, the control
// client is used. spawn runs a function in the background.
func (b *Balancer) assemble(p ports, s store.Store, transport daemon.Transport, spawn func(func())) {
	b.ports = p
	b.control = daemon.NewControl(b.registry, b.log, b.cfg.ControlListen.Addr())
	if transport == nil {
		transport = b.control.Client
	}
	node := member.NewNode(member.Config{Seeds: b.cfg.Seeds}, b.initialRecord(), daemon.NewRand(b.rng))
	peerFailureLog := daemon.NewLogLimiter(b.log, b.clock, event.PeerUnreachable)
	b.members = daemon.NewMembers(node, daemon.MembersConfig{
		Clock:     b.clock,
		Transport: transport,
		Spawn:     spawn,
		Failed:    peerFailureLog.LogPeer,
		Answered:  func(member.Call) { b.wakeOnNewOrders() },
	})
	b.lists = daemon.NewLists(daemon.ListsConfig{
		Log: b.log, Clock: b.clock, Rand: daemon.NewRand(b.rng), Transport: transport, Store: s,
		Spawn: spawn, Activated: b.listsActivated,
	})
	if s != nil && b.options.RoutesKey != "" {
		b.routes = daemon.NewRoutes(daemon.RoutesConfig{
			Orders: b.ordersConfig(),
			Log:    b.log, Clock: b.clock, Rand: daemon.NewRand(b.rng), Store: s,
			Key: b.options.RoutesKey, Decode: b.options.DecodeRoutes,
			Transport: transport, Spawn: spawn, Activated: b.routesInstalled,
		})
		b.control.Register(daemon.RoutesService, daemon.NewRoutesRPC(b.routes))
	}
	if s != nil {
		b.collector = newCollector(b, s)
	}
	if s != nil && b.limitsEnabled() {
		b.grantors = newGrantors(b, s, transport, spawn, peerFailureLog.LogPeer)
		b.control.Register(daemon.QuotaService, daemon.NewQuotaRPC(b.grantors.quota))
	}
	b.control.Register(daemon.ListsService, daemon.NewListsRPC(b.lists))
	b.control.Register(control.MemberService, control.NewMember(b.handleMember))
	b.control.Register(daemon.AdminService, daemon.NewAdmin(b.drainRequested))
	b.addDumpSources()
	b.addGauges()
}

// limitsEnabled reports whether the limits of the customers' plans are enforced.
func (b *Balancer) limitsEnabled() bool { return b.cfg.Limits != settings.LimitsNone }

// initialRecord returns the record that the balancer announces first. Its state is Ready,
// so balancers count this one as ready in grantor elections and in the limit of failed
// balancers, although the health endpoint, which the fabric polls, still reports starting.
func (b *Balancer) initialRecord() member.Record {
	return member.Record{
		Name:          b.cfg.Name,
		FailureDomain: b.cfg.FailureDomain,
		Role:          member.RoleBalancer,
		State:         flow.Ready,
		Data:          b.ports.dataAddr,
		Control:       daemon.Advertised(b.cfg.ControlAdvertise, b.ports.control),
	}
}

// launch starts the goroutines of all components.
func (b *Balancer) launch() {
	source := b.ports.clientSource()
	if source != packetio.Source(b.ports.data) {
		b.lifecycle.Go(b.newReader(b.ports.data).run) // hints
	}
	for range b.readers() {
		b.lifecycle.Go(b.newReader(source).run)
	}
	b.lifecycle.Spawn(func() { b.health.serve(b.ports.health) })
	b.exposition = daemon.ServeMetrics(b.ports.metrics, b.registry, b.lifecycle.Spawn)
	b.control.Serve(b.ports.control)
	b.lifecycle.EveryOrOnWake(stepInterval, b.wake, b.step)
	if b.collector != nil {
		collect := func() { b.collector.step(b.lifecycle.Context()) }
		b.lifecycle.Spawn(collect) // read the shards at the start instead of one interval later
		b.lifecycle.Every(collectorInterval, collect)
	}
	if b.grantors != nil {
		b.lifecycle.Every(minElectionInterval, func() { b.grantors.electIfDue(b.lifecycle.Context()) })
	}
	if b.routes != nil {
		b.lifecycle.Spawn(func() { b.routes.Run(b.lifecycle.Context()) })
	}
	b.lifecycle.Supervise(b.drain, b.close)
}

// readers returns the number of goroutines that read client packets. It is 1 for a TUN
// device, because packetio.Device does not support concurrent readers.
func (b *Balancer) readers() int {
	if b.ports.device != nil {
		return 1
	}
	return b.cfg.Readers
}

// step advances membership, routes, lists and grantors, and installs the view if it has
// changed.
func (b *Balancer) step() {
	b.members.Step(b.lifecycle.Context())
	b.logVerdicts()
	b.logReachability()
	b.refreshView()
	b.reportUnknownDomains()
	if b.routes != nil {
		b.stepRoutes()
	}
	if b.limitsEnabled() {
		b.stepLists()
	}
	if b.grantors != nil {
		b.grantors.step(b.lifecycle.Context())
	}
}

func (b *Balancer) drainRequested() int {
	b.lifecycle.Shutdown()
	return 0
}

// drain announces that this balancer is draining and continues to forward packets for
// the drain period, until the fabric and the agents have received the announcement. It
// then announces that the balancer is leaving.
func (b *Balancer) drain() {
	b.log.Log(event.Draining, "seconds", float64(b.cfg.DrainSeconds))
	b.health.drain()
	b.setState(flow.Draining)
	if !b.lifecycle.Sleep(b.cfg.DrainSeconds.Duration()) {
		return
	}
	b.setState(flow.Leaving)
	if b.collector != nil {
		b.collector.stop(b.lifecycle.Context())
	}
	for end := b.clock() + leaveTimeout; ; {
		b.members.StepAndWait(b.lifecycle.Context())
		if b.leaveConfirmed() || b.clock() >= end || !b.lifecycle.Sleep(leavePushInterval) {
			return
		}
	}
}

func (b *Balancer) leaveConfirmed() (done bool) {
	b.members.Do(func(_ time.Duration, n *member.Node) { done = n.PushCompleted() })
	return done
}

func (b *Balancer) setState(s flow.State) {
	b.members.Do(func(now time.Duration, n *member.Node) { n.SetState(now, s) })
}

// close closes the sockets, servers and the store client, which ends their goroutines.
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

// ControlAddress returns the control address that the balancer announces. It must not
// be called before Start has returned.
func (b *Balancer) ControlAddress() netip.AddrPort { return b.self().Control }

// Shutdown starts a graceful shutdown.
func (b *Balancer) Shutdown() { b.lifecycle.Shutdown() }

// Done returns a channel that is closed when the balancer has stopped.
func (b *Balancer) Done() <-chan struct{} { return b.lifecycle.Done() }

// Err returns the error that stopped the balancer, or nil.
func (b *Balancer) Err() error { return b.lifecycle.Err() }

// OpenFlows returns 0, because a balancer owns no flows.
func (b *Balancer) OpenFlows() int { return 0 }
