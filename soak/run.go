package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/platform/standin"
)

const (
	warmUp         = 3 * time.Second // from the start of the processes to the first fault
	requestTimeout = 4 * time.Second
	// longFlowTimeout lets a client use its open flow on while a whole fleet restarts: stopGrace
	// and the start of the processes.
	longFlowTimeout = 8 * time.Second
	longFlowUsers   = 3               // users of each client that send many requests on a flow
	newFlowUsers    = 2               // users of each client that open a new flow for each request
	finalCheckTime  = 4 * time.Second // after faultFreeTime, in which requests must succeed
	// The maximum pause between the faults of a run is chosen at random between these two, so
	// that runs differ in how closely their faults follow each other.
	minPauseLimit = 800 * time.Millisecond
	maxPauseLimit = 6 * time.Second
)

// Run executes one run. It returns an error if the run could not be completed; violations of
// the guarantees are in the result.
func Run(ctx context.Context, cfg Config) (Result, error) {
	cfg = cfg.withDefaults()
	result := Result{Seed: cfg.Seed, Busy: cfg.Busy}
	if len(faultsNamed(cfg.Only)) == 0 {
		return result, errors.Newf("soak: no fault is named %q", cfg.Only)
	}
	o := newOracle(&result)
	o.coldBound = cfg.coldBound()
	stopBusy, err := startBusy(cfg.Program, cfg.Busy)
	if err != nil {
		return result, err
	}
	defer stopBusy()
	f, err := startFleet(cfg, o)
	if err != nil {
		return result, err
	}
	defer f.stop()
	result.Network = f.cfg.networkName()
	var finalCheck atomic.Bool
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var users sync.WaitGroup
	f.startLoad(load, &users, &finalCheck)
	sleep(ctx, warmUp)
	f.injectFaults(ctx, &result)
	sleep(ctx, faultFreeTime)
	finalCheck.Store(true)
	sleep(ctx, finalCheckTime)
	finalCheck.Store(false)
	endLoad()
	users.Wait()
	f.checkLogs()
	return result, errors.Join(o.finish(), ctx.Err())
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// schedule chooses the faults of a run at random.
type schedule struct {
	rng      *rand.Rand
	faults   []fault
	maxPause time.Duration // maximum pause between the starts of two faults
}

func newSchedule(cfg *Config) schedule {
	s := schedule{rng: rand.New(rand.NewPCG(cfg.Seed, 2)), faults: faultsNamed(cfg.Only), maxPause: time.Duration(cfg.Pause * float64(time.Second))}
	if s.maxPause == 0 {
		s.maxPause = randomDuration(s.rng, minPauseLimit, maxPauseLimit)
	}
	return s
}

// next returns the next fault, its random number generator, and the pause after its start.
func (s schedule) next() (fault, *rand.Rand, time.Duration) {
	f := s.faults[s.rng.IntN(len(s.faults))]
	return f, rand.New(rand.NewPCG(s.rng.Uint64(), 3)), randomDuration(s.rng, s.maxPause/4, s.maxPause)
}

// injectFaults injects faults, which may overlap, and waits for the last to end.
func (f *fleet) injectFaults(ctx context.Context, result *Result) {
	s := newSchedule(&f.cfg)
	var running sync.WaitGroup
	end := time.Now().Add(time.Duration(f.cfg.Seconds * float64(time.Second)))
	for time.Now().Before(end) && ctx.Err() == nil {
		next, own, pause := s.next()
		fmt.Fprintf(f.cfg.Progress, "%s %s\n", time.Now().Format("15:04:05.000"), next.name)
		result.Faults++
		running.Go(func() { next.run(f, own) })
		sleep(ctx, pause)
	}
	running.Wait()
}

// startLoad starts the users of all clients.
func (f *fleet) startLoad(ctx context.Context, users *sync.WaitGroup, finalCheck *atomic.Bool) {
	for i, c := range f.clients {
		for u := range longFlowUsers + newFlowUsers {
			rng := rand.New(rand.NewPCG(f.cfg.Seed, uint64(100*i+u)))
			to := f.cfg.address(netRoute, rng.IntN(len(services)), 8443)
			user := user{client: c, to: to, name: fmt.Sprintf("c%du%d", i, u), rng: rng, oracle: f.oracle, finalCheck: finalCheck,
				requests: 1, timeout: requestTimeout}
			if u < longFlowUsers {
				user.requests, user.timeout = 30, longFlowTimeout
			}
			users.Go(func() { user.run(ctx) })
		}
	}
}

// user opens flows and sends requests on them, one at a time.
type user struct {
	client     *standin.Client
	to         netip.AddrPort
	name       string
	rng        *rand.Rand
	oracle     *oracle
	finalCheck *atomic.Bool
	requests   int // requests on each flow
	timeout    time.Duration
	sent       int
}

func (u *user) run(ctx context.Context) {
	for ctx.Err() == nil {
		finalCheck := u.finalCheck.Load()
		flow, err := u.client.Open(u.to)
		if err != nil {
			u.oracle.count(err, finalCheck)
			sleep(ctx, randomDuration(u.rng, 50*time.Millisecond, 200*time.Millisecond))
			continue
		}
		u.use(ctx, flow)
	}
}

func (u *user) use(ctx context.Context, flow *standin.Flow) {
	for range u.requests {
		u.sent++
		finalCheck := u.finalCheck.Load()
		err := flow.Request(fmt.Sprintf("%s-%d", u.name, u.sent), u.timeout)
		u.oracle.count(err, finalCheck)
		if err != nil {
			return
		}
		sleep(ctx, randomDuration(u.rng, 50*time.Millisecond, 400*time.Millisecond))
		if ctx.Err() != nil {
			break
		}
	}
	flow.Close()
}
