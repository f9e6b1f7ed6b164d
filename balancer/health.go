package balancer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	healthReady    = "ready"
	healthStarting = "starting"
	healthDraining = "draining"

	// healthReadTimeout is the timeout for receiving the header of a request. It closes
	// connections that send none.
	healthReadTimeout = 5 * time.Second
)

// health serves the balancer's health state, which the fabric polls: HTTP status 200 if
// ready, 503 otherwise. It is separate from the state in the balancer's membership record,
// which is Ready from the start of the process until it drains.
type health struct {
	state  atomic.Value // string
	server http.Server
}

func newHealth() *health {
	h := &health{}
	h.state.Store(healthStarting)
	h.server.Handler = h
	h.server.ReadHeaderTimeout = healthReadTimeout
	return h
}

// start changes the state from starting to ready; it has no effect in other states.
func (h *health) start() bool { return h.state.CompareAndSwap(healthStarting, healthReady) }

// drain changes the state to draining, which is final.
func (h *health) drain() { h.state.Store(healthDraining) }

func (h *health) get() string { return h.state.Load().(string) }

// ServeHTTP implements http.Handler. It responds on every path.
func (h *health) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	state := h.get()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if state != healthReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(state + "\n"))
}

// serve accepts connections until close is called.
func (h *health) serve(l net.Listener) { _ = h.server.Serve(l) }

func (h *health) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if h.server.Shutdown(ctx) != nil {
		_ = h.server.Close()
	}
}
