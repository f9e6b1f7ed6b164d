package agent

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

const (
	// stepInterval is the interval between two calls of step.
	stepInterval = 100 * time.Millisecond
	// leavePushInterval is the interval between two rounds in which an agent that exits pushes
	// its record; leaveTimeout is the time after which it stops pushing. It leaves most of the
	// 6 s between the platform's stop request and its kill to the rest of the shutdown.
	leavePushInterval = 250 * time.Millisecond
	leaveTimeout      = 2 * time.Second
	// joinInterval is the interval between heartbeats until a balancer that knows all live processes has
	// answered. Until then, clients of lost flows are not told.
	joinInterval = 200 * time.Millisecond
	// handoverTimeout is the time for which an agent that exits waits for its peers to confirm the list
	// of its flows, and handoverPollInterval that between two looks. Two attempts at two sets of peers
	// fit in.
	handoverTimeout      = time.Second
	handoverPollInterval = 10 * time.Millisecond
)

// Agent is one agent process.
type Agent struct {
	cfg        settings.Agent // settings at process start
	currentCfg settings.Agent // settings in force after reloads; used by Reload only
	options    Options
	id         packet.AgentID
	service    packet.ServiceID
	endpoints  map[endpoint]bool // nil if the settings list none: operators configure them as routes
	log        *event.Logger
	clock      daemon.Clock
	rng        *rand.Rand
	lifecycle  *daemon.Lifecycle
	registry   metrics.Registry
	counters   *counters

	ports      ports
	control    *daemon.Control
	members    *daemon.Members[*member.Announcer]
	flows      flows
	peers      peers
	sender     *sender
	quota      *daemon.QuotaExchange
	quotaAddrs quotaAddresses
	requests   requests
	monitor    *upstreamMonitor // nil if the upstream does not announce itself
	health     *http.Server

	exposition  *daemon.Exposition
	requestTime metrics.Histogram // time that the upstream takes for a request
	waitTime    metrics.Histogram // time that first packets waited for a slot

	warmup    *warmup    // nil without a limit of cold upstreams
	admission *admission // guarded by flows.mu
	urgent    urgentWork
	wake      daemon.Waker      // triggers a step before stepInterval has passed
	learned   map[endpoint]bool // endpoints of flows that the upstream holds; guarded by flows.mu
	headers   headerCache       // guarded by flows.mu

	// deferredSender sends the buffered first packets of flows that have waited. Only the
	// sending part of the reader is used.
	deferredSender   *reader
	deferredSenderMu sync.Mutex // guards deferredSender

	started            time.Duration
	startedAt          time.Time
	stateMu            sync.Mutex    // serializes state changes
	balancerKnownSince time.Duration // when a balancer was first known to have answered; 0 before; guarded by stateMu
	stopping           bool          // the agent no longer announces its upstream's state; guarded by stateMu
}

// New returns an agent; Start opens its sockets.
func New(cfg settings.Agent, options Options, log *event.Logger) *Agent {
	return newAgent(cfg, options, log, daemon.NewClock())
}

func newAgent(cfg settings.Agent, options Options, log *event.Logger, clock daemon.Clock) *Agent {
	registry := metrics.NewRegistry()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Agent{
		cfg:        cfg,
		currentCfg: cfg,
		options:    options,
		id:         packet.AgentIDOf(cfg.Name),
		service:    packet.ServiceIDOf(cfg.Service.Name),
		endpoints:  endpointSet(cfg.Service.Endpoints),
		log:        log,
		clock:      clock,
		rng:        rng,
		headers:    newHeaderCache(rng),
		lifecycle:  daemon.NewLifecycle(),
		registry:   registry,
		counters:   newCounters(registry),
		startedAt:  time.Now(),
		urgent:     newUrgentWork(),
		wake:       daemon.NewWaker(),

		requestTime: daemon.NewTimeHistogram("upstream.request", registry),
		waitTime:    daemon.NewTimeHistogram("flows.wait", registry),
		learned:     make(map[endpoint]bool),
	}
}

// Start opens the sockets and starts serving.
func (a *Agent) Start() error {
	p, err := openPorts(&a.cfg)
	if err != nil {
		return err
	}
	a.assemble(p, nil, a.lifecycle.Spawn)
	a.launch()
	self := a.self()
	a.log.Log(event.Started, "data", self.Data, "control", self.Control, "service", self.Service)
	a.warnWithoutSeeds(a.cfg.Seeds)
	return nil
}

