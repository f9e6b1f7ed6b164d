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
	{"balancer killed and replaced", replaceKilledBalancer},
}

// killUpstreamAction is added only if Config.KillUpstream is set, because the flows of a
// killed upstream are lost.
var killUpstreamAction = action{"upstream killed and replaced", replaceKilledUpstream}

func (c *Config) actions() []action {
	if c.KillUpstream {
		return append(slices.Clone(fleetActions), killUpstreamAction)
	}
	return fleetActions
}

func addUpstream(ctx context.Context, f *fleet, rng *rand.Rand) error {
	u, err := f.startUpstream(ctx, randomService(f, rng), standin.FaultNone)
	if err == nil {
		f.logf("%s added", u.name)
	}
	return err
}

// replaceUpstream drains an upstream while its replacement starts.
func replaceUpstream(ctx context.Context, f *fleet, rng *rand.Rand) error {
	s := randomService(f, rng)
	serving := f.servingUpstreams(s.name)
	old := serving[rng.IntN(len(serving))]
	if err := f.drainUpstream(old); err != nil {
		return err
	}
	added, err := f.startUpstream(ctx, s, standin.FaultNone)
	if err == nil {
		f.logf("%s drains, %s added", old.name, added.name)
	}
	return err
}

// replaceBalancer stops a balancer gracefully while its replacement starts.
func replaceBalancer(ctx context.Context, f *fleet, rng *rand.Rand) error {
	old := randomBalancer(f, rng)
	f.stopBalancer(old)
	f.logf("%s stops, a replacement starts", old.name)
	return f.startBalancers(ctx, 1)
}

// replaceKilledBalancer kills a balancer without a drain and starts a replacement.
func replaceKilledBalancer(ctx context.Context, f *fleet, rng *rand.Rand) error {
	old := randomBalancer(f, rng)
	f.killBalancer(old)
	f.logf("%s killed, a replacement starts", old.name)
	return f.startBalancers(ctx, 1)
}

// replaceKilledUpstream kills an upstream with its agent and starts a replacement.
func replaceKilledUpstream(ctx context.Context, f *fleet, rng *rand.Rand) error {
	s := randomService(f, rng)
	serving := f.servingUpstreams(s.name)
	old := serving[rng.IntN(len(serving))]
	if err := f.killUpstream(ctx, old); err != nil {
		return err
	}
	added, err := f.startUpstream(ctx, s, standin.FaultNone)
	if err == nil {
		f.logf("%s killed, %s added", old.name, added.name)
	}
	return err
}

func randomService(f *fleet, rng *rand.Rand) serviceSpec {
	return f.spec.services[rng.IntN(len(f.spec.services))]
}

func randomBalancer(f *fleet, rng *rand.Rand) *balancerVM {
	live := f.startedBalancers()
	return live[rng.IntN(len(live))]
}
