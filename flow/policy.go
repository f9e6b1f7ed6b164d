package flow

import (
	"math/rand/v2"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Balancer is the balancer side of a placement policy.
type Balancer interface {
	SetView(now time.Duration, v *View)
	Route(now time.Duration, in *packet.Info) Decision
	Learn(now time.Duration, k *packet.Key, owner packet.AgentID)
}

// Agent is the agent side of a placement policy.
type Agent interface {
	SetPeers(now time.Duration, peers []Upstream)
	SetState(now time.Duration, s State)
	Receive(now time.Duration, h *packet.Header, in *packet.Info) Action
	Step(now time.Duration) []Message
	Handle(now time.Duration, m Message)
	HandleUndelivered(now time.Duration, m Message)
	Open() int
}

// Policy creates the two sides of a placement policy.
type Policy struct {
	Name        string
	NewBalancer func(RouterConfig) Balancer
	NewAgent    func(TableConfig, Upstream, packet.ServiceID, *rand.Rand) Agent
}

// Policies returns the policies that the flow benchmark compares. The last one is used in
// production; the others are baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "hash", NewBalancer: newPlainRouter, NewAgent: newIsolatedAgent},
		{Name: "hash_cache", NewBalancer: newCachingRouter, NewAgent: newIsolatedAgent},
		{Name: "previous_owner", NewBalancer: newPlainRouter, NewAgent: newPreviousFirstChoiceAgent},
		{Name: "forward", NewBalancer: newCachingRouter, NewAgent: newForwardingAgent},
	}
}

func newPlainRouter(cfg RouterConfig) Balancer {
	cfg.Hints, cfg.LearnedOnly = -1, true
	return NewRouter(cfg)
}

func newCachingRouter(cfg RouterConfig) Balancer { return NewRouter(cfg) }

func newForwardingAgent(cfg TableConfig, self Upstream, service packet.ServiceID, rng *rand.Rand) Agent {
	return NewTable(cfg, self, service, rng)
}

func newIsolatedAgent(cfg TableConfig, self Upstream, service packet.ServiceID, rng *rand.Rand) Agent {
	return &baseline{table: NewTable(cfg, self, service, rng)}
}

func newPreviousFirstChoiceAgent(cfg TableConfig, self Upstream, service packet.ServiceID, rng *rand.Rand) Agent {
	return &baseline{table: NewTable(cfg, self, service, rng), forwardToPrevious: true}
}
