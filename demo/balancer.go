package demo

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// balancerVM is one balancer process.
type balancerVM struct {
	name, domain                     string
	process                          *process
	data, health, control, advertise netip.AddrPort
	stopping                         bool // was sent SIGTERM or SIGKILL
	exited                           bool // after a graceful shutdown
}

// balancerStopTimeout is the timeout for a graceful shutdown: the setting drain_seconds of
// the templates and a margin for a busy machine.
const balancerStopTimeout = 10 * time.Second

// newBalancer assigns the name, the failure domain and the addresses of a balancer.
func (f *fleet) newBalancer() (*balancerVM, error) {
	control, err := f.ports.nextHost()
	if err != nil {
		return nil, err
	}
	addrs, err := f.ports.nextPorts(3)
	if err != nil {
		return nil, err
	}
	b := &balancerVM{data: addrs[0], health: addrs[1], control: control, advertise: addrs[2]}
	b.name, b.domain = f.vmName("balancer")
	return b, nil
}

// startBalancers starts n balancers. The seeds of each are all live balancers,
// including the n new ones.
func (f *fleet) startBalancers(ctx context.Context, n int) error {
	var added []*balancerVM
	for range n {
		b, err := f.newBalancer()
		if err != nil {
			return err
		}
		added = append(added, b)
	}
	f.mu.Lock()
	f.balancers = append(f.balancers, added...)
	f.mu.Unlock()
	for _, b := range added {
		if err := f.startBalancer(ctx, b); err != nil {
			return err
		}
	}
	return f.updateFabricBalancers(ctx)
}

func (f *fleet) startBalancer(ctx context.Context, b *balancerVM) error {
	if err := f.addRoute(ctx, b.name, b.advertise, b.control); err != nil {
		return err
	}
	path, err := writeSettings(f.dir, balancerFile(f.spec.name), b.name, map[string]any{
		"/name":              b.name,
		"/failure_domain":    b.domain,
		"/data_address":      b.data,
		"/health_address":    b.health,
		"/control_listen":    b.control,
		"/control_advertise": b.advertise,
		"/seeds":             f.seedAddresses(),
		"/store/endpoints":   []string{"http://" + f.storeAddr.String()},
	})
	if err != nil {
		return err
	}
	p, err := f.startMonitored(b.name, "balancer", "--settings", path)
	f.mu.Lock()
	defer f.mu.Unlock()
	b.process = p
	return err
}

// seedAddresses returns the advertised control addresses of the live balancers.
func (f *fleet) seedAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, b := range f.liveBalancers() {
		list = append(list, b.advertise)
	}
	return list
}

// stopBalancer requests a graceful shutdown and checks in the background that the
// balancer exits with status 0.
func (f *fleet) stopBalancer(b *balancerVM) {
	f.mu.Lock()
	b.stopping = true
	f.mu.Unlock()
	b.process.signal(syscall.SIGTERM)
	f.balancerStops.Go(func() { f.checkStop(f.ctx, b) })
}

func (f *fleet) checkStop(ctx context.Context, b *balancerVM) {
	select {
	case <-b.process.exited:
	case <-time.After(balancerStopTimeout):
		f.addViolation("%s did not stop within %s", b.name, balancerStopTimeout)
		return
	case <-ctx.Done():
		return
	}
	if status := b.process.cmd.ProcessState; !status.Success() {
		f.abort(b.process.failure("graceful shutdown failed"))
		return
	}
	f.mu.Lock()
	b.exited = true
	f.mu.Unlock()
	if err := f.updateFabricBalancers(ctx); err != nil && ctx.Err() == nil {
		f.abort(errors.Wrap(err, "fabric"))
	}
}

// killBalancer kills a balancer without notifying the fabric, which detects the loss by
// its health checks.
func (f *fleet) killBalancer(b *balancerVM) {
	f.mu.Lock()
	b.stopping = true
	f.mu.Unlock()
	b.process.kill()
}
