package daemon

import (
	"context"
	"net/netip"
	"sync"

	"github.com/nutmegtrack/nutmegtrack/quota"
)

const (
	// QuotaService is the name of the RPC service for quota messages.
	QuotaService = "Quota"
	quotaMethod  = QuotaService + ".Send"
	// maxQuotaQueue bounds the messages that wait for a call in progress. The
	// protocol repeats those that are lost.
	maxQuotaQueue = 256
)

// QuotaBatch carries all quota messages of one step to one process, and the
// answers in the reply.
type QuotaBatch struct {
	Control  netip.AddrPort // sender's control address; invalid from holders, which are known
	Messages []quota.Message
}

// completeReply sets service and parties of the messages in the reply to a request.
func (b *QuotaBatch) completeReply(request *QuotaBatch) {
	for i := range b.Messages {
		m, asked := &b.Messages[i], &request.Messages[0]
		m.Service, m.From, m.To = asked.Service, asked.To, asked.From
	}
}

// QuotaConfig says how quota messages are exchanged.
type QuotaConfig struct {
	Transport Transport
	Spawn     func(func()) // runs a call in the background
	// Self returns the control address that receivers need; nil for none.
	Self func() netip.AddrPort
	// Address returns the control address of a process that is known.
	Address func(quota.Party) (netip.AddrPort, bool)
	// Handle processes a received batch and returns the messages to send.
	Handle func(QuotaBatch) []quota.Message
	// Failed is told of each call that was not answered.
	Failed func(netip.AddrPort, error)
}

// Quota exchanges the quota messages of one process. At most one call to each
// receiver is in progress. It is safe for concurrent use.
type Quota struct {
	cfg    QuotaConfig
	mu     sync.Mutex
	queues map[quota.Party][]quota.Message // present while a call is in progress
}

// NewQuota returns an exchange of messages.
func NewQuota(cfg QuotaConfig) *Quota {
	return &Quota{cfg: cfg, queues: make(map[quota.Party][]quota.Message)}
}

// Send sends messages, those to one receiver in one call. Messages to unknown
// processes are dropped.
func (q *Quota) Send(ctx context.Context, messages []quota.Message) {
	for _, to := range q.enqueue(messages) {
		q.cfg.Spawn(func() { q.drain(ctx, to) })
	}
}

// enqueue queues the messages and returns the receivers without a call in progress.
func (q *Quota) enqueue(messages []quota.Message) (idle []quota.Party) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range messages {
		queue, busy := q.queues[m.To]
		if !busy {
			idle = append(idle, m.To)
		}
		if len(queue) < maxQuotaQueue {
			q.queues[m.To] = append(queue, m)
		}
	}
	return idle
}

// drain calls a receiver until nothing is queued for it.
func (q *Quota) drain(ctx context.Context, to quota.Party) {
	for {
		messages := q.take(to)
		if len(messages) == 0 {
			return
		}
		address, known := q.cfg.Address(to)
		if !known {
			continue
		}
		var reply QuotaBatch
		batch := QuotaBatch{Messages: messages}
		if q.cfg.Self != nil {
			batch.Control = q.cfg.Self()
		}
		if err := q.cfg.Transport.Call(ctx, address, quotaMethod, &batch, &reply); err != nil {
			q.cfg.Failed(address, err)
			continue
		}
		reply.completeReply(&batch)
		if len(reply.Messages) > 0 {
			q.Send(ctx, q.cfg.Handle(reply))
		}
	}
}

// take returns the queued messages of a receiver, or ends its queue.
func (q *Quota) take(to quota.Party) []quota.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	messages := q.queues[to]
	if len(messages) == 0 {
		delete(q.queues, to)
		return nil
	}
	q.queues[to] = nil
	return messages
}

// QuotaRPC serves the quota messages of other processes.
type QuotaRPC struct {
	quota *Quota
}

// NewQuotaRPC returns the service.
func NewQuotaRPC(q *Quota) *QuotaRPC { return &QuotaRPC{quota: q} }

// Send serves the RPC. The reply carries the messages to the caller, without service
// and parties, which the caller knows; the others are sent.
func (r *QuotaRPC) Send(batch *QuotaBatch, reply *QuotaBatch) error {
	if len(batch.Messages) == 0 {
		return nil
	}
	caller, service := batch.Messages[0].From, batch.Messages[0].Service
	var others []quota.Message
	for _, m := range r.quota.cfg.Handle(*batch) {
		if m.To == caller && m.Service == service {
			m.Service, m.From, m.To = 0, quota.Party{}, quota.Party{}
			reply.Messages = append(reply.Messages, m)
		} else {
			others = append(others, m)
		}
	}
	// The calls have the transport's timeout and need no end of their own.
	r.quota.Send(context.Background(), others)
	return nil
}
