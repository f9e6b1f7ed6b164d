package agent

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/httpfront"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/request"
)

const (
	requestService = "Request"
	requestMethod  = requestService + ".Message"

	// requestTick is the interval of request table steps; claims are resent after a few
	// steps.
	requestTick = 10 * time.Millisecond

	// maxRequestCalls is the maximum number of messages in flight. Further messages are
	// dropped; the request table resends them.
	maxRequestCalls = 256
)

// requestRPC receives messages of other agents' request tables.
type requestRPC struct {
	handle func(request.Message)
}

// Message is the RPC method.
func (r *requestRPC) Message(m *request.Message, _ *NoReply) error {
	r.handle(*m)
	return nil
}

// requests connects the HTTP front to the agent. The front is nil without http_listen.
type requests struct {
	front        *httpfront.Front
	controlAddrs atomic.Pointer[map[packet.AgentID]netip.AddrPort] // nil until a balancer has answered
	calls        atomic.Int64
}

// assembleRequests creates the HTTP front if http_listen is set.
func (a *Agent) assembleRequests(transport daemon.Transport, spawn func(func())) {
	if a.ports.http == nil {
		return
	}
	retention := a.cfg.HTTPRetentionSeconds.Duration()
	grantLife := retention / renewalsPerRetention
	a.requests.front = httpfront.New(httpfront.Config{
		Service:  a.cfg.Service.Name,
		Upstream: a.cfg.HTTPUpstream,
		Clock:    a.clock,
		Rand:     daemon.NewRand(a.rng),
		Self:     request.Process{ID: a.id, Incarnation: a.self().Incarnation},
		Send:     func(m request.Message) { a.sendRequestMessage(transport, spawn, m) },
		Node: request.NodeConfig{
			Gate:      request.GateConfig{Slots: a.cfg.Service.Slots, Queue: a.cfg.HTTPQueue},
			Registrar: request.RegistrarConfig{Retention: retention},
			Attempts:  request.AttemptsConfig{Retention: retention},
			Claims:    request.ClaimsConfig{GrantLifetime: grantLife, RenewInterval: grantLife},
		},
	})
	a.control.Register(requestService, &requestRPC{handle: a.requests.front.Handle})
	a.control.Dump.AddSource("requests", func() any { return a.requests.front.State() })
}

// renewalsPerRetention is the minimum number of renewals of a claim per retention time: a claim is
// granted for at most 1/renewalsPerRetention of the retention time.
const renewalsPerRetention = 3

// sendRequestMessage sends a message in the background. It drops messages to unknown
// agents and beyond maxRequestCalls.
func (a *Agent) sendRequestMessage(transport daemon.Transport, spawn func(func()), m request.Message) {
	controlAddrs := a.requests.controlAddrs.Load()
	if controlAddrs == nil {
		return
	}
	to, known := (*controlAddrs)[m.To.ID]
	if !known || a.requests.calls.Add(1) > maxRequestCalls {
		if known {
			a.requests.calls.Add(-1)
		}
		return
	}
	spawn(func() {
		defer a.requests.calls.Add(-1)
		if err := transport.Call(a.lifecycle.Context(), to, requestMethod, &m, &NoReply{}); err != nil {
			a.sender.failed(to, err)
		}
	})
}

// refreshRequests applies a changed membership to the HTTP front. Before a balancer has
// answered, the agent knows only itself and would treat the service as a new one.
func (a *Agent) refreshRequests(records []member.Record, controlAddrs map[packet.AgentID]netip.AddrPort) {
	if a.requests.front == nil || a.peers.homeBalancer.Load() == nil {
		return
	}
	a.requests.controlAddrs.Store(&controlAddrs)
	a.requests.front.SetMembers(requestMembers(records))
}

// requestMembers returns the running agents. Ready agents are registrars.
func requestMembers(records []member.Record) (out []request.Member) {
	for i := range records {
		r := &records[i]
		if !r.State.Gone() {
			out = append(out, request.Member{ID: packet.AgentIDOf(r.Name), Incarnation: r.Incarnation,
				FailureDomain: r.FailureDomain, Registrar: r.State == flow.Ready, Version: r.Epoch<<32 | r.Version})
		}
	}
	return out
}

// launchRequests starts to accept connections of callers.
func (a *Agent) launchRequests() {
	if f := a.requests.front; f != nil {
		a.lifecycle.Go(func() error { return f.Serve(a.ports.http) })
		a.lifecycle.Every(requestTick, f.Step)
		a.log.Log(event.HTTPListening, "listen", a.ports.http.Addr(), "upstream", a.cfg.HTTPUpstream)
	}
}

// drainRequests makes the HTTP front refuse requests that have not started.
func (a *Agent) drainRequests() {
	if a.requests.front != nil {
		a.requests.front.Drain()
	}
}

// requestsIdle reports whether all requests have ended.
func (a *Agent) requestsIdle() bool {
	return a.requests.front == nil || a.requests.front.Idle()
}

func (a *Agent) closeRequests() {
	if a.requests.front != nil {
		a.requests.front.Close()
	}
}