// assemble creates and connects the components. A nil transport selects the control
// client; spawn runs a function in the background.
func (a *Agent) assemble(p ports, transport daemon.Transport, spawn func(func())) {
	a.ports = p
	a.started = a.clock()
	a.control = daemon.NewControl(a.registry, a.log, a.cfg.ControlListen.Addr())
	if transport == nil {
		transport = a.control.Client
	}
	peerFailureLog := daemon.NewLogLimiter(a.log, a.clock, event.PeerUnreachable)
	announcer := member.NewAnnouncer(member.Config{Seeds: a.cfg.Seeds, JoinInterval: joinInterval}, a.initialRecord(), daemon.NewRand(a.rng))
	a.members = daemon.NewMembers(announcer, daemon.MembersConfig{
		Clock:     a.clock,
		Transport: transport,
		Spawn:     spawn,
		Failed:    peerFailureLog.LogPeer,
		Answered:  a.callAnswered,
	})
	a.sender = a.newSender(transport, spawn, peerFailureLog.LogPeer)
	a.setUpQuota(transport, spawn, peerFailureLog.LogPeer)
	a.warmup = a.newWarmup()
	a.flows = flows{clock: a.clock, table: flow.NewTable(a.tableConfig(), a.upstream(), a.service, daemon.NewRand(a.rng))}
	a.control.Register(control.MemberService, control.NewMember(a.handleMember))
	a.control.Register(flowService, &flowRPC{handle: a.receiveMessage})
	a.control.Register(daemon.QuotaService, daemon.NewQuotaRPC(a.quota))
	a.control.Register(daemon.AdminService, daemon.NewAdmin(a.drainRequested))
	a.assembleRequests(transport, spawn)
	if a.options.UpstreamAPI != nil {
		a.monitor = newUpstreamMonitor(a)
	}
	a.addDumpSources()
	a.addGauges()
	a.addWarmup()
}

func (a *Agent) initialRecord() member.Record {
	r := member.Record{
		Name:          a.cfg.Name,
		Service:       a.cfg.Service.Name,
		FailureDomain: a.cfg.FailureDomain,
		Role:          member.RoleUpstream,
		State:         flow.Starting,
		Data:          cmp.Or(a.cfg.DataAdvertise, a.ports.dataAddr),
		Control:       daemon.Advertised(a.cfg.ControlAdvertise, a.ports.control),
		Slots:         a.cfg.Service.Slots,
		Connections:   a.cfg.Service.Connections,
	}
	if a.options.UpstreamAPI != nil && a.endpoints == nil {
		r.Endpoints = a.learnedEndpoints(false)
	}
	for _, e := range a.cfg.Service.Endpoints {
		r.Endpoints = append(r.Endpoints, flow.Endpoint{Addr: e.Address, Proto: protocol(e.Protocol)})
	}
	return r
}

func (a *Agent) tableConfig() flow.TableConfig {
	c := flow.TableConfig{
		MaxFlows:  a.cfg.Service.Connections,
		Threshold: a.cfg.Balance.Threshold,
		Settling:  a.cfg.SettlingSeconds.Duration(),
	}
	if a.limitsEnabled() {
		c.Admission = a.admission
	}
	if a.options.Packets != nil {
		c.Rebuild = a.cfg.RebuildSeconds.Duration()
		c.AwaitIdleLimit = true
		c.DigestDelay, c.DigestRate, c.ResyncDelay = rebuildDigestDelay, rebuildDigestRate, rebuildResyncDelay
		c.OnRemoved, c.OnFalseDenial = a.logRemoved, a.logFalseDenial
		c.OnRequestDone = func(d time.Duration) { a.requestTime.Update(int64(d)) }
		c.Gate = load.NewGate(load.Config{})
		if a.warmup != nil {
			c.Warmup = a.warmup.limit
		}
	}
	return c
}

const (
	// rebuildDigestDelay and rebuildDigestRate (bytes/s) are set so that a flow's first
	// choice learns which agent owns the flow well before it could treat the flow as lost.
	rebuildDigestDelay = time.Millisecond
	rebuildDigestRate  = 64 << 10
	// rebuildResyncDelay bounds how long a lost digest message prevents an agent from
	// distinguishing lost flows from flows that a peer owns.
	rebuildResyncDelay = 400 * time.Millisecond
)

// limitsEnabled reports whether the limits of customer plans are enforced.
func (a *Agent) limitsEnabled() bool { return a.cfg.Limits != settings.LimitsNone }

func (a *Agent) upstream() flow.Upstream {
	self := a.self()
	return flow.Upstream{
		ID:            a.id,
		Name:          self.Name,
		Incarnation:   self.Incarnation,
		Addr:          self.Data,
		State:         self.State,
		FailureDomain: self.FailureDomain,
	}
}

