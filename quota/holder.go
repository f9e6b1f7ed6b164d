package quota

import (
	"math/rand/v2"
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
	// NoTokens refuses because a limit has no free token here.
	NoTokens
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
	index    map[Account]int
	needs    []*account // accounts with a need, in order of first need

	peers    []Peer
	cursor   int // peer to ask next
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
		cfg:      cfg,
		self:     self,
		service:  service,
		rng:      rng,
		index:    map[Account]int{},
		channels: map[Party]*channel{},
		lease:    newLease(&cfg),
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

func (h *Holder) dropRestarted(current Party) {
	kept := h.parties[:0]
	for _, p := range h.parties {
		if p.ID != current.ID || p == current {
			kept = append(kept, p)
			continue
		}
		h.takeBackQueued(h.channels[p])
		delete(h.channels, p)
	}
	h.parties = kept
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

// Admit admits one new connection of the customer, or says why not.
func (h *Holder) Admit(now time.Duration, customer uint64) Verdict {
	if !h.lease.valid(now) || h.draining {
		return NoLease
	}
	connections := h.account(Account{customer, Connections})
	rate := h.account(Account{customer, Rate})
	connections.count(now, 1)
	rate.count(now, 1)
	short := h.short(now, connections)
	short = h.short(now, rate) || short
	if short {
		return NoTokens
	}
	connections.used++
	rate.used++
	h.cooling = append(h.cooling, coolingToken{now + rateTokenTime, customer})
	connections.check()
	rate.check()
	h.refill(now, connections)
	h.refill(now, rate)
	return Admitted
}

// AdmitRequest admits one request of the customer, or says why not.
func (h *Holder) AdmitRequest(now time.Duration, customer uint64) Verdict {
	if !h.lease.valid(now) || h.draining {
		return NoLease
	}
	a := h.account(Account{customer, Requests})
	a.count(now, 1)
	if h.short(now, a) {
		return NoTokens
	}
	a.used++
	a.check()
	h.refill(now, a)
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

// short reports that the account has no free token, and notes the need.
func (h *Holder) short(now time.Duration, a *account) bool {
	if a.recalled {
		return true
	}
	if a.free() > 0 {
		return false
	}
	h.want(now, a, true)
	return true
}

// refill asks peers for tokens before the free ones are used up.
func (h *Holder) refill(now time.Duration, a *account) {
	if a.free() < a.recent(now)/2 {
		h.want(now, a, false)
	}
}

func (h *Holder) release(now time.Duration, a *account) {
	a.used--
	a.check()
	if a.recalled {
		h.returnFree(a)
		return
	}
	// A token that this holder needs itself stays here.
	if a.need != nil && a.need.urgent {
		return
	}
	if peer, ok := a.nextWaiter(now); ok {
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
	if i, ok := h.index[id]; ok {
		return h.accounts[i]
	}
	a := &account{id: id}
	h.index[id] = len(h.accounts)
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
	i, ok := h.index[id]
	if !ok {
		return 0, 0
	}
	return h.accounts[i].held, h.accounts[i].used
}
