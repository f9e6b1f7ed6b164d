package demo

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/control"
)

// newControlClient returns a control client for dumps. Their bytes are not part of the
// measured control traffic.
func newControlClient() *control.Client {
	return control.NewClient(control.ClientConfig{Timeout: dumpTimeout}, control.NewCounts(nil))
}

// fleet is one running deployment.
type fleet struct {
	spec          spec
	cfg           *Config
	dir           string // settings files and logs
	ports         *ports
	ctx           context.Context         // canceled at the end of the run
	abort         context.CancelCauseFunc // ends the run with an error
	balancerStops sync.WaitGroup          // graceful shutdowns of balancers in progress
	controlClient *control.Client

	storeAddr     netip.AddrPort
	fabric        fabricAddrs
	clientControl netip.AddrPort // HTTP endpoint of the client process
	replyAddr     netip.AddrPort // receives replies to the clients

	mu                sync.Mutex
	processes         []*process // all started processes, in order
	balancers         []*balancerVM
	upstreams         []*upstreamVM
	lastNumber        map[string]int // number of the latest VM, by kind
	violations        []string       // violations found during the run
	lists             listStats
	history           []datedLists      // the lists after each accepted edit
	domains           map[string]string // failure domain of each VM ever started
	partitionedDomain string            // failure domain partitioned from the others; empty for none

	relayUpdates sync.Mutex // serializes updates of the relay's partitions
}

type fabricAddrs struct{ packets, control netip.AddrPort }

func newFleet(ctx context.Context, s spec, cfg *Config, root string, p *ports, abort context.CancelCauseFunc) (*fleet, error) {
	f := &fleet{
		spec:          s,
		cfg:           cfg,
		dir:           filepath.Join(root, s.name),
		ports:         p,
		ctx:           ctx,
		abort:         abort,
		controlClient: newControlClient(),
		lastNumber:    make(map[string]int),
		domains:       make(map[string]string),
	}
	return f, errors.Wrap(os.Mkdir(f.dir, 0o700), "directory of the deployment")
}

// logf writes a line to the progress output.
func (f *fleet) logf(format string, args ...any) {
	fmt.Fprintf(f.cfg.Progress, "%s %s: %s\n", time.Now().Format("15:04:05.000"), f.spec.name, fmt.Sprintf(format, args...))
}

// addViolation records the violation of a guarantee.
func (f *fleet) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, f.spec.name+": "+fmt.Sprintf(format, args...))
}

// startMonitored starts a process of the executable. An exit that the demo has not
// requested ends the run.
func (f *fleet) startMonitored(name string, args ...string) (*process, error) {
	return f.start(name, args, func(p *process) { f.abort(p.failure("exited unexpectedly")) })
}

func (f *fleet) start(name string, args []string, onExit func(*process)) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, err := startProcess(f.cfg.Executable, f.dir, name, args, onExit)
	if err == nil {
		f.processes = append(f.processes, p)
	}
	return p, err
}

// vmName returns the name of a new VM of the given kind, and its failure domain.
func (f *fleet) vmName(kind string) (name, domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNumber[kind]++
	n := f.lastNumber[kind]
	name, domain = fmt.Sprintf("%s-%d", kind, n), f.spec.domains[(n-1)%len(f.spec.domains)]
	f.domains[name] = domain
	return name, domain
}

// stopAll stops all processes by SIGTERM, and by SIGKILL those that are still running
// after grace.
func (f *fleet) stopAll(grace time.Duration) {
	f.controlClient.Close()
	f.mu.Lock()
	all := slices.Clone(f.processes)
	f.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(grace)
	for _, p := range all {
		if !p.wait(time.Until(deadline)) {
			p.signal(syscall.SIGKILL)
		}
	}
	for _, p := range all {
		p.wait(killTimeout)
	}
}

// liveBalancers returns the balancers that have been neither stopped nor killed.
func (f *fleet) liveBalancers() []*balancerVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*balancerVM
	for _, b := range f.balancers {
		if !b.stopping {
			live = append(live, b)
		}
	}
	return live
}

// startedBalancers returns the live balancers whose process has been started. A balancer
// is live before its process starts, so that the settings of other balancers already
// contain its address as a seed.
func (f *fleet) startedBalancers() []*balancerVM {
	live := f.liveBalancers()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(live, func(b *balancerVM) bool { return b.process == nil })
}

// servingUpstreams returns the upstreams of a service that have been neither drained nor
// killed.
func (f *fleet) servingUpstreams(service string) []*upstreamVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*upstreamVM
	for _, u := range f.upstreams {
		if u.service == service && u.drainStart.IsZero() && !u.killed {
			list = append(list, u)
		}
	}
	return list
}