// launch starts the goroutines of the agent.
func (a *Agent) launch() {
	a.flows.do(func(now time.Duration, t *flow.Table) {
		t.StartRebuild(now)
		t.SetSlots(a.cfg.Service.Slots)
	})
	a.lifecycle.Go(a.newReader().run)
	if a.ports.replies != nil {
		a.lifecycle.Go(a.newReplyReader().run)
	}
	a.control.Serve(a.ports.control)
	a.launchRequests()
	a.launchUpstream()
	a.exposition = daemon.ServeMetrics(a.ports.metrics, a.registry, a.lifecycle.Spawn)
	if a.options.Packets != nil {
		a.lifecycle.Spawn(a.runUrgentWork)
	}
	a.lifecycle.EveryOrOnWake(stepInterval, a.wake, a.step)
	a.lifecycle.Supervise(a.stop, a.close)
}

// launchUpstream serves the announcement API of the upstream and the health endpoint.
func (a *Agent) launchUpstream() {
	if a.monitor != nil {
		a.lifecycle.Go(func() error { return a.monitor.serve(a.ports.upstreamAPI) })
	}
	if a.ports.health != nil {
		a.health = &http.Server{ReadHeaderTimeout: readHeaderTimeout, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		a.lifecycle.Spawn(func() { _ = a.health.Serve(a.ports.health) })
	}
}

// stop performs the graceful shutdown.
func (a *Agent) stop() {
	if a.monitor != nil {
		a.announceExit()
		return
	}
	a.drain()
}

// step advances membership, quota and flow table, and then updates the announced state.
func (a *Agent) step() {
	// A balancer known here has sent the upstreams that it knows, and refreshPeers applies
	// them below.
	balancerKnown := a.peers.homeBalancer.Load() != nil
	a.members.Step(a.lifecycle.Context())
	a.refreshPeers()
	if balancerKnown {
		complete := false
		a.members.Do(func(_ time.Duration, n *member.Announcer) { complete = n.ListComplete() })
		a.flows.do(func(now time.Duration, t *flow.Table) {
			t.SetPeersKnown(now)
			t.SetPeersIncomplete(now, !complete)
		})
	}
	if a.limitsEnabled() {
		a.stepQuota()
	}
	if a.monitor != nil {
		// Before the first messages to the peers, which say whether this agent knows all flows.
		a.refreshNoEarlierFlows()
	}
	a.stepFlows()
	if a.monitor != nil {
		if a.monitor.connectionCheckDue() {
			a.lifecycle.Spawn(a.monitor.checkConnection)
		}
		a.publishUpstreamState()
		a.admitWaiting()
		return
	}
	a.admitWaiting() // of an evacuated upstream
	a.becomeReady(balancerKnown)
}

func (a *Agent) receiveMessage(m flow.Message) {
	var restored uint64
	var complete flow.Completeness
	a.flows.do(func(now time.Duration, t *flow.Table) {
		before := t.Counters().Restored
		t.Handle(now, m)
		restored, complete = t.Counters().Restored-before, t.Completeness(now)
		a.urgent.wakeDue(t)
	})
	if len(m.Return) > 0 {
		a.log.Log(event.FlowsRestored, "from", m.From, "flows", restored, "complete", complete)
	}
}

func (a *Agent) messageUndelivered(m flow.Message) {
	a.flows.do(func(now time.Duration, t *flow.Table) { t.HandleUndelivered(now, m) })
}

func (a *Agent) self() (r member.Record) {
	a.members.Do(func(_ time.Duration, n *member.Announcer) { r = n.Self() })
	return r
}

// changeState announces the state to if the current state is from.
func (a *Agent) changeState(from, to flow.State) {
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	if a.self().State == from {
		a.announce(to)
	}
}

// announce sets the state in the flow table before it announces it, so that the agent
// applies the state before other processes know of it.
func (a *Agent) announce(s flow.State) {
	a.flows.setState(s)
	if s == flow.Draining {
		a.flows.do(func(time.Duration, *flow.Table) { a.admission.drain() })
	}
	a.members.Do(func(now time.Duration, n *member.Announcer) { n.SetState(now, s) })
	a.log.Log(event.StateChanged, "upstream", a.cfg.Name, "service", a.cfg.Service.Name, "state", s)
}

// close closes sockets and servers, which ends all goroutines.
func (a *Agent) close() {
	a.ports.closePackets()
	a.closeRequests()
	if a.monitor != nil {
		_ = a.monitor.api.Close()
	}
	if a.health != nil {
		_ = a.health.Close()
	}
	a.exposition.Close()
	a.control.Close()
}

// Shutdown starts a graceful shutdown.
func (a *Agent) Shutdown() { a.lifecycle.Shutdown() }

// Done returns a channel that is closed when the agent has stopped.
func (a *Agent) Done() <-chan struct{} { return a.lifecycle.Done() }

// Err returns the error that stopped the agent, or nil.
func (a *Agent) Err() error { return a.lifecycle.Err() }

// OpenFlows returns the number of open flows.
func (a *Agent) OpenFlows() int { return a.flows.open() }
