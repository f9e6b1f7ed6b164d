package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/store"
)

const (
	// collectInterval is the interval of the collector's steps.
	collectInterval = time.Second
	// leaseTTL is the time for which a dead collector keeps its failure domain's
	// lease. The shard is only read by starting balancers, so it need not be short.
	leaseTTL = 10 * time.Second
	// renewInterval leaves room for two lost renewals.
	renewInterval = leaseTTL / 3
	// revokeLimit bounds the wait for the store when the process stops.
	revokeLimit = time.Second
)

// collector reads the shards at the start, and writes its failure domain's shard
// while it holds the domain's lease.
type collector struct {
	store   store.Store
	shard   *member.ShardWriter
	members *daemon.Members[*member.Node]
	clock   daemon.Clock
	domain  string
	failed  *daemon.LogLimiter
	loaded  daemon.Waker  // woken when the shards have been read
	pause   time.Duration // between two looks at the lease that another one holds

	mu      sync.Mutex // held during a step, with its calls to the store
	read    bool       // the shards of all domains have been read
	lease   store.LeaseID
	renewed time.Duration
	looked  time.Duration // when the lease of another was last seen
	stopped bool
}

func newCollector(b *Balancer, s store.Store) *collector {
	return &collector{
		store:   s,
		shard:   member.NewShardWriter(b.cfg.FailureDomain, b.cfg.Name),
		members: b.members,
		clock:   b.clock,
		domain:  b.cfg.FailureDomain,
		pause:   b.options.CollectorPause,
		failed:  daemon.NewLogLimiter(b.log, b.clock, event.StoreFailed),
		loaded:  b.wake,
	}
}

// step makes the calls that are due. An error ends the step; the next one tries
// again.
func (c *collector) step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	if err := c.advance(ctx); err != nil && ctx.Err() == nil {
		c.failed.Log("error", err)
	}
}

func (c *collector) advance(ctx context.Context) error {
	if err := c.readAll(ctx); err != nil {
		return err
	}
	candidate := false
	c.members.Do(func(_ time.Duration, n *member.Node) { candidate = c.shard.Candidate(n.Table()) })
	if !candidate {
		return c.giveUp(ctx)
	}
	if err := c.holdLease(ctx); err != nil || c.shard.Term() == 0 {
		return err
	}
	if err := c.load(ctx); err != nil {
		return err
	}
	return c.write(ctx)
}

// readAll reads the shards of all failure domains once.
func (c *collector) readAll(ctx context.Context) error {
	if c.read {
		return nil
	}
	// Agents that have joined since announce themselves.
	shards, _, err := c.store.List(store.AllowStale(ctx), member.ShardPrefix)
	if err != nil {
		return err
	}
	c.read = true
	for _, kv := range shards {
		records, err := member.DecodeShard(kv.Value)
		if err != nil {
			c.failed.Log("key", kv.Key, "error", err)
			continue
		}
		c.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, records) })
	}
	c.loaded.Wake()
	return nil
}

// holdLease renews the lease, or campaigns for the domain's lease key.
func (c *collector) holdLease(ctx context.Context) error {
	if err := c.renew(ctx); err != nil {
		return err
	}
	if c.shard.Term() != 0 {
		return nil
	}
	if c.looked != 0 && c.clock()-c.looked < c.pause {
		return nil
	}
	look := ctx
	if c.lease == 0 {
		// A campaign has the key's absence as its condition.
		look = store.AllowStale(ctx)
	}
	kv, err := c.store.Get(look, member.LeaseKey(c.domain))
	if err == nil {
		if !c.shard.ReadLease(kv) {
			c.looked = c.clock()
		}
		return nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	return c.campaign(ctx)
}

// renew keeps the lease alive. A lease that could not be renewed for its whole time
// counts as lost, by this process's own clock.
func (c *collector) renew(ctx context.Context) error {
	if c.lease == 0 || c.clock()-c.renewed < renewInterval {
		return nil
	}
	begun := c.clock()
	_, err := c.store.KeepAlive(ctx, c.lease)
	switch {
	case err == nil:
		c.renewed = begun
		return nil
	case errors.Is(err, store.ErrNotFound), c.clock()-c.renewed >= leaseTTL:
		c.lose()
	}
	return err
}

func (c *collector) lose() {
	c.shard.LeaseLost()
	c.lease = 0
}

func (c *collector) campaign(ctx context.Context) error {
	if c.lease == 0 {
		begun := c.clock()
		lease, err := c.store.Grant(ctx, leaseTTL)
		if err != nil {
			return err
		}
		c.lease, c.renewed = lease, begun
	}
	conditions, writes := c.shard.Campaign(c.lease)
	result, err := c.store.Txn(ctx, conditions, writes)
	// After an unknown outcome the next step reads the lease key.
	c.shard.Campaigned(result, err)
	return err
}

// load reads the domain's shard at the beginning of a term and after any doubt.
func (c *collector) load(ctx context.Context) error {
	if !c.shard.NeedsLoad() {
		return nil
	}
	kv, err := c.store.Get(ctx, member.ShardKey(c.domain))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	records, err := c.shard.Load(kv)
	c.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, records) })
	return err
}

func (c *collector) write(ctx context.Context) error {
	var (
		conditions []store.Compare
		writes     []store.Op
		due        bool
		err        error
	)
	c.members.Do(func(now time.Duration, n *member.Node) {
		conditions, writes, due, err = c.shard.Write(now, n.Table())
	})
	if err != nil || !due {
		return err
	}
	result, err := c.store.Txn(ctx, conditions, writes)
	c.shard.Written(result, err)
	return err
}

// giveUp returns the lease, so that the next collector need not wait for its end.
func (c *collector) giveUp(ctx context.Context) error {
	if c.lease == 0 {
		return nil
	}
	lease := c.lease
	c.lose()
	return c.store.Revoke(ctx, lease)
}

// stop returns the lease and ends the collector's work.
func (c *collector) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, revokeLimit)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if err := c.giveUp(ctx); err != nil {
		c.failed.Log("error", err)
	}
}
