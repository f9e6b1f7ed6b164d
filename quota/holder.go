package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// rateTokenDuration is how long a new connection uses a Rate token. It exceeds one
// second so that holders whose clocks differ in speed by 2% do not admit more than
// the rate.
const rateTokenDuration = 1020 * time.Millisecond

// Verdict is the result of an admission request.
type Verdict uint8

const (
	// Admitted means that the flow uses a Connections token and a Rate token, or the request
	// a Requests token. The Rate token becomes free after rateTokenDuration, the others when
	// the flow or request is released.
	Admitted Verdict = iota
	// NoLease refuses a flow or a request because the admission lease has expired or the holder
	// is draining.
	NoLease
	// NoTokens refuses a flow because no token became free within Config.MaxWait, or
	// because too many flows of the customer are already waiting. It refuses a request
	// because no token was free.
	NoTokens
	// Waiting flows are decided later; Holder.Decisions returns the result.
	Waiting
)

// Peer is another agent of the service.
type Peer struct {
	Party
	// Accepting is set while the agent is ready to admit flows.
	Accepting bool
}

// Holder is the agent's part of the protocol: it admits flows with the tokens that
// it holds and transfers tokens to and from its peers.
type Holder struct {
	cfg     Config
	self    Party
	service packet.ServiceID
	rng     *rand.Rand

	accounts   []*account
	index      map[Account]*account
	requesting []*account // accounts that request tokens, in order of their first request

	customers        map[uint64]*customer
	waitingCustomers []*customer // customers with waiting flows, in order of the first waiting flow
	decisions        []Decision
	// acks are sent with the next step, so that one RPC carries several of them.
	acks []Message

	peers            []Peer
	drainCursor      int           // number of transfers while draining, to select the peers in turn
	nextIdleTransfer time.Duration // when idle tokens are next transferred to their home
	channels         map[Party]*channel
	parties          []Party // keys of channels, in order of creation

	rateTokensInUse []rateTokenUse
	draining        bool

	grantor Party
	term    int64
	lease   lease
	freeze  freeze
}

// rateTokenUse is a Rate token in use and the time at which it becomes free.
type rateTokenUse struct {
	freeAt   time.Duration
	customer uint64
}

// NewHolder returns a holder without tokens and without an admission lease.
func NewHolder(cfg Config, service packet.ServiceID, self Party, rng *rand.Rand) *Holder {
	cfg = cfg.withDefaults()
	return &Holder{
		cfg:       cfg,
		self:      self,
		service:   service,
		rng:       rng,
		index:     map[Account]*account{},
		channels:  map[Party]*channel{},
		customers: map[uint64]*customer{},
		lease:     newLease(&cfg),
	}
}

// SetPeers replaces the agents of the service; the holder's own entry is ignored.
// The channel to a peer that has restarted is removed. Tokens in its outstanding
// batch are lost until the grantor's next recount, because the earlier incarnation
// may have received them.
func (h *Holder) SetPeers(peers []Peer) {
	h.peers = h.peers[:0]
	for _, p := range peers {
		if p.ID == h.self.ID {
			continue
		}
		h.peers = append(h.peers, p)
		h.removeRestarted(p.Party)
	}
}

// removeChannel removes the channel to a party with which no tokens are exchanged any
// more. Queued tokens become free again; those in an outstanding batch are lost until
// the next recount.
func (h *Holder) removeChannel(p Party) {
	c := h.channels[p]
	if c == nil {
		return
	}
	h.reclaimQueued(c)
	delete(h.channels, p)
	h.parties = slices.DeleteFunc(h.parties, func(other Party) bool { return other == p })
}

func (h *Holder) removeRestarted(current Party) {
	for _, p := range slices.Clone(h.parties) {
		if p.ID == current.ID && p != current {
			h.removeChannel(p)
		}
	}
}

