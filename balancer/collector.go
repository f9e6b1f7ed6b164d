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
	// collectorInterval is the interval between two collector steps.
	collectorInterval = time.Second
	// leaseTTL is the lifetime of the lease and its key without renewal, and therefore how
	// long a failure domain has no collector after its collector has failed. It need not
	// be short, because only starting balancers and new collectors read the shard.
	leaseTTL = 10 * time.Second
	// renewInterval is short enough that the lease survives two failed renewals.
	renewInterval = leaseTTL / 3
	// revokeTimeout is the timeout for revoking the lease when the process stops.
	revokeTimeout = time.Second
)

// collector reads the shards of all failure domains at the start, and writes the shard
// of its own domain while it has the domain's lease key.
type collector struct {
	store        store.Store
	shard        *member.ShardWriter
	members      *daemon.Members[*member.Node]
	clock        daemon.Clock
	domain       string
	failureLog   *daemon.LogLimiter
	wake         daemon.Waker  // triggers a step of the balancer once the shards have been read
	pollInterval time.Duration // minimum interval between reads of a lease key held by another balancer

	mu         sync.Mutex    // locked during a step, including its store calls
	shardsRead bool          // the shards of all domains have been read
	lease      store.LeaseID // 0 if there is none; a candidate keeps it also without the lease key
	renewedAt  time.Duration
	polledAt   time.Duration // when another balancer's lease key was last read
	stopped    bool
}

func newCollector(b *Balancer, s store.Store) *collector {
	return &collector{
		store:        s,
		shard:        member.NewShardWriter(b.cfg.FailureDomain, b.cfg.Name),
		members:      b.members,
		clock:        b.clock,
		domain:       b.cfg.FailureDomain,
		pollInterval: b.options.CollectorPollInterval,
		failureLog:   daemon.NewLogLimiter(b.log, b.clock, event.StoreFailed),
		wake:         b.wake,
	}
}

// step makes the store calls that are due. An error ends the step; the next step
// retries.
func (c *collector) step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	if err := c.advance(ctx); err != nil && ctx.Err() == nil {
		c.failureLog.Log("error", err)
	}
}

func (c *collector) advance(ctx context.Context) error {
	if err := c.readShards(ctx); err != nil {
		return err
	}
	candidate := false
	c.members.Do(func(_ time.Duration, n *member.Node) { candidate = c.shard.Candidate(n.Table()) })
	if !candidate {
		return c.revokeLease(ctx)
	}
	if err := c.ensureLease(ctx); err != nil || c.shard.Term() == 0 {
		return err
	}
	if err := c.loadShard(ctx); err != nil {
		return err
	}
	return c.write(ctx)
}

// readShards reads the shards of all failure domains once.
func (c *collector) readShards(ctx context.Context) error {
	if c.shardsRead {
		return nil
	}
	// A stale read is sufficient: agents that the shards do not contain yet announce
	// themselves.
	shards, _, err := c.store.List(store.AllowStale(ctx), member.ShardPrefix)
	if err != nil {
		return err
	}
	c.shardsRead = true
	for _, kv := range shards {
		records, err := member.DecodeShard(kv.Value)
		if err != nil {
			c.failureLog.Log("key", kv.Key, "error", err)
			continue
		}
		c.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, records) })
	}
	c.members.Do(func(_ time.Duration, n *member.Node) { n.SetLoaded() })
	c.wake.Wake()
	return nil
}

// ensureLease renews the store lease. If this balancer does not have the lease key, it campaigns
// for the key unless another balancer has it.
func (c *collector) ensureLease(ctx context.Context) error {
	if err := c.renew(ctx); err != nil {
		return err
	}
	if c.shard.Term() != 0 {
		return nil
	}
	if c.polledAt != 0 && c.clock()-c.polledAt < c.pollInterval {
		return nil
	}
	getCtx := ctx
	if c.lease == 0 {
		// A stale read is safe, because the campaign's transaction requires that the key
		// does not exist.
		getCtx = store.AllowStale(ctx)
	}
	kv, err := c.store.Get(getCtx, member.LeaseKey(c.domain))
	if err == nil {
		if !c.shard.HandleLease(kv) {
			c.polledAt = c.clock()
		}
		return nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	return c.campaign(ctx)
}

// renew renews the lease when that is due. If no renewal has succeeded within leaseTTL
// by this process's own clock, the lease counts as lost.
func (c *collector) renew(ctx context.Context) error {
	if c.lease == 0 || c.clock()-c.renewedAt < renewInterval {
		return nil
	}
	sentAt := c.clock()
	_, err := c.store.KeepAlive(ctx, c.lease)
	switch {
	case err == nil:
		c.renewedAt = sentAt
		return nil
	case errors.Is(err, store.ErrNotFound), c.clock()-c.renewedAt >= leaseTTL:
		c.dropLease()
	}
	return err
}

func (c *collector) dropLease() {
	c.shard.LeaseLost()
	c.lease = 0
}

func (c *collector) campaign(ctx context.Context) error {
	if c.lease == 0 {
		sentAt := c.clock()
		lease, err := c.store.Grant(ctx, leaseTTL)
		if err != nil {
			return err
		}
		c.lease, c.renewedAt = lease, sentAt
	}
	conditions, writes := c.shard.CampaignTxn(c.lease)
	result, err := c.store.Txn(ctx, conditions, writes)
	// If the outcome is unknown, the next step reads the lease key.
	c.shard.Campaigned(result, err)
	return err
}

// loadShard reads the domain's shard from the store at the start of a term and whenever the
// shard writer does not know its stored value.
func (c *collector) loadShard(ctx context.Context) error {
	if !c.shard.NeedsLoad() {
		return nil
	}
	kv, err := c.store.Get(ctx, member.ShardKey(c.domain))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	records, err := c.shard.HandleShard(kv)
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
		conditions, writes, due, err = c.shard.WriteTxn(now, n.Table())
	})
	if err != nil || !due {
		return err
	}
	result, err := c.store.Txn(ctx, conditions, writes)
	c.shard.Written(result, err)
	return err
}

// revokeLease revokes the lease, so that the next collector need not wait until it expires.
func (c *collector) revokeLease(ctx context.Context) error {
	if c.lease == 0 {
		return nil
	}
	lease := c.lease
	c.dropLease()
	return c.store.Revoke(ctx, lease)
}

// stop revokes the lease and disables further steps.
func (c *collector) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if err := c.revokeLease(ctx); err != nil {
		c.failureLog.Log("error", err)
	}
}
