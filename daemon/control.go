package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/event"
)

const (
	// acceptRetryInterval is the pause after a failed accept, for example because the
	// process has no free file descriptor.
	acceptRetryInterval = time.Second
	// closeTimeout is the timeout for calls in progress when the process stops.
	closeTimeout = time.Second
)

// Control is the RPC server of one process together with its RPC client.
type Control struct {
	Client *control.Client
	Dump   *control.Dump
	server *control.Server
	log    *event.Logger
	done   chan struct{}
	once   sync.Once
	wait   sync.WaitGroup
}

// NewControl returns a server with the Dump service and a client. Both count their
// traffic in the registry. The client connects from the address source, so that other
// machines can distinguish the daemons on one VM.
func NewControl(registry metrics.Registry, log *event.Logger, source netip.Addr) *Control {
	counts := control.NewCounts(registry)
	c := &Control{
		Client: control.NewClient(control.ClientConfig{Source: source}, counts),
		Dump:   control.NewDump(),
		server: control.NewServer(counts),
		log:    log,
		done:   make(chan struct{}),
	}
	c.Dump.AddMetrics(registry)
	c.Register(control.DumpService, c.Dump)
	return c
}

// Register adds an RPC service. It panics if net/rpc rejects the service's methods, as
// that is a programming error.
func (c *Control) Register(name string, service any) {
	if err := c.server.Register(name, service); err != nil {
		panic(err)
	}
}

// Serve accepts connections in the background until Close.
func (c *Control) Serve(l net.Listener) {
	c.wait.Go(func() {
		for {
			err := c.server.Serve(l)
			select {
			case <-c.done:
				return
			case <-time.After(acceptRetryInterval):
			}
			c.log.Log(event.ControlFailed, "error", err)
		}
	})
}

// Close stops the server and the client. Further calls have no effect.
func (c *Control) Close() {
	c.once.Do(func() {
		close(c.done)
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		// Calls that are still in progress after closeTimeout are aborted; their callers
		// get an error.
		_ = c.server.Close(ctx)
		c.Client.Close()
		c.wait.Wait()
	})
}
