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
	// acceptRetry is the pause after a failed accept, such as one that found no
	// free file descriptor.
	acceptRetry = time.Second
	// closeWait bounds the wait for calls in progress when the process stops.
	closeWait = time.Second
)

// Control is the control service of one process with its client.
type Control struct {
	Client *control.Client
	Dump   *control.Dump
	server *control.Server
	log    *event.Logger
	done   chan struct{}
	once   sync.Once
	wait   sync.WaitGroup
}

// NewControl returns a control service that has the Dump service and adds its
// traffic to the registry's metrics. Its client connects from the address source, so
// that others can tell daemons apart.
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

// Register adds a service. A service whose methods net/rpc does not accept is a
// fault of the program, so Register panics.
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
			case <-time.After(acceptRetry):
			}
			c.log.Log(event.ControlFailed, "error", err)
		}
	})
}

// Close stops serving and calling.
func (c *Control) Close() {
	c.once.Do(func() {
		close(c.done)
		ctx, cancel := context.WithTimeout(context.Background(), closeWait)
		defer cancel()
		// Calls that outlast the wait are cut; their callers see a failed call.
		_ = c.server.Close(ctx)
		c.Client.Close()
		c.wait.Wait()
	})
}
