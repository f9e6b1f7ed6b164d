package balancer

import (
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/flow"
)

// router guards a flow.Router. It is safe for concurrent use.
type router struct {
	clock  daemon.Clock
	mu     sync.Mutex
	router *flow.Router
}

func newRouter(clock daemon.Clock, hints int) *router {
	return &router{clock: clock, router: flow.NewRouter(flow.RouterConfig{Hints: hints})}
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
