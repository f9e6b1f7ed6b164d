package balancer

import (
	"math/bits"
	"sync"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// shardsPerReader keeps readers from waiting for each other: with two shards for
// each of them, most packets find their shard's mutex free.
const shardsPerReader = 2

// router spreads flows over several flow.Routers. It is safe for concurrent use.
type router struct {
	clock  daemon.Clock
	shift  int // keeps the bits of a hash that select a shard
	shards []shard
}

type shard struct {
	mu     sync.Mutex
	router *flow.Router
	_      [48]byte // keeps the mutexes of two shards out of one cache line
}

func newRouter(clock daemon.Clock, readers, hints int) *router {
	log := bits.Len(uint(readers*shardsPerReader - 1))
	r := &router{clock: clock, shift: 64 - log, shards: make([]shard, 1<<log)}
	for i := range r.shards {
		r.shards[i].router = flow.NewRouter(flow.RouterConfig{Hints: max(1, hints>>log)})
	}
	return r
}

// shardOf selects by the hash's high bits; flow.Router uses the low ones.
func (r *router) shardOf(k *packet.Key) *shard { return &r.shards[k.Hash()>>r.shift] }

func (r *router) route(in *packet.Info) flow.Decision {
	s := r.shardOf(&in.Key)
	s.mu.Lock()
	d := s.router.Route(r.clock(), in)
	s.mu.Unlock()
	return d
}

func (r *router) learn(k *packet.Key, owner packet.AgentID) {
	s := r.shardOf(k)
	s.mu.Lock()
	s.router.Learn(r.clock(), k, owner)
	s.mu.Unlock()
}

func (r *router) setView(v *flow.View) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.router.SetView(r.clock(), v)
		s.mu.Unlock()
	}
}
