package agent

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/upstream"
)

// Options adapts an agent to its environment. The zero value is for a VM: IP packets, and
// an upstream that runs whenever its agent does.
type Options struct {
	// Packets is the datagram format of clients' packets; nil for IP packets. Only with a
	// datagram format, the upstream returns packets of flows that it does not hold, the
	// agent rebuilds its flow table after a restart, new flows may wait for a slot of the
	// upstream, clients receive resets, and events of single flows are logged.
	Packets packet.Datagram
	// UpstreamAPI serves the announcements of the upstream at
	// settings.Agent.UpstreamListen.
	UpstreamAPI func(AnnouncementHandler) http.Handler
}

// Environment returns the options of an agent for its settings.
type Environment func(cfg *settings.Agent) (Options, error)

// AnnouncementHandler receives the announcements of the upstream.
type AnnouncementHandler interface {
	// Announced handles an announcement. The error is upstream.ErrWrongUpstream or
	// upstream.ErrStale for an announcement that was rejected and changes nothing.
	Announced(upstream.Announcement) error
	// Leaving handles the notice that the upstream with this ID is about to exit.
	Leaving(id string)
	// Malformed reports an announcement that could not be decoded.
	Malformed(err error)
}

// readHeaderTimeout is the timeout for the header of an HTTP request.
const readHeaderTimeout = 5 * time.Second

// upstreamMonitor monitors an upstream that announces itself. It is nil in an agent whose
// upstream runs whenever the agent does.
type upstreamMonitor struct {
	agent       *Agent
	rejectedLog *daemon.LogLimiter // logs malformed and rejected announcements
	api         *http.Server

	mu                  sync.Mutex
	tracker             *upstream.Tracker
	loggedState         flow.State    // last logged state
	unansweredSince     time.Duration // delivery time of the oldest unanswered first packet or probe; 0: none
	connectionCheckedAt time.Duration // time of the last connection check; 0: none
	listening           bool          // the last connection check connected
	refusedOnce         bool          // a connection was refused soon after a packet of the upstream
	packetAt            time.Duration // when the upstream last sent a packet; 0: never
	runEvidence         startEvidence // of the upstream's present run
	endedCheck          uint8         // number of the check that has found the upstream ended
	appliedNoEarlier    bool          // noEarlierFlows as last applied to the flow table; guarded by Agent.stateMu
}

// startMargin is how much earlier than its agent an upstream that has just announced itself may have started
// if no earlier process of the agent can have run beside it. A killed agent is not back within that time.
const startMargin = 300 * time.Millisecond

// maxYoungSequence is the highest number of an announcement that shows, beside a remaining warm-up, that the upstream has
// started within the last seconds.
const maxYoungSequence = 4

// startEvidence is what an announcement shows of whether an earlier agent has run beside the same run of the upstream.
type startEvidence struct {
	first bool // it has announced itself to no earlier agent: an upstream numbers its calls from 1 in each run
	older bool // it has started more than startMargin before the agent, by this VM's clock, which may have jumped
	young bool // it has started within the last seconds
}

func evidenceOf(a *upstream.Announcement, agentStart time.Time) startEvidence {
	return startEvidence{
		first: a.Sequence == 1,
		older: agentStart.Sub(time.UnixMilli(a.Born)) > startMargin,
		young: a.Sequence == 1 || a.Warmup > 0 && a.Sequence <= maxYoungSequence,
	}
}

// showsFirstAgent reports whether no earlier agent has run beside the upstream's present run. Only the run itself can
// show that: the clock, which may have been set back, and a balancer that knows of no earlier agent, which may have been
// cut off while it ran, prove nothing. predecessor says that an earlier process of the agent is known, which may have
// passed first packets to the present run before its first announcement; there the clock can raise doubt.
func (e startEvidence) showsFirstAgent(predecessor bool) bool {
	return e.first && !(predecessor && e.older)
}

func newUpstreamMonitor(a *Agent) *upstreamMonitor {
	m := &upstreamMonitor{
		agent:       a,
		rejectedLog: daemon.NewLogLimiter(a.log, a.clock, event.UpstreamMalformed),
		tracker: upstream.NewTracker(upstream.Config{
			Service: a.cfg.Service.Name, Address: a.cfg.UpstreamSinkAddress,
			AnnouncementInterval: a.cfg.HeartbeatSeconds.Duration(),
		}),
	}
	m.api = &http.Server{Handler: a.options.UpstreamAPI(m), ReadHeaderTimeout: readHeaderTimeout}
	return m
}

