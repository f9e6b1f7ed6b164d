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
	// electInterval is the time between two reads of the grantors. A handover takes
	// about one, which is within the 3 s for which a stopping balancer goes on.
	electInterval = time.Second
	// electReads bounds the reads of all balancers together, per second.
	electReads = 50
	// holdersInterval bounds the work of comparing the membership at the target scale.
	holdersInterval = time.Second
	// recountLimit is the time after which an unfinished first count is logged.
	recountLimit = 10 * time.Second
)

// grantors are the services for which this balancer issues tokens.
type grantors struct {
	store   store.Store
	members *daemon.Members[*member.Node]
	active  func() *plan.Installed // lists in force, or nil
	clock   daemon.Clock
	rng     *rand.Rand
	log     *event.Logger
	failed  *daemon.LogLimiter
	recount *daemon.LogLimiter
	quota   *daemon.QuotaExchange

	electing sync.Mutex    // held during an election, with its calls to the store
	next     time.Duration // when the next election is due; used by the timer only

	mu    sync.Mutex
	terms map[string]*term // by service
	ended map[string]int64 // highest term of this process that is over
}

// term is this balancer's time as the grantor of one service.
type term struct {
	service  string
	number   int64
	grantor  *quota.Grantor
	begun    time.Duration
	limits   *plan.Installed                // whose limits the grantor has
	holders  time.Duration                  // when the holders were installed last
	controls map[quota.Party]netip.AddrPort // of the holders; nil before the first
}

func newGrantors(b *Balancer, s store.Store, transport daemon.Transport, spawn func(func()), failed func(netip.AddrPort, error)) *grantors {
	g := &grantors{
		store: s, members: b.members, active: b.lists.Active, clock: b.clock, rng: daemon.NewRand(b.rng), log: b.log,
		failed:  daemon.NewLogLimiter(b.log, b.clock, event.StoreFailed),
		recount: daemon.NewLogLimiter(b.log, b.clock, event.RecountUnfinished),
		terms:   make(map[string]*term),
		ended:   make(map[string]int64),
	}
	g.quota = daemon.NewQuotaExchange(daemon.QuotaConfig{
		Transport: transport, Spawn: spawn, Failed: failed,
		Self:    func() netip.AddrPort { return b.self().Control },
		Address: g.address, Handle: g.handle,
	})
	return g
}

// grantorParty identifies a grantor for one term: tokens of an earlier term of the
// same process must not be taken for those of this one.
func grantorParty(name string, number int64) quota.Party {
	return quota.Party{ID: packet.AgentIDOf(name), Incarnation: uint64(number)}
}

func (g *grantors) start(service string, number int64) {
	self := g.electorate().self
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.terms[service] != nil || number <= g.ended[service] {
		return
	}
	now := g.clock()
	party := grantorParty(self.Name, number)
	grantor := quota.NewGrantor(now, quota.Config{}, packet.ServiceIDOf(service), party, number, daemon.NewRand(g.rng))
	g.terms[service] = &term{service: service, number: number, grantor: grantor, begun: now}
	g.log.Log(event.GrantorStarted, "service", service, "term", number)
}

// stop ends a term. The caller holds the lock.
func (g *grantors) stop(t *term) {
	delete(g.terms, t.service)
	g.ended[t.service] = t.number
	g.log.Log(event.GrantorStopped, "service", t.service, "term", t.number)
}

// follow ends the terms that others have replaced, and begins those whose write took
// effect although its answer was lost.
func (g *grantors) follow(self *member.Record, records map[string]*grantorRecord) {
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

// lapsed reports whether the record names a term of this process that is over, so
// that only a new write makes it the grantor again.
func (g *grantors) lapsed(service string, r *grantorRecord, self *member.Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.writtenBy(self) && r.term <= g.ended[service]
}

// step advances the grantors and sends their messages.
func (g *grantors) step(ctx context.Context) {
	g.mu.Lock()
	now := g.clock()
	var out []quota.Message
	for _, t := range g.terms {
		g.refresh(now, t)
		out = append(out, t.grantor.Step(now)...)
		if now-t.begun >= recountLimit && !t.grantor.Counted() {
			g.recount.Log("service", t.service, "term", t.number)
		}
	}
	g.mu.Unlock()
	g.quota.Send(ctx, out)
}

// refresh installs the limits in force and the present holders.
func (g *grantors) refresh(now time.Duration, t *term) {
	if active := g.active(); active != t.limits {
		t.limits = active
		t.grantor.SetLimits(limitAmounts(active.Lists.LimitsAt(t.service)))
	}
	if t.controls != nil && now-t.holders < holdersInterval {
		return
	}
	t.holders, t.controls = now, make(map[quota.Party]netip.AddrPort)
	var records []member.Record
	g.members.Do(func(_ time.Duration, n *member.Node) { records = n.Table().ServiceMembers(t.service) })
	holders := make([]quota.HolderInfo, len(records))
	for i := range records {
		r := &records[i]
		party := quota.Party{ID: packet.AgentIDOf(r.Name), Incarnation: r.Incarnation}
		holders[i] = quota.HolderInfo{Party: party, Accepting: r.State == flow.Ready, Gone: r.Gone()}
		t.controls[party] = r.Control
	}
	t.grantor.SetHolders(now, holders)
}

// limitAmounts returns the tokens of the limits. Requests are not admitted by
// agents yet, so that no tokens are issued for them.
func limitAmounts(limits []plan.CustomerLimits) []quota.Amount {
	out := make([]quota.Amount, 0, 2*len(limits))
	for _, l := range limits {
		out = append(out,
			quota.Amount{Account: quota.Account{Customer: l.ID, Kind: quota.Connections}, Tokens: int32(l.Limits.Connections)},
			quota.Amount{Account: quota.Account{Customer: l.ID, Kind: quota.Rate}, Tokens: int32(l.Limits.NewConnectionsPerSecond)})
	}
	return out
}

// handle passes messages to the grantor that they are for. A holder that knows a
// higher term has heard of a successor, so this balancer steps down.
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

func (g *grantors) termOf(id packet.ServiceID) *term {
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
		if a, known := t.controls[p]; known {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}
