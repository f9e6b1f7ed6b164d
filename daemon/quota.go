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
	// maxQueuedQuotaMessages is the maximum number of messages queued for one receiver
	// while a call to it is in progress. Further messages are dropped; the protocol
	// repeats lost messages.
	maxQueuedQuotaMessages = 256
)

// QuotaBatch holds all quota messages of one step to one process, or the messages in the
// reply to such a batch.
type QuotaBatch struct {
	Control  netip.AddrPort // sender's control address; invalid if the sender is a holder, whose address receivers know from the membership
	Messages []quota.Message
}

// completeReply copies the service, sender and receiver from the request into the messages
// of the reply, which omits them on the wire.
func (b *QuotaBatch) completeReply(request *QuotaBatch) {
	for i := range b.Messages {
		m, first := &b.Messages[i], &request.Messages[0]
		m.Service, m.From, m.To = first.Service, first.To, first.From
	}
}

// QuotaConfig configures the exchange of quota messages.
type QuotaConfig struct {
	Transport Transport
	Spawn     func(func()) // runs a call in the background
	// Self returns the address for QuotaBatch.Control; nil on a holder, which sends none.
	Self func() netip.AddrPort
	// Address returns the control address of a process, and false if it is unknown.
	Address func(quota.Party) (netip.AddrPort, bool)
	// Handle processes a received batch and returns the messages to send.
	Handle func(QuotaBatch) []quota.Message
	// Failed is called for each call that failed.
	Failed func(netip.AddrPort, error)
}

// QuotaExchange exchanges the quota messages of one process with other processes. At most
// one call to each receiver is in progress at a time. It is safe for concurrent use.
type QuotaExchange struct {
	cfg    QuotaConfig
	mu     sync.Mutex
	queues map[quota.Party][]quota.Message // by receiver; an entry exists while a call to it is in progress
}

// NewQuotaExchange returns a QuotaExchange without queued messages.
func NewQuotaExchange(cfg QuotaConfig) *QuotaExchange {
	return &QuotaExchange{cfg: cfg, queues: make(map[quota.Party][]quota.Message)}
}

// Send sends messages in the background, one call for all messages to the same receiver.
// Messages to unknown processes are dropped.
func (q *QuotaExchange) Send(ctx context.Context, messages []quota.Message) {
	for _, to := range q.enqueue(messages) {
		q.cfg.Spawn(func() { q.sendQueued(ctx, to) })
	}
}

// enqueue queues the messages and returns the receivers that have no call in progress.
func (q *QuotaExchange) enqueue(messages []quota.Message) (idle []quota.Party) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range messages {
		queue, busy := q.queues[m.To]
		if !busy {
			idle = append(idle, m.To)
		}
		if len(queue) < maxQueuedQuotaMessages {
			q.queues[m.To] = append(queue, m)
		}
	}
	return idle
}

// sendQueued sends the queued messages of a receiver until its queue is empty.
func (q *QuotaExchange) sendQueued(ctx context.Context, to quota.Party) {
	for {
		messages := q.dequeue(to)
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

// dequeue removes and returns the queued messages of a receiver. If there are none, it
// deletes the queue and so marks the receiver as idle.
func (q *QuotaExchange) dequeue(to quota.Party) []quota.Message {
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

// QuotaRPC is the RPC service that receives the quota messages of other processes.
type QuotaRPC struct {
	quota *QuotaExchange
}

// NewQuotaRPC returns the RPC service for the quota messages of a process.
func NewQuotaRPC(q *QuotaExchange) *QuotaRPC { return &QuotaRPC{quota: q} }

// Send handles the RPC. Response messages to the caller are returned in the reply, without
// service, sender and receiver, which the caller knows; messages to other processes are
// sent in calls of their own.
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
	// The transport's timeout limits these calls, so they need no other context.
	r.quota.Send(context.Background(), others)
	return nil
}