// reclaimQueued adds the tokens that are queued in the channel, and thus have not
// been sent, to their accounts again.
func (h *Holder) reclaimQueued(c *channel) {
	for _, id := range c.order {
		h.account(id).held += c.queued[id]
	}
	c.order, c.queued = nil, map[Account]int32{}
}

// SetDraining makes the holder admit nothing more and transfer its free tokens to
// peers.
func (h *Holder) SetDraining() { h.draining = true }

// Admit admits one new connection of the customer, refuses it, or queues it until a
// token is free. For a flow that was queued, Decisions returns the result with the
// given flow identity.
func (h *Holder) Admit(now time.Duration, customer, flow uint64) Verdict {
	if !h.lease.valid(now) || h.draining {
		return NoLease
	}
	c := h.customer(customer)
	c.connections.addDemand(now, 1)
	c.rate.addDemand(now, 1)
	if len(c.waiting) == 0 && h.takeTokens(now, c) {
		return Admitted
	}
	if len(c.waiting) >= h.cfg.MaxWaiting {
		return NoTokens
	}
	h.enqueue(now, c, flow)
	return Waiting
}

// AdmitRequest admits one request of the customer, or refuses it and requests a
// token from peers.
func (h *Holder) AdmitRequest(now time.Duration, customer uint64) Verdict {
	if !h.lease.valid(now) || h.draining {
		return NoLease
	}
	a := h.account(Account{customer, Requests})
	a.addDemand(now, 1)
	if a.recalled || a.free() == 0 {
		a.waitingFlows, a.waitingUntil = 1, now+h.cfg.MaxWait
		h.startTokenRequest(now, a)
		return NoTokens
	}
	a.waitingFlows = 0
	a.used++
	a.check()
	return Admitted
}

// Release ends a connection that Admit admitted.
func (h *Holder) Release(now time.Duration, customer uint64) {
	h.release(now, h.account(Account{customer, Connections}))
}

// ReleaseRequest ends a request that AdmitRequest admitted.
func (h *Holder) ReleaseRequest(now time.Duration, customer uint64) {
	h.release(now, h.account(Account{customer, Requests}))
}

func (h *Holder) release(now time.Duration, a *account) {
	a.used--
	a.check()
	if a.recalled {
		h.returnFreeTokens(a)
		return
	}
	h.assignFreed(now, a)
}

// assignFreed assigns tokens that became free to the flows that wait at this
// holder, then to peers that wait for them.
func (h *Holder) assignFreed(now time.Duration, a *account) {
	if a.recalled {
		return
	}
	if a.waitingFlows > 0 && a.id.Kind != Requests {
		h.admitWaiting(now, h.customer(a.id.Customer))
	}
	for a.spare() > 0 {
		peer, ok := a.nextWaitingPeer(now)
		if !ok {
			return
		}
		h.transfer(a, peer, 1)
	}
}

// transfer moves free tokens to the queue of the channel to a peer.
func (h *Holder) transfer(a *account, peer Party, tokens int32) {
	tokens = min(tokens, a.free())
	if tokens <= 0 {
		return
	}
	a.held -= tokens
	a.check()
	h.channel(peer).queue(a.id, tokens)
}

// returnFreeTokens returns all free tokens of a recalled account to the grantor.
func (h *Holder) returnFreeTokens(a *account) { h.transfer(a, h.grantor, a.free()) }

func (h *Holder) account(id Account) *account {
	if a := h.index[id]; a != nil {
		return a
	}
	a := &account{id: id}
	h.index[id] = a
	h.accounts = append(h.accounts, a)
	return a
}

func (h *Holder) channel(peer Party) *channel {
	c := h.channels[peer]
	if c == nil {
		c = newChannel(peer, &h.cfg)
		h.channels[peer] = c
		h.parties = append(h.parties, peer)
	}
	return c
}

// Held returns the number of tokens of one account that the holder has, and the
// number of them in use.
func (h *Holder) Held(id Account) (held, used int32) {
	if a := h.index[id]; a != nil {
		return a.held, a.used
	}
	return 0, 0
}
