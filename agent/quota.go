package agent

import (
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/quota"
)

// maxTokenRequestInterval is the maximum interval between requests for a token while a
// flow waits. Peers remember a request for 3 s and send a token as soon as they have one.
// Shorter intervals, such as the default of quota.Config, only add control traffic: 0.3 to
// 0.6 KB/s per daemon if a customer is always at the limit of its plan, as in the demo.
const maxTokenRequestInterval = 2 * time.Second

// maxTokenWait is the maximum time for which a flow waits for a token. It is shorter than the default
// of flow.TableConfig.MaxWait, so that no token is spent on a flow whose first packet has been dropped.
const maxTokenWait = 800 * time.Millisecond

// quotaAddresses holds the control addresses of the processes that receive quota messages.
type quotaAddresses struct {
	mu      sync.Mutex
	peers   map[packet.AgentID]netip.AddrPort
	grantor member.Grantor
}

// setGrantor stores a grantor with a higher term than the current one and reports whether
// it did.
func (q *quotaAddresses) setGrantor(g member.Grantor) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	newer := g.Term > q.grantor.Term
	if newer {
		q.grantor = g
	}
	return newer
}

func (q *quotaAddresses) setPeers(peers map[packet.AgentID]netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers = peers
}

// address returns the control address of a holder or of the grantor.
func (q *quotaAddresses) address(p quota.Party) (netip.AddrPort, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p == grantorParty(&q.grantor) {
		return q.grantor.Control, true
	}
	a, known := q.peers[p.ID]
	return a, known
}

// grantorParty returns the party of a grantor in one term. It uses the term as the
// incarnation, as the balancers do, so that tokens of an earlier term of the same process
// are not attributed to this term.
func grantorParty(g *member.Grantor) quota.Party {
	return quota.Party{ID: g.ID, Incarnation: uint64(g.Term)}
}

// setUpQuota creates the token holder of this agent and connects it to its transport.
func (a *Agent) setUpQuota(transport daemon.Transport, spawn func(func()), failed func(netip.AddrPort, error)) {
	self := quota.Party{ID: a.id, Incarnation: a.self().Incarnation}
	holder := quota.NewHolder(quota.Config{MaxTokenRequestInterval: maxTokenRequestInterval, MaxWait: maxTokenWait}, a.service, self, daemon.NewRand(a.rng))
	a.admission = newAdmission(holder, a.registry, daemon.NewLogLimiter(a.log, a.clock, event.LeaseExpired))
	a.quota = daemon.NewQuotaExchange(daemon.QuotaConfig{
		Transport: transport, Spawn: spawn, Failed: failed,
		Address: a.quotaAddrs.address, Handle: a.receiveQuota,
	})
	a.deferredSender = &reader{
		agent: a, data: a.ports.data, upstream: a.ports.upstream,
		delivery: packetio.NewOutbox(packetio.BatchSize),
		outgoing: packetio.NewOutbox(maxHints),
	}
}

// receiveQuota passes messages to the holder. It returns the holder's answers and the
// messages of a holder step, so that acknowledgements and requested tokens share one
// reply. A message from a grantor with a higher term also updates the grantor's address.
func (a *Agent) receiveQuota(b daemon.QuotaBatch) (answers []quota.Message) {
	a.flows.do(func(now time.Duration, _ *flow.Table) {
		for _, m := range b.Messages {
			if m.Term > 0 && uint64(m.Term) == m.From.Incarnation && b.Control.IsValid() {
				a.quotaAddrs.setGrantor(member.Grantor{ID: m.From.ID, Control: b.Control, Term: m.Term})
			}
			answers = append(answers, a.admission.handle(now, m)...)
		}
		answers = append(answers, a.admission.holder.Step(now)...)
	})
	a.applyDecisions()
	return answers
}

// stepQuota advances the holder, sends its messages and applies its decisions.
func (a *Agent) stepQuota() {
	a.learnGrantor()
	var messages []quota.Message
	a.flows.do(func(now time.Duration, _ *flow.Table) { messages = a.admission.holder.Step(now) })
	a.quota.Send(a.lifecycle.Context(), messages)
	a.applyDecisions()
	a.flows.do(func(_ time.Duration, t *flow.Table) { a.admission.discardDecided(t) })
}

// learnGrantor applies the grantor that the home balancers have announced.
func (a *Agent) learnGrantor() {
	var g member.Grantor
	a.members.Do(func(_ time.Duration, n *member.Announcer) { g = n.Grantor() })
	if a.quotaAddrs.setGrantor(g) {
		a.flows.do(func(now time.Duration, _ *flow.Table) {
			a.admission.holder.SetGrantor(now, grantorParty(&g), g.Term)
		})
	}
}

// applyDecisions applies the pending decisions on flows that wait for a token, in batches.
func (a *Agent) applyDecisions() { a.sendDeferred((*reader).applyDecisionBatch) }

// sendDeferred sends buffered packets in batches until batch reports that none is left.
func (a *Agent) sendDeferred(batch func(r *reader, now time.Duration, t *flow.Table) (more bool)) {
	a.deferredSenderMu.Lock()
	defer a.deferredSenderMu.Unlock()
	for more := true; more; {
		r := a.deferredSender
		r.delivery.Reset()
		r.outgoing.Reset()
		a.flows.do(func(now time.Duration, t *flow.Table) { more = batch(r, now, t) })
		r.counts.refusedBySystem = r.upstream.Send(r.delivery) + r.data.Send(r.outgoing)
		a.counters.add(&r.counts)
		r.counts = batchCounts{}
	}
}

// applyDecisionBatch applies one batch of decisions and reports whether there may be more.
func (r *reader) applyDecisionBatch(now time.Duration, t *flow.Table) bool {
	for i := range packetio.BatchSize {
		d, found := r.agent.admission.nextDecision()
		if !found {
			return false
		}
		r.applyDecision(now, t, i, d)
	}
	return true
}

// quotaPeers returns the agents of the service that have neither left nor failed.
func quotaPeers(records []member.Record) (out []quota.Peer) {
	for i := range records {
		r := &records[i]
		if !r.Gone() {
			party := quota.Party{ID: packet.AgentIDOf(r.Name), Incarnation: r.Incarnation}
			out = append(out, quota.Peer{Party: party, Accepting: r.State == flow.Ready})
		}
	}
	return out
}
