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
	// Packets is the format of clients' packets.
	Packets packet.Datagram
	// UpstreamAPI serves the announcements of the upstream at
	// settings.Agent.UpstreamListen.
	UpstreamAPI func(UpstreamSink) http.Handler
}

// Environment returns the options of an agent for its settings.
type Environment func(cfg *settings.Agent) (Options, error)

// UpstreamSink receives the announcements of the upstream.
type UpstreamSink interface {
	// Announced handles an announcement. The error is upstream.ErrOther or
	// upstream.ErrStale for an announcement that was rejected and changes nothing.
	Announced(upstream.Announcement) error
	// Left handles the notice of the upstream with the ID that it is about to exit.
	Left(id string)
	// Malformed reports an announcement that could not be decoded.
	Malformed(err error)
}

// readHeaderTimeout is the timeout for the header of an HTTP request.
const readHeaderTimeout = 5 * time.Second

// beside monitors an upstream that announces itself. It is nil in an agent whose upstream
// runs whenever the agent does.
type beside struct {
	agent     *Agent
	malformed *daemon.LogLimiter
	api       *http.Server

	mu      sync.Mutex
	tracker *upstream.Tracker
	state   flow.State    // last logged state
	offered time.Duration // delivery time of the oldest unanswered first packet; 0: none
	probed  time.Duration // time of the last probe; 0: none
	listens bool          // the last probe connected
	fresh   bool          // the upstream started no earlier than this process, which has seen all its flows
}

const (
	// freshMargin is the maximum time by which an upstream starts before its agent when
	// both start with their VM. The agent then misses none of the upstream's flows,
	// because balancers send no flow before they have learned of the upstream.
	freshMargin = time.Second
	// freshNumber is the highest sequence number of the first announcement that an agent
	// receives after a start of the VM. It may exceed 1, because the upstream repeats
	// announcements that were not accepted.
	freshNumber = 4
)

// startedWithAgent reports whether the upstream started no earlier than the agent. The
// wall clock of this VM may have jumped, so an upstream that still warms up and whose
// sequence number is low counts as well.
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

// Announced implements UpstreamSink. The agent applies the new state before the
// announcement is acknowledged.
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

// alive records that the upstream has sent a packet.
func (b *beside) alive() {
	b.mu.Lock()
	b.tracker.Alive(b.agent.clock())
	b.offered = 0
	b.mu.Unlock()
}

// offer records that first packets of flows were delivered to the upstream.
func (b *beside) offer(now time.Duration) {
	b.mu.Lock()
	if b.offered == 0 {
		b.offered = now
	}
	b.mu.Unlock()
}

// condition is the status of the upstream on which the agent's announcement depends.
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
	c = condition{state: b.tracker.State(b.agent.clock()), start: start, slots: last.Slots, fresh: b.fresh, ended: b.tracker.HasEnded()}
	if c.state != b.state {
		b.agent.log.Log(event.UpstreamState, "id", last.ID, "from", b.state, "to", c.state,
			"number", last.Sequence, "silent_seconds", (b.agent.clock() - b.tracker.Heard()).Seconds())
		b.state = c.state
	}
	return c
}

// followUpstream applies the upstream's state to the flow table and announces it. A ready
// upstream is announced as Starting until the agent has received its peers' digests.
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
		if restarted = c.start != 0 && t.Start() != c.start; restarted {
			t.SetStart(now, c.start, c.fresh)
		}
		if c.ended {
			t.EndUpstream(now)
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

// warmLimit is the maximum time for which a starting agent waits for the digests of its
// peers. Some peers may be gone, and packets of flows that the agent does not know reach
// the holder along the ranking.
const warmLimit = 500 * time.Millisecond

// mayBecomeReady reports whether an agent whose upstream is ready has received enough of
// its peers' digests to accept flows.
func (a *Agent) mayBecomeReady(now time.Duration, t *flow.Table) bool {
	if a.peers.home.Load() == nil {
		return false
	}
	if a.homeSince == 0 {
		a.homeSince = now
	}
	return t.Warm(now) || now-a.homeSince >= warmLimit
}

// leaveUpstream stops an agent whose upstream announces itself. If the upstream keeps
// running, only an agent on this VM can reach it, so the agent announces state Away
// (restarting) and exits at once to be back soon. If the upstream is leaving or has ended,
// the VM is being removed and the agent announces state Leaving.
func (a *Agent) leaveUpstream() {
	a.beside.probe()
	c := a.beside.condition()
	a.log.Log(event.Draining, "open", a.flows.open(), "upstream", c.state)
	to := flow.Away
	if c.state == flow.Leaving || c.ended {
		to = flow.Leaving
	}
	a.state.Lock()
	a.stopping = true
	a.state.Unlock()
	a.announce(to)
	a.members.StepAndWait(a.life.Context())
}
