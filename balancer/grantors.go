package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/quota"
	"github.com/nutmegtrack/nutmegtrack/store"
)

const (
	// minElectionInterval is the minimum interval between two elections of a balancer.
	// Replacing the grantor of a stopping balancer takes about one interval, which is
	// less than the 3 s for which that balancer continues to run.
	minElectionInterval = time.Second
	// electionReadsPerSecond is the maximum number of reads per second by the elections
	// of all balancers together.
	electionReadsPerSecond = 50
	// holderUpdateInterval is the interval at which a grantor's holders are updated from the
	// membership. It limits the cost of comparing them at the target scale.
	holderUpdateInterval = time.Second
	// recountWarningDelay is the time from the start of a term after which a warning is
	// logged if the recount has not finished.
	recountWarningDelay = 10 * time.Second
)

// grantors holds the terms in which this balancer is the grantor of a service, and
// takes part in the elections.
type grantors struct {
	store           store.Store
	members         *daemon.Members[*member.Node]
	active          func() *plan.Installed // active lists, or nil
	clock           daemon.Clock
	rng             *rand.Rand
	log             *event.Logger
	storeFailureLog *daemon.LogLimiter
	recountLog      *daemon.LogLimiter
	unreadable      *daemon.UnreadableLog
	quota           *daemon.QuotaExchange

	electionMu   sync.Mutex    // locked during an election, including its store calls
	nextElection time.Duration // when the next election is due; accessed by electIfDue only

	mu         sync.Mutex
	terms      map[string]*grantorTerm // by service
	endedTerms map[string]int64        // highest ended term of this process, by service
}

// grantorTerm is one term of this balancer as the grantor of a service.
type grantorTerm struct {
	service          string
	number           int64
	grantor          *quota.Grantor
	startedAt        time.Duration
	lists            *plan.Installed                // lists whose limits the grantor uses
	holdersUpdatedAt time.Duration                  // when the holders were last updated
	holderAddrs      map[quota.Party]netip.AddrPort // control addresses of the holders; nil before the first update
}

func newGrantors(b *Balancer, s store.Store, transport daemon.Transport, spawn func(func()), failed func(netip.AddrPort, error)) *grantors {
	g := &grantors{
		store: s, members: b.members, active: b.lists.Active, clock: b.clock, rng: daemon.NewRand(b.rng), log: b.log,
		storeFailureLog: daemon.NewLogLimiter(b.log, b.clock, event.StoreFailed),
		recountLog:      daemon.NewLogLimiter(b.log, b.clock, event.RecountUnfinished),
		unreadable:      daemon.NewUnreadableLog(b.log),
		terms:           make(map[string]*grantorTerm),
		endedTerms:      make(map[string]int64),
	}
	g.quota = daemon.NewQuotaExchange(daemon.QuotaConfig{
		Transport: transport, Spawn: spawn, Failed: failed,
		Self:    func() netip.AddrPort { return b.self().Control },
		Address: g.address, Handle: g.handle,
	})
	return g
}

// grantorParty returns the party of a grantor in one term. It uses the term as the
// incarnation, so that tokens of an earlier term of the same process are not attributed
// to this term.
func grantorParty(name string, number int64) quota.Party {
	return quota.Party{ID: packet.AgentIDOf(name), Incarnation: uint64(number)}
}

func (g *grantors) start(service string, number int64) {
	self := g.electionInput().self
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.terms[service] != nil || number <= g.endedTerms[service] {
		return
	}
	now := g.clock()
	party := grantorParty(self.Name, number)
	grantor := quota.NewGrantor(now, quota.Config{}, packet.ServiceIDOf(service), party, number, daemon.NewRand(g.rng))
	g.terms[service] = &grantorTerm{service: service, number: number, grantor: grantor, startedAt: now}
	g.log.Log(event.GrantorStarted, "service", service, "term", number)
}

// stop ends a term. The caller must hold g.mu.
func (g *grantors) stop(t *grantorTerm) {
	delete(g.terms, t.service)
	g.endedTerms[t.service] = t.number
	g.log.Log(event.GrantorStopped, "service", t.service, "term", t.number)
}

