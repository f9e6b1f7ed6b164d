package balancer

import (
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// router is a flow.Router with a mutex. It is safe for concurrent use.
type router struct {
	clock  daemon.Clock
	mu     sync.Mutex
	router *flow.Router
}

func newRouter(clock daemon.Clock, cfg *settings.Balancer) *router {
	c := flow.RouterConfig{Hints: cfg.HintEntries}
	if cfg.LocalAboveBytes > 0 {
		c.FailureDomain, c.LocalAbove = cfg.FailureDomain, uint64(cfg.LocalAboveBytes)
	}
	return &router{clock: clock, router: flow.NewRouter(c)}
}

// do runs f with exclusive access to the router.
func (r *router) do(f func(now time.Duration, r *flow.Router)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.clock(), r.router)
}

func (r *router) setView(v *flow.View) {
	r.do(func(now time.Duration, r *flow.Router) { r.SetView(now, v) })
}
