package balancer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// quotaPrefix is followed by the name of the service.
const quotaPrefix = "quota/"

// grantorRecord is the value of a key under quotaPrefix. The key's mod revision is
// the grantor's term.
type grantorRecord struct {
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"`
	Control     netip.AddrPort `json:"control"`
	term        int64
}

func (r *grantorRecord) writtenBy(self *member.Record) bool {
	return r.Name == self.Name && r.Incarnation == self.Incarnation
}

// electorate is what an election needs of the membership.
type electorate struct {
	self      member.Record
	balancers []member.Record
	services  []string
}

func (g *grantors) electorate() (e electorate) {
	g.members.Do(func(_ time.Duration, n *member.Node) {
		e.self = n.Self()
		e.balancers = n.Table().Balancers()
		for _, s := range n.Table().View().Services {
			e.services = append(e.services, s.Name)
		}
	})
	return e
}

// live reports whether the process that wrote the record is ready.
func (e *electorate) live(r *grantorRecord) bool {
	for i := range e.balancers {
		b := &e.balancers[i]
		if r.writtenBy(b) {
			return b.State == flow.Ready
		}
	}
	return false
}

// chosen returns the name of the ready balancer that should be the service's next
// grantor, by rendezvous hashing.
func (e *electorate) chosen(service string) (name string) {
	var best uint64
	for i := range e.balancers {
		b := &e.balancers[i]
		score := xxhash.Sum64String(b.Name + "\x00" + service)
		if b.State == flow.Ready && (name == "" || score > best) {
			best, name = score, b.Name
		}
	}
	return name
}

// electWhenDue holds an election unless the balancers together would read the store
// more often than electReads.
func (g *grantors) electWhenDue(ctx context.Context) {
	now := g.clock()
	if now < g.next {
		return
	}
	balancers := 0
	g.members.Do(func(_ time.Duration, n *member.Node) { balancers = len(n.Table().Balancers()) })
	// A timer that is a little early must not skip a turn.
	g.next = now + electPause(balancers) - electInterval/2
	g.elect(ctx)
}

// electPause returns the time between two elections of one of n balancers.
func electPause(n int) time.Duration {
	return max(electInterval, time.Duration(n)*time.Second/electReads)
}

// elect reads who the grantors are, steps down where another balancer has replaced
// this one, and campaigns for services whose grantor is not ready. Without an
// answer of the store all terms go on, because nobody can have replaced them.
func (g *grantors) elect(ctx context.Context) {
	g.electing.Lock()
	defer g.electing.Unlock()
	records, err := g.read(ctx)
	if err != nil {
		g.failed.Log("key", quotaPrefix, "error", err)
		return
	}
	e := g.electorate()
	g.follow(&e.self, records)
	g.publish(records)
	// A grantor without lists would take back all tokens.
	if e.self.State != flow.Ready || g.clock() < startLimit || g.active() == nil {
		return
	}
	for _, service := range e.services {
		r := records[service]
		if !g.wants(&e, service, r) {
			continue
		}
		if err := g.campaign(ctx, &e.self, service, r); err != nil {
			g.failed.Log("key", quotaPrefix+service, "error", err)
		}
	}
}

// wants reports whether this balancer should replace the service's record.
func (g *grantors) wants(e *electorate, service string, r *grantorRecord) bool {
	if r != nil && g.lapsed(service, r, &e.self) {
		return true
	}
	return (r == nil || !e.live(r)) && e.chosen(service) == e.self.Name
}

func (g *grantors) read(ctx context.Context) (map[string]*grantorRecord, error) {
	kvs, _, err := g.store.List(ctx, quotaPrefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*grantorRecord, len(kvs))
	for _, kv := range kvs {
		r := &grantorRecord{term: kv.ModRevision}
		// A value that cannot be read names no live balancer, so it is replaced.
		if json.Unmarshal(kv.Value, r) != nil {
			*r = grantorRecord{term: kv.ModRevision}
		}
		out[kv.Key[len(quotaPrefix):]] = r
	}
	return out, nil
}

// campaign replaces the record that was read. After an unknown outcome the next
// read shows whether the write took effect.
func (g *grantors) campaign(ctx context.Context, self *member.Record, service string, old *grantorRecord) error {
	value, err := json.Marshal(grantorRecord{Name: self.Name, Incarnation: self.Incarnation, Control: self.Control})
	if err != nil {
		return errors.Wrap(err, "balancer: grantor record")
	}
	key := quotaPrefix + service
	condition := store.Compare{Key: key, Target: store.CompareMod}
	if old != nil {
		condition.Revision = old.term
	}
	result, err := g.store.Txn(ctx, []store.Compare{condition}, []store.Op{{Key: key, Value: value}})
	if err == nil && result.Succeeded {
		g.start(service, result.Revision)
	}
	return err
}

// publish tells the membership who the grantors are, for heartbeat answers.
func (g *grantors) publish(records map[string]*grantorRecord) {
	known := make(map[string]member.Grantor, len(records))
	for service, r := range records {
		if r.Control.IsValid() {
			known[service] = member.Grantor{ID: packet.AgentIDOf(r.Name), Control: r.Control, Term: r.term}
		}
	}
	g.members.Do(func(_ time.Duration, n *member.Node) { n.SetGrantors(known) })
}
