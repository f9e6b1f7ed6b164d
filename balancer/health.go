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

	// healthReadTimeout ends connections that never send a request.
	healthReadTimeout = 5 * time.Second
)

// health serves the state that the fabric polls: status 200 for ready, 503 for
// any other.
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

// start changes from starting to ready and has no effect in any other state.
func (h *health) start() bool { return h.state.CompareAndSwap(healthStarting, healthReady) }

// drain changes to draining, which is final.
func (h *health) drain() { h.state.Store(healthDraining) }

func (h *health) get() string { return h.state.Load().(string) }

// ServeHTTP answers every path.
func (h *health) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	state := h.get()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if state != healthReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(state + "\n"))
}

// serve returns after close.
func (h *health) serve(l net.Listener) { _ = h.server.Serve(l) }

func (h *health) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if h.server.Shutdown(ctx) != nil {
		_ = h.server.Close()
	}
}
