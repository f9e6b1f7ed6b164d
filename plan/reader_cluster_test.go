package plan_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/plan/fetch"
	"github.com/nutmegtrack/nutmegtrack/store"
)

const tick = 100 * time.Millisecond

// cluster simulates processes that read from one store and from each other in virtual time.
// In every tick each process receives the revision of one process chosen at random.
type cluster struct {
	now         time.Duration
	rng         *rand.Rand
	store       *fake.Store
	editor      *edit.Editor
	processes   []*process
	partitioned bool                     // processes reach only those whose index has the same parity
	texts       map[int64]plan.Documents // by qualified revision
}

// process is one balancer: a reader, and the daemon's side that performs its fetches.
type process struct {
	cluster *cluster
	index   int
	reader  *plan.Reader
	watch   <-chan store.WatchBatch
	watchID uint64
	cancel  context.CancelFunc
	highest int64
	fetched int // bytes of pages fetched
}

func newCluster(seed uint64, readers, others int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 0)), texts: map[int64]plan.Documents{}}
	c.store = fake.NewStore(func() time.Duration { return c.now })
	ids := 0
	c.editor = edit.New(edit.Config{
		Store: c.store, Author: "test", Wait: func(context.Context) {},
		Now:   func() time.Time { return time.Unix(0, 0).Add(c.now) },
		NewID: func() string { ids++; return fmt.Sprint(ids) },
	})
	for i := range readers + others {
		c.processes = append(c.processes, &process{cluster: c, index: i})
		c.restart(i, i < readers)
	}
	return c
}

func (c *cluster) restart(i int, readsStore bool) {
	p := c.processes[i]
	p.stopWatch()
	*p = process{cluster: c, index: i, reader: plan.NewReader(plan.ReaderConfig{}, c.rng)}
	p.reader.SetReadsStore(readsStore)
}

// edit applies new lists and records them by revision.
func (c *cluster) edit(docs plan.Documents) error {
	base, err := c.editor.Read(context.Background())
	if err != nil {
		return err
	}
	outcome, err := c.editor.Apply(context.Background(), base, func(plan.Documents) (plan.Documents, error) { return docs, nil })
	if err == nil && outcome.Status == edit.Accepted {
		c.texts[c.storedRevision()] = docs
	}
	return err
}

// storedRevision returns the qualified revision of the head in the store.
func (c *cluster) storedRevision() int64 {
	current, err := c.editor.Read(context.Background())
	if err != nil {
		panic(err)
	}
	return current.Head.Qualified()
}

func (c *cluster) outage(down bool) {
	c.store.Outage = down
	if down {
		c.store.BreakWatches()
	}
}

func (c *cluster) reachable(a, b *process) bool { return !c.partitioned || a.index%2 == b.index%2 }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += tick {
		for _, p := range c.processes {
			p.gossip(c.processes[c.rng.IntN(len(c.processes))])
			p.readWatch()
			// Fetches take no virtual time; the result of one may lead to the next.
			for fetches := p.reader.Step(c.now); len(fetches) > 0; fetches = p.reader.Step(c.now) {
				for _, f := range fetches {
					p.do(f)
				}
			}
			p.check()
		}
	}
}

func (p *process) gossip(other *process) {
	if other != p && p.cluster.reachable(p, other) {
		p.reader.SetPeerRevision(p.cluster.now, address(other.index), other.reader.Status().Revision)
	}
}

// check panics if a process has returned to a lower revision, or if its lists differ from
// those written for its revision.
func (p *process) check() {
	active := p.reader.Active()
	if active == nil {
		return
	}
	revision := active.Head.Qualified()
	if revision < p.highest {
		panic(fmt.Sprintf("process %d went from revision %d to %d", p.index, p.highest, revision))
	}
	p.highest = revision
	want := p.cluster.texts[p.highest]
	if string(active.Docs.Customers) != string(want.Customers) || string(active.Docs.Plans) != string(want.Plans) {
		panic(fmt.Sprintf("process %d has lists that differ from revision %d", p.index, p.highest))
	}
}

func (p *process) do(f plan.Fetch) {
	switch {
	case f.Kind == plan.StopWatch:
		p.stopWatch()
	case f.Kind == plan.WatchHead:
		p.startWatch(f)
	case f.Peer.IsValid():
		p.reader.FetchDone(p.cluster.now, f.ID, p.askPeer(f))
	default:
		result := fetch.FromStore(context.Background(), p.cluster.store, f)
		p.count(result.Pages)
		p.reader.FetchDone(p.cluster.now, f.ID, result)
	}
}

func (p *process) askPeer(f plan.Fetch) plan.Result {
	other := p.cluster.processes[f.Peer.Addr().As4()[3]-1]
	if !p.cluster.reachable(p, other) {
		return plan.Result{Err: store.ErrUnavailable}
	}
	if f.Kind == plan.FetchHead {
		return plan.Result{Head: other.reader.Head()}
	}
	pages := other.reader.Pages(f.Hashes)
	p.count(pages)
	return plan.Result{Pages: pages}
}

func (p *process) count(pages plan.Pages) {
	for _, page := range pages {
		p.fetched += len(page)
	}
}

func (p *process) startWatch(f plan.Fetch) {
	ctx, cancel := context.WithCancel(context.Background())
	events, err := p.cluster.store.Watch(ctx, plan.HeadKey, f.From)
	if err != nil {
		cancel()
		p.reader.FetchDone(p.cluster.now, f.ID, plan.Result{Err: err})
		return
	}
	p.watch, p.watchID, p.cancel = events, f.ID, cancel
}

func (p *process) stopWatch() {
	if p.cancel != nil {
		p.cancel()
	}
	p.watch, p.cancel = nil, nil
}

func (p *process) readWatch() {
	for {
		select {
		case event, open := <-p.watch:
			if !open {
				p.stopWatch()
				return
			}
			if event.Err != nil {
				p.reader.FetchDone(p.cluster.now, p.watchID, plan.Result{Err: event.Err})
			}
			for _, e := range event.Events {
				p.reader.WatchEvent(p.cluster.now, p.watchID, e.KV.Value)
			}
		default:
			return
		}
	}
}