func (m *upstreamMonitor) serve(l net.Listener) error {
	if err := m.api.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Announced implements AnnouncementHandler. The agent applies the new state before the
// announcement is acknowledged.
func (m *upstreamMonitor) Announced(announcement upstream.Announcement) error {
	m.mu.Lock()
	_, before := m.tracker.Last()
	err := m.tracker.HandleAnnouncement(m.agent.clock(), announcement)
	_, start := m.tracker.Last()
	if err == nil && start != before {
		m.runEvidence = evidenceOf(&announcement, m.agent.startedAt)
	}
	m.mu.Unlock()
	if err != nil {
		m.rejectedLog.Log("error", err)
		return err
	}
	if start != before {
		m.agent.log.Log(event.UpstreamStarted, "id", announcement.ID, "born", announcement.Born, "start", start,
			"number", announcement.Sequence, "warmup", announcement.Warmup.Seconds(), "agent_started", m.agent.startedAt.UnixMilli())
	}
	m.agent.publishUpstreamState()
	return nil
}

// Leaving implements AnnouncementHandler.
func (m *upstreamMonitor) Leaving(id string) {
	m.mu.Lock()
	m.tracker.Leave(id)
	m.mu.Unlock()
	m.agent.publishUpstreamState()
}

// Malformed implements AnnouncementHandler.
func (m *upstreamMonitor) Malformed(err error) { m.rejectedLog.Log("error", err) }

// recordPacket records that the upstream has sent a packet.
func (m *upstreamMonitor) recordPacket() {
	m.mu.Lock()
	m.packetAt = m.agent.clock()
	m.tracker.MarkAlive(m.packetAt)
	m.unansweredSince = 0
	m.mu.Unlock()
}

// recordUnanswered records that first packets of flows or probes were delivered to the upstream.
func (m *upstreamMonitor) recordUnanswered(now time.Duration) {
	m.mu.Lock()
	if m.unansweredSince == 0 {
		m.unansweredSince = now
	}
	m.mu.Unlock()
}

// upstreamStatus is the status of the upstream on which the agent's announcement depends.
type upstreamStatus struct {
	state       flow.State
	start       uint64
	slots       int
	runEvidence startEvidence
	ended       bool
	endedCheck  uint8 // the check that has found it ended
}

func (m *upstreamMonitor) status() (c upstreamStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, start := m.tracker.Last()
	c = upstreamStatus{state: m.tracker.State(m.agent.clock()), start: start, slots: last.Slots, runEvidence: m.runEvidence, ended: m.tracker.IsStopped(), endedCheck: m.endedCheck}
	if c.state != m.loggedState {
		m.agent.log.Log(event.LocalUpstreamChanged, "id", last.ID, "from", m.loggedState, "to", c.state,
			"number", last.Sequence, "silent_seconds", (m.agent.clock() - m.tracker.LastAlive()).Seconds(),
			"reason", stateReason(m.tracker, c.state), "listening", m.listening)
		m.loggedState = c.state
	}
	return c
}

// noEarlierFlows reports whether this agent has seen all flows of the upstream: it is the first beside this run
// of the upstream, and no process knows of an earlier one. Balancers return the record of an earlier process with their
// first answer if they know it.
func (a *Agent) noEarlierFlows(c *upstreamStatus) bool {
	if a.peers.homeBalancer.Load() == nil {
		return false
	}
	ranBefore, predecessor, complete := false, uint64(0), false
	a.members.Do(func(_ time.Duration, n *member.Announcer) {
		ranBefore, predecessor, complete = n.RanBefore(c.start), n.Predecessor(), n.ListComplete()
	})
	return complete && !ranBefore && c.runEvidence.showsFirstAgent(predecessor != 0)
}

// refreshNoEarlierFlows applies noEarlierFlows, the predecessor, its endpoints and the idle limit to the flow table
// again: the first answer of a balancer may have changed them.
func (a *Agent) refreshNoEarlierFlows() {
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	c := a.monitor.status()
	predecessor, stopped, idleLimit := uint64(0), false, time.Duration(0)
	var endpoints []flow.Endpoint
	a.members.Do(func(_ time.Duration, n *member.Announcer) {
		predecessor, stopped, idleLimit = n.Predecessor(), n.PredecessorStopped(), n.IdleLimit()
		endpoints = n.PredecessorEndpoints(c.start)
	})
	a.flows.do(func(_ time.Duration, t *flow.Table) {
		t.SetPredecessor(predecessor)
		t.ExpectList(stopped)
		t.SetIdleLimit(idleLimit)
		for _, e := range endpoints {
			if e != flow.AnyEndpoint {
				a.addLearned(endpoint{e.Addr.Addr().As16(), e.Addr.Port(), e.Proto})
			}
		}
	})
	applied := false
	a.flows.do(func(_ time.Duration, t *flow.Table) { applied = t.UpstreamStart() == c.start })
	if applied && !a.stopping {
		a.applyUpstreamStart(&c)
	}
}

// applyUpstreamStart applies the start of the upstream to the flow table if it, or whether this
// agent has seen all its flows, has changed, or if the upstream was falsely taken for stopped. It reports whether the upstream has started anew.
// The caller holds stateMu.
func (a *Agent) applyUpstreamStart(c *upstreamStatus) (newStart bool) {
	if c.start == 0 {
		return false
	}
	noEarlier := a.noEarlierFlows(c)
	a.flows.do(func(now time.Duration, t *flow.Table) {
		newStart = t.UpstreamStart() != c.start
		if newStart || noEarlier != a.monitor.appliedNoEarlier || t.UpstreamStopped() && !c.ended {
			t.SetUpstreamStart(now, c.start, noEarlier)
			a.monitor.appliedNoEarlier = noEarlier
		}
	})
	return newStart
}

// publishUpstreamState applies the upstream's state to the flow table and announces it. A
// ready upstream is announced as Starting until mayBecomeReady allows Ready.
func (a *Agent) publishUpstreamState() {
	a.stateMu.Lock()
	defer a.stateMu.Unlock()
	if a.stopping {
		return
	}
	c := a.monitor.status()
	newStart := a.applyUpstreamStart(&c)
	// A balancer's first answer, without which the agent does not become ready, holds the rate.
	answered := a.peers.homeBalancer.Load() != nil
	cold := a.applyWarmup(&c)
	announced := member.Upstream{StartID: c.start, Slots: c.slots, Cold: cold}
	a.flows.do(func(now time.Duration, t *flow.Table) {
		if c.ended {
			t.SetUpstreamStopped(now, c.endedCheck)
		}
		if c.state == flow.Ready && t.State() != flow.Ready && (!answered || !a.mayBecomeReady(now, t)) {
			c.state = flow.Starting
		}
		t.SetState(now, c.state)
		if c.slots > 0 {
			t.SetSlots(c.slots)
		}
		for _, k := range t.TakeRestored() {
			a.learnEndpoint(&k)
		}
		// An upstream of a few seconds counts as too young to hold flows of former routes.
		complete := c.runEvidence.young || t.Completeness(now) != flow.Incomplete
		announced.State, announced.Endpoints = c.state, a.learnedEndpoints(complete)
	})
	before := a.self().State
	a.members.Do(func(now time.Duration, n *member.Announcer) { n.SetUpstream(now, announced) })
	if before != c.state || newStart {
		a.log.Log(event.StateChanged, "upstream", a.cfg.Name, "service", a.cfg.Service.Name, "state", c.state)
		a.members.Step(a.lifecycle.Context())
	}
}

// digestWaitTimeout is the maximum time for which a starting agent that knows a balancer
// waits for the digests of its peers, some of which may be gone. Without a digest, packets
// of flows that the agent does not know are forwarded from agent to agent in the order of
// the flow's ranking until they reach the owner.
const digestWaitTimeout = 500 * time.Millisecond

// mayBecomeReady reports whether an agent whose upstream is ready may accept flows: a
// balancer has answered, and the agent has received its peers' digests or has waited for
// them for digestWaitTimeout. The caller holds stateMu.
func (a *Agent) mayBecomeReady(now time.Duration, t *flow.Table) bool {
	if a.peers.homeBalancer.Load() == nil {
		return false
	}
	if a.balancerKnownSince == 0 {
		a.balancerKnownSince = now
	}
	return t.MayBecomeReady(now) || now-a.balancerKnownSince >= digestWaitTimeout
}

// announceExit announces why an agent whose upstream announces itself exits. If the
// upstream keeps running, only an agent on this VM can reach it, so the agent announces
// state AgentRestarting, hands over the list of flows and exits once a balancer and peers have confirmed both, to be restarted soon. If
// the announcement were lost, other processes would take the agent for failed. If the upstream
// is leaving or has ended, the VM is being removed and the agent announces state Leaving.
func (a *Agent) announceExit() {
	a.monitor.checkConnection()
	c := a.monitor.status()
	a.log.Log(event.Draining, "open", a.flows.open(), "upstream", c.state)
	to := flow.AgentRestarting
	if c.state == flow.Leaving || c.ended {
		to = flow.Leaving
	}
	a.stateMu.Lock()
	a.stopping = true
	a.stateMu.Unlock()
	a.announce(to)
	if to == flow.AgentRestarting {
		a.beginHandover()
	}
	a.pushUntilConfirmed()
	if to == flow.AgentRestarting {
		a.finishHandover()
	}
}
