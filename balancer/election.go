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

// quotaPrefix is the store key prefix of the grantor records; the name of the service
// follows it.
const quotaPrefix = "quota/"

// grantorRecord is the value of a key with quotaPrefix and names the service's grantor.
// The mod revision of the key is the grantor's term.
type grantorRecord struct {
	Name        string         `json:"name"`
	Incarnation uint64         `json:"incarnation"`
	Control     netip.AddrPort `json:"control"`
	term        int64
}

func (r *grantorRecord) writtenBy(self *member.Record) bool {
	return r.Name == self.Name && r.Incarnation == self.Incarnation
}

// grantorUnreachableAfter is how long a grantor must have been unreachable for this balancer to
// replace it although its record says that it is ready. A grantor that is paused for less keeps its
// tokens.
const grantorUnreachableAfter = 10 * time.Second

// electionInput is the membership data that an election uses.
type electionInput struct {
	self       member.Record
	balancers  []member.Record // live ones, from which grantors are elected
	incumbents []member.Record // balancers that may be grantors at present
	services   []string
}

func (g *grantors) electionInput() (e electionInput) {
	g.members.Do(func(_ time.Duration, n *member.Node) {
		e.self = n.Self()
		e.balancers = n.Table().LiveBalancers()
		for _, b := range n.Table().Balancers() {
			if n.Table().UnreachableFor(b.Control) < grantorUnreachableAfter {
				e.incumbents = append(e.incumbents, b)
			}
		}
		for _, s := range n.Table().View().Services {
			e.services = append(e.services, s.Name)
		}
	})
	return e
}

// writerReady reports whether the balancer process that wrote the record is ready.
func (e *electionInput) writerReady(r *grantorRecord) bool {
	for i := range e.incumbents {
		b := &e.incumbents[i]
		if r.writtenBy(b) {
			return b.State == flow.Ready
		}
	}
	return false
}

// preferredGrantor selects the service's next grantor among the live balancers whose membership
// record is Ready by rendezvous hashing and returns its name. Its score, a hash of both
// names, differs from the score in package rendezvous, by which homes, arbiters and
// candidates are ranked.
func (e *electionInput) preferredGrantor(service string) (name string) {
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

// electIfDue calls elect if the interval since the last election has passed. The
// interval limits the reads of all balancers to electionReadsPerSecond.
func (g *grantors) electIfDue(ctx context.Context) {
	now := g.clock()
	if now < g.nextElection {
		return
	}
	balancers := 0
	g.members.Do(func(_ time.Duration, n *member.Node) { balancers = len(n.Table().Balancers()) })
	// The margin prevents a timer that fires slightly early from skipping an election.
	g.nextElection = now + electionInterval(balancers) - minElectionInterval/2
	g.elect(ctx)
}

// electionInterval returns the interval between two elections of each of n balancers.
func electionInterval(n int) time.Duration {
	return max(minElectionInterval, time.Duration(n)*time.Second/electionReadsPerSecond)
}

// elect reads the grantor records, starts and ends terms accordingly, and campaigns for
// the services that shouldCampaign selects. If the store does not respond, all terms
// continue. Unless the store is unreachable for all, another balancer may then replace
// this one when it no longer considers it ready; the term here ends at the next successful
// read, or when a holder's message contains the higher term.
func (g *grantors) elect(ctx context.Context) {
	g.electionMu.Lock()
	defer g.electionMu.Unlock()
	records, err := g.readRecords(ctx)
	if err != nil {
		g.storeFailureLog.Log("key", quotaPrefix, "error", err)
		return
	}
	e := g.electionInput()
	g.syncTerms(&e.self, records)
	g.publish(records)
	// A balancer that drains does not become a grantor. Until startTimeout the membership
	// may lack the balancer of a record, which would then be replaced although it is ready.
	// A grantor without lists has no limits and would recall all tokens.
	if e.self.State != flow.Ready || g.clock() < startTimeout || g.active() == nil {
		return
	}
	for _, service := range e.services {
		r := records[service]
		if !g.shouldCampaign(&e, service, r) {
			continue
		}
		if err := g.campaign(ctx, &e.self, service, r); err != nil {
			g.storeFailureLog.Log("key", quotaPrefix+service, "error", err)
		}
	}
}

// shouldCampaign reports whether this balancer should campaign for the service.
func (g *grantors) shouldCampaign(e *electionInput, service string, r *grantorRecord) bool {
	if r != nil && g.termEnded(service, r, &e.self) {
		return true
	}
	return (r == nil || !e.writerReady(r)) && e.preferredGrantor(service) == e.self.Name
}

func (g *grantors) readRecords(ctx context.Context) (map[string]*grantorRecord, error) {
	kvs, _, err := g.store.List(ctx, quotaPrefix)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*grantorRecord, len(kvs))
	for _, kv := range kvs {
		r, err := decodeGrantorRecord(kv.Value)
		g.unreadable.Log(kv, err)
		r.term = kv.ModRevision
		out[kv.Key[len(quotaPrefix):]] = &r
	}
	return out, nil
}

// decodeGrantorRecord decodes the value of a grantor record. With an error it returns a record
// of no balancer, which an election replaces.
func decodeGrantorRecord(value []byte) (grantorRecord, error) {
	var r grantorRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return grantorRecord{}, errors.Wrap(err, "balancer: decode grantor record")
	}
	if r.Name == "" || r.Incarnation == 0 || r.Control.Port() == 0 {
		return grantorRecord{}, errors.Newf("balancer: grantor record of %q, incarnation %d, at %s", r.Name, r.Incarnation, r.Control)
	}
	return r, nil
}

// campaign replaces the record old by one of this balancer unless the record has
// changed since it was read, and starts a term if the write succeeds. If the outcome is
// unknown, the next election reads whether the write took effect.
func (g *grantors) campaign(ctx context.Context, self *member.Record, service string, old *grantorRecord) error {
	value, err := json.Marshal(grantorRecord{Name: self.Name, Incarnation: self.Incarnation, Control: self.Control})
	if err != nil {
		return errors.Wrap(err, "balancer: encode grantor record")
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

// publish passes the grantors to the membership node, which sends them to agents in
// heartbeat replies.
func (g *grantors) publish(records map[string]*grantorRecord) {
	known := make(map[string]member.Grantor, len(records))
	for service, r := range records {
		if r.Control.IsValid() {
			known[service] = member.Grantor{ID: packet.AgentIDOf(r.Name), Control: r.Control, Term: r.term}
		}
	}
	g.members.Do(func(_ time.Duration, n *member.Node) { n.SetGrantors(known) })
}
