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

// Options connects an agent with what it runs on. The zero value stands for a VM: IP
// packets, and an upstream that runs whenever its agent does.
type Options struct {
	// Packets is the format of clients' packets.
	Packets packet.Datagram
	// UpstreamAPI serves the announcements of the upstream at
	// settings.Agent.UpstreamListen.
	UpstreamAPI func(UpstreamSink) http.Handler
}

// Environment returns the options of a process by its settings, which name the
// environment.
type Environment func(cfg *settings.Agent) (Options, error)

// UpstreamSink takes what the upstream says of itself.
type UpstreamSink interface {
	// Announced takes an announcement. The error is upstream.ErrWrongUpstream or
	// upstream.ErrStale for one that changes nothing.
	Announced(upstream.Announcement) error
	// Left says that the upstream is about to exit.
	Left(id string)
	// Malformed reports an announcement that cannot be read.
	Malformed(err error)
}

// readHeaderTimeout ends connections on which no request comes.
const readHeaderTimeout = 5 * time.Second

// beside is the upstream that announces itself. It is nil in an agent whose upstream
// runs whenever the agent does.
type beside struct {
	agent     *Agent
	malformed *daemon.LogLimiter
	api       *http.Server

	mu      sync.Mutex
	tracker *upstream.Tracker
	state   flow.State    // last logged
	offered time.Duration // when the oldest first packet without an answer was delivered; 0: none
	probed  time.Duration // when the upstream was last probed
	listens bool          // the last probe found it running
	fresh   bool          // the upstream started no earlier than this process
}

const (
	// freshMargin is the time by which an upstream may have started before its agent when
	// both start with their VM. Its agent then misses none of its flows: it must be heard
	// of by the balancers before it gets one.
	freshMargin = time.Second
	// freshNumber is the highest number of an upstream's first announcement that an agent
	// may receive after a start of the VM: it repeats those that nobody takes.
	freshNumber = 4
)

// startedWithAgent reports whether the upstream started no earlier than the agent. The
// time of day may have jumped on this VM, so an upstream that still warms up counts as
// well.
func startedWithAgent(a *upstream.Announcement, agent time.Time) bool {
	return time.UnixMilli(a.Born).After(agent.Add(-freshMargin)) || a.Warmup > 0 && a.Sequence <= freshNumber
}

func newBeside(a *Agent) *beside {
	b := &beside{
		agent:     a,
		malformed: daemon.NewLogLimiter(a.log, a.clock, event.UpstreamMalformed),
		tracker: upstream.NewTracker(upstream.Config{
			Service: a.cfg.Service.Name, Address: a.cfg.UpstreamSinkAddress,
			Heartbeat: a.cfg.HeartbeatSeconds.Duration(),
		}),
	}
	b.api = &http.Server{Handler: a.options.UpstreamAPI(b), ReadHeaderTimeout: readHeaderTimeout}
	return b
}

