package demo

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// shutdownGrace is how long processes have to exit after SIGTERM at the end of a run.
	// Agents whose flows end only by idle timeout take longer and are killed.
	shutdownGrace = 2 * time.Second
)

// Run runs the demo until it is complete or ctx ends. It stops all processes that it has
// started before it returns. The error names the process that failed.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	root, err := os.MkdirTemp("", "nutmegtrack-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary directory")
	}
	all, err := runAll(ctx, &cfg, root)
	if err != nil || cfg.Keep {
		fmt.Fprintln(cfg.Progress, "settings and logs are in", root)
	} else {
		_ = os.RemoveAll(root)
	}
	if err != nil {
		return nil, err
	}
	return newResult(all), nil
}

// runAll runs all deployments concurrently.
func runAll(ctx context.Context, cfg *Config, root string) ([]*deploymentReport, error) {
	ports := newPorts()
	all := make([]*deploymentReport, len(cfg.Deployments))
	group, ctx := errgroup.WithContext(ctx)
	for i, name := range cfg.Deployments {
		group.Go(func() error {
			d, err := runDeployment(ctx, cfg, i, name, root, ports)
			all[i] = d
			return errors.Wrap(err, name)
		})
	}
	return all, group.Wait()
}

func runDeployment(ctx context.Context, cfg *Config, index int, name, root string, p *ports) (*deploymentReport, error) {
	s, err := loadSpec(name)
	if err != nil {
		return nil, err
	}
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	f, err := newFleet(ctx, s, cfg, root, p, abort)
	if err != nil {
		return nil, err
	}
	defer f.stopAll(shutdownGrace)
	d, err := f.deploy(ctx, index)
	if cause := context.Cause(ctx); cause != nil {
		return nil, cause
	}
	return d, err
}

// deploy starts the deployment, generates load and changes, and reads the reports of the
// stand-ins.
func (f *fleet) deploy(ctx context.Context, index int) (*deploymentReport, error) {
	if err := f.startAll(ctx); err != nil {
		return nil, err
	}
	rng := f.cfg.rng(index)
	schedule := newSchedule(f.cfg.actions(), f.cfg.duration(), rng)
	edits := editSchedule(f.cfg.duration(), rng)
	faults := faultSchedule(f.cfg.duration(), rng)
	// The outage follows the last edit in the same schedule, because an edit of editSchedule
	// would fail during the outage.
	edits = append(edits, outageSchedule(f.cfg.duration(), rng)...)
	if err := f.startLoad(ctx); err != nil {
		return nil, err
	}
	f.logf("load started")
	balance, rate, err := f.underLoad(ctx, schedule, edits, faults)
	if err != nil {
		return nil, err
	}
	if err := f.endLoad(ctx); err != nil {
		return nil, err
	}
	f.logf("load ended")
	f.balancerStops.Wait()
	d, err := f.collectReport(ctx)
	if err != nil {
		return nil, err
	}
	d.balance, d.controlRate, d.daemons = balance, rate, f.daemonCount()
	return d, nil
}

func (f *fleet) startAll(ctx context.Context) error {
	f.logf("starting")
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startBalancers(ctx, f.spec.balancers); err != nil {
		return err
	}
	if err := f.startUpstreams(ctx); err != nil {
		return err
	}
	if err := f.waitForViews(ctx); err != nil {
		return err
	}
	if err := f.waitForHealthy(ctx); err != nil {
		return err
	}
	return f.loadLists(ctx)
}

// underLoad runs the schedules concurrently until they and the duration of the load are
// over. It returns the balance, and the control traffic in bytes per second and daemon.
func (f *fleet) underLoad(ctx context.Context, schedules ...[]scheduledAction) ([]imbalance, float64, error) {
	start := time.Now()
	before, err := f.controlBytes(ctx)
	if err != nil {
		return nil, 0, err
	}
	var balance []imbalance
	group, changesCtx := errgroup.WithContext(ctx)
	loadCtx, stop := context.WithCancel(changesCtx)
	defer stop()
	for _, s := range schedules {
		group.Go(func() error { return f.runSchedule(changesCtx, start, s) })
	}
	group.Go(func() error {
		f.checkRevisions(loadCtx)
		return nil
	})
	group.Go(func() error {
		balance = f.measureBalance(loadCtx, start)
		return nil
	})
	group.Go(func() error {
		defer stop()
		sleep(changesCtx, f.cfg.duration())
		return nil
	})
	if err := group.Wait(); err != nil {
		return nil, 0, err
	}
	after, err := f.controlBytes(ctx)
	return balance, controlRate(after-before, f.daemonCount(), time.Since(start)), err
}
