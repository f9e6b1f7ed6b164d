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
	// balancerFreeze is longer than the fabric takes to detect the frozen balancer and
	// the daemons take to exchange that, and shorter than the clients retransmit.
	balancerFreeze = 2 * time.Second
	// agentFreeze is shorter than the 3 s after which an agent may be marked failed.
	agentFreeze = time.Second
)

// freezeBalancer suspends a balancer for balancerFreeze. The packets that the fabric
// sends to it until a health check fails are lost.
func freezeBalancer(ctx context.Context, f *fleet, rng *rand.Rand) error {
	return f.freeze(ctx, drawBalancer(f, rng).process, balancerFreeze)
}

// freezeAgent suspends an agent for agentFreeze. The packets of its flows are delayed.
func freezeAgent(ctx context.Context, f *fleet, rng *rand.Rand) error {
	serving := f.serving(drawService(f, rng).name)
	return f.freeze(ctx, serving[rng.IntN(len(serving))].agent, agentFreeze)
}

// freeze suspends a process by SIGSTOP and resumes it after d, or at the end of ctx.
func (f *fleet) freeze(ctx context.Context, p *process, d time.Duration) error {
	f.say("%s frozen for %s", p.name, d)
	if err := p.setFrozen(true); err != nil {
		return err
	}
	lasted := pause(ctx, d)
	if err := p.setFrozen(false); err != nil {
		return err
	}
	if !lasted {
		return context.Cause(ctx)
	}
	f.say("%s resumed after the freeze", p.name)
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
