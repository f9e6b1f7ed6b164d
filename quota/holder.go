package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// rateTokenTime is how long a new connection uses a Rate token. It exceeds one
// second so that clocks that differ in speed by 2% cannot admit more than the rate.
const rateTokenTime = 1020 * time.Millisecond

// Verdict is the answer to an admission.
type Verdict uint8

const (
	// Admitted flows use one token of each limit until released.
	Admitted Verdict = iota
	// NoLease refuses because the admission lease has expired.
	NoLease
	// NoTokens refuses because no token became free within Config.MaxWait, or
	// because too many flows of the customer wait already.
	NoTokens
	// Waiting flows are decided later; Decisions reports them.
	Waiting
)

// Peer is another agent of the service.
type Peer struct {
	Party
	// Accepting is set while the agent is ready to admit flows.
	Accepting bool
}

// Holder is the agent's side: it admits flows with the tokens it holds and moves
// tokens to and from its peers.
type Holder struct {
	cfg     Config
	self    Party
	service packet.ServiceID
	rng     *rand.Rand

	accounts []*account
	index    map[Account]*account
	needs    []*account // accounts with a need, in order of first need

	customers map[uint64]*customer
	queued    []*customer // customers with waiting flows, in order of the first one
	decisions []Decision
	// acks waits for the next step, so that acknowledgements share envelopes.
	acks []Message

	peers    []Peer
	cursor   int           // peer that gets the next tokens of a draining holder
	tidy     time.Duration // when idle tokens are next returned to their home
	channels map[Party]*channel
	parties  []Party // keys of channels, in order of creation

	cooling  []coolingToken
	draining bool

	grantor Party
	term    int64
	lease   lease
	freeze  freeze
}

// coolingToken is a Rate token that becomes free at a time.
type coolingToken struct {
	at       time.Duration
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

// SetPeers installs the agents of the service; the holder's own entry is ignored.
// A channel whose peer has restarted is dropped: its tokens are lost until the
// grantor's next recount, because the old process may have received them.
func (h *Holder) SetPeers(peers []Peer) {
	h.peers = h.peers[:0]
	for _, p := range peers {
		if p.ID == h.self.ID {
			continue
		}
		h.peers = append(h.peers, p)
		h.dropRestarted(p.Party)
	}
}

// dropChannel forgets the channel to a party that is gone for good.
func (h *Holder) dropChannel(p Party) {
	c := h.channels[p]
	if c == nil {
		return
	}
	h.takeBackQueued(c)
	delete(h.channels, p)
	h.parties = slices.DeleteFunc(h.parties, func(other Party) bool { return other == p })
}

func (h *Holder) dropRestarted(current Party) {
	for _, p := range slices.Clone(h.parties) {
		if p.ID == current.ID && p != current {
			h.dropChannel(p)
		}
	}
}

// takeBackQueued returns tokens that were queued but never sent.
func (h *Holder) takeBackQueued(c *channel) {
	for _, id := range c.order {
		h.account(id).held += c.queued[id]
	}
	c.order, c.queued = nil, map[Account]int32{}
}

// SetDraining makes the holder admit nothing and give its free tokens to peers.
func (h *Holder) SetDraining() { h.draining = true }

// Admit admits one new connection of the customer, refuses it, or lets it wait for
// a token. The flow's identity is returned by Decisions when it has waited.
func (h *Holder) Admit(now time.Duration, customer, flow uint64) Verdict {
	if !h.lease.valid(now) || h.draining {
		return NoLease
	}
	c := h.customer(customer)
	c.connections.count(now, 1)
	c.rate.count(now, 1)
	if len(c.waiting) == 0 && h.use(now, c) {
		return Admitted
	}
	if len(c.waiting) >= h.cfg.MaxWaiting {
		return NoTokens
	}
	h.enqueue(now, c, flow)
	return Waiting
}

// AdmitRequest admits one request of the customer, or refuses it and asks peers
// for a token.
func (h *Holder) AdmitRequest(now time.Duration, customer uint64) Verdict {
	if !h.lease.valid(now) || h.draining {
		return NoLease
	}
	a := h.account(Account{customer, Requests})
	a.count(now, 1)
	if a.recalled || a.free() == 0 {
		a.flows, a.flowsUntil = 1, now+h.cfg.MaxWait
		h.want(now, a)
		return NoTokens
	}
	a.flows = 0
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
		h.returnFree(a)
		return
	}
	h.freed(now, a)
}

// freed uses tokens that became free for the flows that wait here, then for peers
// that wait for them.
func (h *Holder) freed(now time.Duration, a *account) {
	if a.recalled {
		return
	}
	if a.flows > 0 && a.id.Kind != Requests {
		h.admitWaiting(now, h.customer(a.id.Customer))
	}
	for a.spare() > 0 {
		peer, ok := a.takeWaiter(now)
		if !ok {
			return
		}
		h.give(a, peer, 1)
	}
}

// give moves free tokens to the queue of a peer's channel.
func (h *Holder) give(a *account, peer Party, tokens int32) {
	tokens = min(tokens, a.free())
	if tokens <= 0 {
		return
	}
	a.held -= tokens
	a.check()
	h.channel(peer).queue(a.id, tokens)
}

// returnFree gives all free tokens of a recalled account to the grantor.
func (h *Holder) returnFree(a *account) { h.give(a, h.grantor, a.free()) }

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

// Held returns the tokens held and the tokens used of one account.
func (h *Holder) Held(id Account) (held, used int32) {
	if a := h.index[id]; a != nil {
		return a.held, a.used
	}
	return 0, 0
}
