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
	// A balancer is frozen for longer than the fabric needs to notice and the system
	// needs to share the news, and for less than the clients retransmit.
	balancerFreeze = 2 * time.Second
	// An agent is frozen for less than the 3 s after which it may be marked failed.
	agentFreeze = time.Second
)

// freezeBalancer stops a balancer from running for a while. It loses the packets
// that the fabric sends it until a health check fails.
func freezeBalancer(ctx context.Context, f *fleet, rng *rand.Rand) error {
	return f.freeze(ctx, drawBalancer(f, rng).process, balancerFreeze)
}

// freezeAgent stops an agent from running for a while; its flows wait.
func freezeAgent(ctx context.Context, f *fleet, rng *rand.Rand) error {
	serving := f.serving(drawService(f, rng).name)
	return f.freeze(ctx, serving[rng.IntN(len(serving))].agent, agentFreeze)
}

// freeze stops a process by SIGSTOP and continues it after d, or at the end of ctx.
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
	f.say("%s continues", p.name)
	return nil
}

// setFrozen stops or continues the process without ending it. Another action of the
// run may have ended it already.
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
