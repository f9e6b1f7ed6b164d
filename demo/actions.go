package demo

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// action is one kind of change that a run makes.
type action struct {
	name string
	run  func(context.Context, *fleet, *rand.Rand) error
}

// fleetActions are the changes to the fleet. Every round of the schedule contains all of
// them, in random order.
var fleetActions = []action{
	{"upstream added", addUpstream},
	{"upstream drained and replaced", replaceUpstream},
	{"upstream drained and replaced", replaceUpstream},
	{"balancer stopped and replaced", replaceBalancer},
	{"balancer killed and replaced", killBalancer},
}

// killedUpstream is added only if Config.KillUpstream is set, because the flows of a
// killed upstream are lost.
var killedUpstream = action{"upstream killed and replaced", killAnUpstream}

func (c *Config) actions() []action {
	if c.KillUpstream {
		return append(slices.Clone(fleetActions), killedUpstream)
	}
	return fleetActions
}

func addUpstream(ctx context.Context, f *fleet, rng *rand.Rand) error {
	u, err := f.startUpstream(ctx, drawService(f, rng), standin.FaultNone)
	if err == nil {
		f.say("%s added", u.name)
	}
	return err
}

// replaceUpstream drains an upstream while its replacement starts.
func replaceUpstream(ctx context.Context, f *fleet, rng *rand.Rand) error {
	s := drawService(f, rng)
	serving := f.serving(s.name)
	old := serving[rng.IntN(len(serving))]
	if err := f.drainUpstream(old); err != nil {
		return err
	}
	added, err := f.startUpstream(ctx, s, standin.FaultNone)
	if err == nil {
		f.say("%s drains, %s added", old.name, added.name)
	}
	return err
}

// replaceBalancer stops a balancer gracefully while its replacement starts.
func replaceBalancer(ctx context.Context, f *fleet, rng *rand.Rand) error {
	old := drawBalancer(f, rng)
	f.stopBalancer(old)
	f.say("%s stops, a replacement starts", old.name)
	return f.startBalancers(ctx, 1)
}

// killBalancer kills a balancer without a drain and starts a replacement.
func killBalancer(ctx context.Context, f *fleet, rng *rand.Rand) error {
	old := drawBalancer(f, rng)
	f.killBalancer(old)
	f.say("%s killed, a replacement starts", old.name)
	return f.startBalancers(ctx, 1)
}

// killAnUpstream kills an upstream with its agent and starts a replacement.
func killAnUpstream(ctx context.Context, f *fleet, rng *rand.Rand) error {
	s := drawService(f, rng)
	serving := f.serving(s.name)
	old := serving[rng.IntN(len(serving))]
	if err := f.killUpstream(ctx, old); err != nil {
		return err
	}
	added, err := f.startUpstream(ctx, s, standin.FaultNone)
	if err == nil {
		f.say("%s killed, %s added", old.name, added.name)
	}
	return err
}

func drawService(f *fleet, rng *rand.Rand) serviceSpec {
	return f.spec.services[rng.IntN(len(f.spec.services))]
}

func drawBalancer(f *fleet, rng *rand.Rand) *balancerVM {
	live := f.startedBalancers()
	return live[rng.IntN(len(live))]
}