// syncTerms ends the terms that the stored records no longer assign to this process. It
// starts terms that the records assign to this process and that do not run, because the
// response to their write was lost.
func (g *grantors) syncTerms(self *member.Record, records map[string]*grantorRecord) {
	g.mu.Lock()
	for service, t := range g.terms {
		if r := records[service]; r == nil || !r.writtenBy(self) || r.term != t.number {
			g.stop(t)
		}
	}
	g.mu.Unlock()
	for service, r := range records {
		if r.writtenBy(self) && g.active() != nil {
			g.start(service, r.term)
		}
	}
}

// termEnded reports whether the record names a term of this process that has ended. The
// process must write a new record to become the grantor again.
func (g *grantors) termEnded(service string, r *grantorRecord, self *member.Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.writtenBy(self) && r.term <= g.endedTerms[service]
}

// step advances the grantors of all terms and sends their messages.
func (g *grantors) step(ctx context.Context) {
	g.mu.Lock()
	now := g.clock()
	var out []quota.Message
	for _, t := range g.terms {
		g.refresh(now, t)
		out = append(out, t.grantor.Step(now)...)
		if now-t.startedAt >= recountWarningDelay && !t.grantor.Counted() {
			g.recountLog.Log("service", t.service, "term", t.number)
		}
	}
	g.mu.Unlock()
	g.quota.Send(ctx, out)
}

// refresh updates the limits and the holders of a term's grantor.
func (g *grantors) refresh(now time.Duration, t *grantorTerm) {
	if active := g.active(); active != t.lists {
		t.lists = active
		t.grantor.SetLimits(limitAmounts(active.Lists.LimitsAt(t.service)))
	}
	if t.holderAddrs != nil && now-t.holdersUpdatedAt < holderUpdateInterval {
		return
	}
	t.holdersUpdatedAt, t.holderAddrs = now, make(map[quota.Party]netip.AddrPort)
	var records []member.Record
	g.members.Do(func(_ time.Duration, n *member.Node) { records = n.Table().ServiceMembers(t.service) })
	holders := make([]quota.HolderInfo, len(records))
	for i := range records {
		r := &records[i]
		party := quota.Party{ID: packet.AgentIDOf(r.Name), Incarnation: r.Incarnation}
		holders[i] = quota.HolderInfo{Party: party, Accepting: r.State == flow.Ready, Gone: r.Gone()}
		t.holderAddrs[party] = r.Control
	}
	t.grantor.SetHolders(now, holders)
}

// limitAmounts returns the number of tokens to issue for each limit. No tokens are
// issued for requests, because agents do not control the admission of requests yet.
func limitAmounts(limits []plan.CustomerLimits) []quota.Amount {
	out := make([]quota.Amount, 0, 2*len(limits))
	for _, l := range limits {
		out = append(out,
			quota.Amount{Account: quota.Account{Customer: l.ID, Kind: quota.Connections}, Tokens: int32(l.Limits.Connections)},
			quota.Amount{Account: quota.Account{Customer: l.ID, Kind: quota.Rate}, Tokens: int32(l.Limits.NewConnectionsPerSecond)})
	}
	return out
}

// handle passes the messages to the grantors of their services and returns the answers.
// If a message contains a higher term, its holder knows another grantor of the service,
// and this balancer ends its own term.
func (g *grantors) handle(b daemon.QuotaBatch) (answers []quota.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	for _, m := range b.Messages {
		t := g.termOf(m.Service)
		if t == nil {
			continue
		}
		if m.Term > t.number {
			g.stop(t)
			continue
		}
		answers = append(answers, t.grantor.Handle(now, m)...)
	}
	return answers
}

func (g *grantors) termOf(id packet.ServiceID) *grantorTerm {
	for service, t := range g.terms {
		if packet.ServiceIDOf(service) == id {
			return t
		}
	}
	return nil
}

func (g *grantors) address(p quota.Party) (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.terms {
		if a, known := t.holderAddrs[p]; known {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}
