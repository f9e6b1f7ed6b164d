package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/member"
)

// Transport makes RPC calls; *control.Client implements it.
type Transport interface {
	Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
}

// Protocol is one side of the membership protocol, without I/O: member.Node in a balancer,
// member.Announcer in an agent.
type Protocol interface {
	// Step advances the protocol and returns the calls to make.
	Step(now time.Duration) []member.Call
	// Handle processes a request of another process and returns the reply.
	Handle(now time.Duration, m member.Message) member.Message
	// Reply processes the reply to a call that Step returned.
	Reply(now time.Duration, c member.Call, m member.Message)
	// Unreachable processes the failure of a call that Step returned.
	Unreachable(now time.Duration, c member.Call)
}

// MembersConfig configures how a membership protocol is driven.
type MembersConfig struct {
	Clock     Clock
	Transport Transport
	// Spawn runs a call in the background. The number of calls in progress is
	// bounded by the protocol's rate and the transport's timeout.
	Spawn func(func())
	// Failed is called for each call that failed.
	Failed func(to netip.AddrPort, err error)
	// Answered is called for each call that got a reply, after the reply has been
	// processed; it may be nil.
	Answered func(member.Call)
}

// Members drives a membership protocol: it serializes access to the protocol, supplies
// the time and makes the protocol's calls by RPC. It is safe for concurrent use.
type Members[P Protocol] struct {
	cfg      MembersConfig
	mu       sync.Mutex
	protocol P
}

// NewMembers returns a driver for a protocol.
func NewMembers[P Protocol](p P, cfg MembersConfig) *Members[P] {
	return &Members[P]{cfg: cfg, protocol: p}
}

// Do runs f with exclusive access to the protocol.
func (m *Members[P]) Do(f func(now time.Duration, p P)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The clock is read under the lock, as the time passed to the protocol must not
	// decrease.
	f(m.cfg.Clock(), m.protocol)
}

// Step advances the protocol and makes its calls in the background.
func (m *Members[P]) Step(ctx context.Context) {
	for _, c := range m.nextCalls() {
		m.cfg.Spawn(func() { m.call(ctx, c) })
	}
}

// StepAndWait advances the protocol, makes its calls and waits until they have ended.
func (m *Members[P]) StepAndWait(ctx context.Context) {
	var calls sync.WaitGroup
	for _, c := range m.nextCalls() {
		calls.Go(func() { m.call(ctx, c) })
	}
	calls.Wait()
}

func (m *Members[P]) nextCalls() (calls []member.Call) {
	m.Do(func(now time.Duration, p P) { calls = p.Step(now) })
	return calls
}

func (m *Members[P]) call(ctx context.Context, c member.Call) {
	var reply member.Message
	err := m.cfg.Transport.Call(ctx, c.To, control.MemberCall, &c.Request, &reply)
	if err != nil {
		m.cfg.Failed(c.To, err)
		m.Do(func(now time.Duration, p P) { p.Unreachable(now, c) })
		return
	}
	m.Do(func(now time.Duration, p P) { p.Reply(now, c, reply) })
	if m.cfg.Answered != nil {
		m.cfg.Answered(c)
	}
}

// Handle processes a membership request and returns the reply.
func (m *Members[P]) Handle(request member.Message) (reply member.Message) {
	m.Do(func(now time.Duration, p P) { reply = p.Handle(now, request) })
	return reply
}