func (b *beside) serve(l net.Listener) error {
	if err := b.api.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Announced implements UpstreamSink. The agent acts by the new state before the
// upstream learns that its announcement was taken.
func (b *beside) Announced(announcement upstream.Announcement) error {
	b.mu.Lock()
	_, before := b.tracker.Last()
	err := b.tracker.Announce(b.agent.clock(), announcement)
	_, start := b.tracker.Last()
	if err == nil && start != before {
		b.fresh = before != 0 || startedWithAgent(&announcement, b.agent.startedAt)
	}
	b.mu.Unlock()
	if err != nil {
		b.malformed.Log("error", err)
		return err
	}
	if start != before {
		b.agent.log.Log(event.UpstreamStarted, "id", announcement.ID, "born", announcement.Born, "start", start)
	}
	b.agent.followUpstream()
	return nil
}

// Left implements UpstreamSink.
func (b *beside) Left(id string) {
	b.mu.Lock()
	b.tracker.Leave(id)
	b.mu.Unlock()
	b.agent.followUpstream()
}

// Malformed implements UpstreamSink.
func (b *beside) Malformed(err error) { b.malformed.Log("error", err) }

// alive notes a packet of the upstream.
func (b *beside) alive() {
	b.mu.Lock()
	b.tracker.MarkAlive(b.agent.clock())
	b.offered = 0
	b.mu.Unlock()
}

// offer notes that first packets were delivered to the upstream.
func (b *beside) offer(now time.Duration) {
	b.mu.Lock()
	if b.offered == 0 {
		b.offered = now
	}
	b.mu.Unlock()
}

// condition is what the agent's announcement of its upstream depends on.
type condition struct {
	state flow.State
	start uint64
	slots int
	fresh bool
	ended bool
}

func (b *beside) condition() (c condition) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last, start := b.tracker.Last()
	c = condition{state: b.tracker.State(b.agent.clock()), start: start, slots: last.Slots, fresh: b.fresh, ended: b.tracker.IsStopped()}
	if c.state != b.state {
		b.agent.log.Log(event.UpstreamState, "id", last.ID, "from", b.state, "to", c.state,
			"number", last.Sequence, "silent_seconds", (b.agent.clock() - b.tracker.LastAlive()).Seconds())
		b.state = c.state
	}
	return c
}

// followUpstream announces the upstream's state. A ready upstream is announced as
// starting until the agent has its peers' digests.
func (a *Agent) followUpstream() {
	a.state.Lock()
	defer a.state.Unlock()
	if a.stopping {
		return
	}
	c := a.beside.condition()
	var restarted bool
	announced := member.Upstream{Start: c.start, Slots: c.slots}
	a.flows.do(func(now time.Duration, t *flow.Table) {
		if restarted = c.start != 0 && t.UpstreamStart() != c.start; restarted {
			t.SetUpstreamStart(now, c.start, c.fresh)
		}
		if c.ended {
			t.SetUpstreamStopped(now)
		}
		if c.state == flow.Ready && t.State() != flow.Ready && !a.mayBecomeReady(now, t) {
			c.state = flow.Starting
		}
		t.SetState(now, c.state)
		if c.slots > 0 {
			t.SetSlots(c.slots)
		}
		announced.State, announced.Endpoints = c.state, a.learnedEndpoints()
	})
	before := a.self().State
	a.members.Do(func(now time.Duration, n *member.Announcer) { n.SetUpstream(now, announced) })
	if before != c.state || restarted {
		a.log.Log(event.StateChanged, "upstream", a.cfg.Name, "service", a.cfg.Service.Name, "state", c.state)
		a.members.Step(a.life.Context())
	}
}

// warmLimit bounds the wait of a starting agent for the digests of its peers. Some may
// be gone, and a packet of a flow that it does not know finds the holder along the
// ranking.
const warmLimit = 500 * time.Millisecond

// mayBecomeReady reports whether an agent whose upstream is ready knows enough of its
// peers to take flows.
func (a *Agent) mayBecomeReady(now time.Duration, t *flow.Table) bool {
	if a.peers.home.Load() == nil {
		return false
	}
	if a.homeSince == 0 {
		a.homeSince = now
	}
	return t.MayBecomeReady(now) || now-a.homeSince >= warmLimit
}

// leaveUpstream stops an agent. When its upstream runs on, only this VM's agent reaches
// it, so the agent says that it is away and exits at once to be back soon. When nothing
// runs there, the VM is being removed.
func (a *Agent) leaveUpstream() {
	a.beside.probe()
	c := a.beside.condition()
	a.log.Log(event.Draining, "open", a.flows.open(), "upstream", c.state)
	to := flow.AgentRestarting
	if c.state == flow.Leaving || c.ended {
		to = flow.Leaving
	}
	a.state.Lock()
	a.stopping = true
	a.state.Unlock()
	a.announce(to)
	a.members.StepAndWait(a.life.Context())
}
