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

// newCalls returns a client for dumps, whose bytes nothing counts.
func newCalls() *control.Client {
	return control.NewClient(control.ClientConfig{Timeout: dumpTimeout}, control.NewCounts(nil))
}

// fleet is one deployment while it runs.
type fleet struct {
	spec  spec
	cfg   *Config
	dir   string // settings files and logs
	ports *ports
	life  context.Context         // ends with the run
	abort context.CancelCauseFunc // ends the run when a process fails
	stops sync.WaitGroup          // graceful shutdowns of balancers in progress
	calls *control.Client

	store  netip.AddrPort
	fabric fabricAddrs
	client netip.AddrPort // HTTP endpoint of the client process
	reply  netip.AddrPort // receives replies to the clients

	mu        sync.Mutex
	processes []*process // all that were started, in order
	balancers []*balancerVM
	upstreams []*upstreamVM
	numbers   map[string]int // last number given to a VM, by kind
	notes     []string       // violations seen during the run
	lists     listTimes
	history   []listsAt         // after each accepted edit
	domains   map[string]string // failure domain of each VM ever started
	cutDomain string            // failure domain that is cut from the others; empty for none

	relayCalls sync.Mutex // keeps updates of the relay's partitions in order
}

type fabricAddrs struct{ packets, control netip.AddrPort }

func newFleet(ctx context.Context, s spec, cfg *Config, root string, p *ports, abort context.CancelCauseFunc) (*fleet, error) {
	f := &fleet{
		spec:    s,
		cfg:     cfg,
		dir:     filepath.Join(root, s.name),
		ports:   p,
		life:    ctx,
		abort:   abort,
		calls:   newCalls(),
		numbers: make(map[string]int),
		domains: make(map[string]string),
	}
	return f, errors.Wrap(os.Mkdir(f.dir, 0o700), "directory of the deployment")
}

// say reports progress.
func (f *fleet) say(format string, args ...any) {
	fmt.Fprintf(f.cfg.Progress, "%s %s: %s\n", time.Now().Format("15:04:05.000"), f.spec.name, fmt.Sprintf(format, args...))
}

// violated notes that a guarantee was violated.
func (f *fleet) violated(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, f.spec.name+": "+fmt.Sprintf(format, args...))
}

// run starts a process of the executable that must not exit by itself.
func (f *fleet) run(name string, args ...string) (*process, error) {
	return f.start(name, args, func(p *process) { f.abort(p.failed("exited unexpectedly")) })
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

// vmName returns the next name of a kind of VM, and the failure domain it is in.
func (f *fleet) vmName(kind string) (name, domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.numbers[kind]++
	n := f.numbers[kind]
	name, domain = fmt.Sprintf("%s-%d", kind, n), f.spec.domains[(n-1)%len(f.spec.domains)]
	f.domains[name] = domain
	return name, domain
}

// end stops all processes, first by SIGTERM and then by SIGKILL.
func (f *fleet) end(grace time.Duration) {
	f.calls.Close()
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
		p.wait(killGrace)
	}
}

// liveBalancers returns the balancers that have not been asked to stop.
func (f *fleet) liveBalancers() []*balancerVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*balancerVM
	for _, b := range f.balancers {
		if !b.gone {
			live = append(live, b)
		}
	}
	return live
}

// startedBalancers returns the live balancers whose process runs. One that is about to
// start is live before, so that others have it as a seed.
func (f *fleet) startedBalancers() []*balancerVM {
	live := f.liveBalancers()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(live, func(b *balancerVM) bool { return b.process == nil })
}

// serving returns the upstreams of a service that nobody has drained or killed.
func (f *fleet) serving(service string) []*upstreamVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*upstreamVM
	for _, u := range f.upstreams {
		if u.service == service && u.drained.IsZero() && !u.killed {
			list = append(list, u)
		}
	}
	return list
}
