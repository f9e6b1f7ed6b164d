package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	flowService = "Flow"
	flowMethod  = flowService + ".Message"

	// maxQueued bounds the messages that wait for a slow peer. A lost message is
	// repaired by the digest check.
	maxQueued = 32
	// repeatPause is the least time between two reports of undelivered messages to
	// one agent. Each makes the flow table send the whole digest again, which would
	// otherwise use up the budget of all digests while an agent is dead.
	repeatPause = time.Second
)

// flowRPC serves messages of other agents.
type flowRPC struct {
	handle func(flow.Message)
}

// NoReply is the empty answer of a call.
type NoReply struct{}

// Message serves the RPC.
func (f *flowRPC) Message(m *flow.Message, _ *NoReply) error {
	f.handle(*m)
	return nil
}

// sender sends messages to other agents. Messages to one agent are sent one after
// the other, because digests depend on their order.
type sender struct {
	transport   daemon.Transport
	clock       daemon.Clock
	spawn       func(func())
	failed      func(netip.AddrPort, error)
	undelivered func(flow.Message)

	mu       sync.Mutex
	queues   map[packet.AgentID][]flow.Message // present while a goroutine sends
	reported map[packet.AgentID]time.Duration  // last report of an undelivered message
}

func (a *Agent) newSender(t daemon.Transport, spawn func(func()), failed func(netip.AddrPort, error)) *sender {
	return &sender{
		transport:   t,
		clock:       a.clock,
		spawn:       spawn,
		failed:      failed,
		undelivered: a.messageLost,
		queues:      make(map[packet.AgentID][]flow.Message),
		reported:    make(map[packet.AgentID]time.Duration),
	}
}

// send queues a message for the agent at the control address.
func (s *sender) send(ctx context.Context, to netip.AddrPort, m flow.Message) {
	s.mu.Lock()
	queue, busy := s.queues[m.To]
	if len(queue) < maxQueued {
		s.queues[m.To] = append(queue, m)
	}
	s.mu.Unlock()
	if !busy {
		s.spawn(func() { s.drain(ctx, to, m.To) })
	}
}

// drain sends the queued messages of one agent.
func (s *sender) drain(ctx context.Context, to netip.AddrPort, id packet.AgentID) {
	for {
		m, found := s.next(id)
		if !found {
			return
		}
		if err := s.transport.Call(ctx, to, flowMethod, &m, &NoReply{}); err != nil {
			s.failed(to, err)
			s.lost(m)
		}
	}
}

// lost reports a message that may not have arrived. Those that wait behind it
// depend on it and are dropped.
func (s *sender) lost(m flow.Message) {
	s.mu.Lock()
	now := s.clock()
	last, known := s.reported[m.To]
	report := m.Seq != 0 && (!known || now-last >= repeatPause)
	if report {
		s.reported[m.To] = now
	}
	s.queues[m.To] = s.queues[m.To][:0]
	s.mu.Unlock()
	if report {
		s.undelivered(m)
	}
}

// next takes the first queued message, or ends the agent's queue.
func (s *sender) next(id packet.AgentID) (flow.Message, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queues[id]
	if len(queue) == 0 {
		delete(s.queues, id)
		return flow.Message{}, false
	}
	s.queues[id] = queue[1:]
	return queue[0], true
}
