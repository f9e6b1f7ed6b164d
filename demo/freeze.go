package demo

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// balancerFreezeDuration is longer than it takes the fabric to detect a frozen balancer
	// and the daemons to propagate its new state. It is shorter than the time for which the
	// clients retransmit.
	balancerFreezeDuration = 2 * time.Second
	// agentFreezeDuration is shorter than the 3 s without heartbeats after which a balancer
	// suspects an agent.
	agentFreezeDuration = time.Second
)

// freezeBalancer suspends a balancer for balancerFreezeDuration. The packets that the fabric
// sends to it until a health check fails are lost.
func freezeBalancer(ctx context.Context, f *fleet, rng *rand.Rand) error {
	return f.freeze(ctx, randomBalancer(f, rng).process, balancerFreezeDuration)
}

// freezeAgent suspends an agent for agentFreezeDuration. The packets of its flows are delayed.
func freezeAgent(ctx context.Context, f *fleet, rng *rand.Rand) error {
	serving := f.servingUpstreams(randomService(f, rng).name)
	return f.freeze(ctx, serving[rng.IntN(len(serving))].agent, agentFreezeDuration)
}

// freeze suspends a process by SIGSTOP and resumes it after d, or at the end of ctx.
func (f *fleet) freeze(ctx context.Context, p *process, d time.Duration) error {
	f.logf("%s frozen for %s", p.name, d)
	if err := p.setFrozen(true); err != nil {
		return err
	}
	lasted := sleep(ctx, d)
	if err := p.setFrozen(false); err != nil {
		return err
	}
	if !lasted {
		return context.Cause(ctx)
	}
	f.logf("%s resumed after the freeze", p.name)
	return nil
}

// setFrozen suspends or resumes the process. It returns nil if the process has exited,
// because another action of the run may have stopped it.
func (p *process) setFrozen(frozen bool) error {
	s := syscall.SIGCONT
	if frozen {
		s = syscall.SIGSTOP
	}
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Wrapf(err, "%s: %s", p.name, s)
}
