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

	// maxQueuedPerAgent is the maximum number of messages queued for a slow peer. Further
	// messages are dropped; the digest check detects the loss and repairs it.
	maxQueuedPerAgent = 32
	// undeliveredReportInterval is the minimum interval between reports of undelivered
	// messages to one agent. Each report makes the flow table resend the whole digest.
	// Without the limit an agent that is down would use up the bandwidth budget of all
	// digests.
	undeliveredReportInterval = time.Second
)

// flowRPC receives messages of other agents' flow tables.
type flowRPC struct {
	handle func(flow.Message)
}

// NoReply is the empty reply of a call.
type NoReply struct{}

// Message is the RPC method.
func (f *flowRPC) Message(m *flow.Message, _ *NoReply) error {
	f.handle(*m)
	return nil
}

// sender sends messages to other agents. Messages to one agent are sent one at a time
// and in order, which digests require.
type sender struct {
	transport   daemon.Transport
	clock       daemon.Clock
	spawn       func(func())
	failed      func(netip.AddrPort, error)
	undelivered func(flow.Message)

	mu       sync.Mutex
	queues   map[packet.AgentID][]flow.Message // an entry exists while a goroutine sends
	reported map[packet.AgentID]time.Duration  // time of the last report of an undelivered message
}

func (a *Agent) newSender(t daemon.Transport, spawn func(func()), failed func(netip.AddrPort, error)) *sender {
	return &sender{
		transport:   t,
		clock:       a.clock,
		spawn:       spawn,
		failed:      failed,
		undelivered: a.messageUndelivered,
		queues:      make(map[packet.AgentID][]flow.Message),
		reported:    make(map[packet.AgentID]time.Duration),
	}
}

// send queues a message for the agent at the control address.
func (s *sender) send(ctx context.Context, to netip.AddrPort, m flow.Message) {
	s.mu.Lock()
	queue, busy := s.queues[m.To]
	if len(queue) < maxQueuedPerAgent {
		s.queues[m.To] = append(queue, m)
	}
	s.mu.Unlock()
	if !busy {
		s.spawn(func() { s.sendQueue(ctx, to, m.To) })
	}
}

// sendQueue sends the messages queued for one agent.
func (s *sender) sendQueue(ctx context.Context, to netip.AddrPort, id packet.AgentID) {
	for {
		m, found := s.next(id)
		if !found {
			return
		}
		if err := s.transport.Call(ctx, to, flowMethod, &m, &NoReply{}); err != nil {
			s.failed(to, err)
			s.reportUndelivered(m)
		}
	}
}

// reportUndelivered reports a message that may not have arrived. Messages queued behind it
// depend on it and are dropped.
func (s *sender) reportUndelivered(m flow.Message) {
	s.mu.Lock()
	now := s.clock()
	last, known := s.reported[m.To]
	report := m.Seq != 0 && (!known || now-last >= undeliveredReportInterval)
	if report {
		s.reported[m.To] = now
	}
	s.queues[m.To] = s.queues[m.To][:0]
	s.mu.Unlock()
	if report {
		s.undelivered(m)
	}
}

// next removes and returns the first queued message, or deletes the empty queue.
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
