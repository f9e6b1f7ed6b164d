package bench

import (
	"math/rand/v2"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// world simulates a fleet for one run of one policy.
type world struct {
	cfg    FlowsConfig
	policy flow.Policy
	now    time.Duration

	changeRand *rand.Rand // fleet changes; the same for all policies
	fleetRand  *rand.Rand // notification delays; depend on which daemons still run
	flowRand   *rand.Rand // traffic

	events    []event
	upstreams []*upstream
	byID      map[packet.AgentID]*upstream
	balancers []*balancer
	records   []record
	versions  int
	daemons   int // number of daemons started so far
	starting  int

	// lastChangedUpstream reports whether an upstream changed in the last change or since;
	// lastChangedBalancer whether a balancer was killed or added in the last change.
	lastChangedUpstream, lastChangedBalancer bool

	clients []client
	wheel   [wheelSize][]action
	wire    *wireSize
	count   counts
}

func newWorld(cfg FlowsConfig, p flow.Policy) *world {
	w := &world{
		cfg:        cfg,
		policy:     p,
		fleetRand:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		changeRand: rand.New(rand.NewPCG(cfg.Seed, 3)),
		flowRand:   rand.New(rand.NewPCG(cfg.Seed, 2)),
		byID:       make(map[packet.AgentID]*upstream),
		wire:       newWireSize(),
	}
	for range cfg.Balancers {
		w.addBalancer()
	}
	for range cfg.Upstreams {
		w.addUpstream(0, flow.Ready)
	}
	for range otherUpstreams {
		w.addUpstream(1, flow.Ready)
	}
	w.startClients()
	for i := range cfg.Changes {
		w.at(warmUp+time.Duration(i)*cfg.Interval, w.change)
	}
	return w
}

// step advances the run by one tick.
func (w *world) step() {
	w.runEvents()
	w.deliverMessages()
	w.sendPackets()
	w.stepAgents()
	if w.now%time.Second == 0 {
		w.removeDrained()
		w.count.sample(w)
	}
}

// stepAgents steps each agent once a second, evenly spread over the ticks.
func (w *world) stepAgents() {
	phase := int(w.now/tick) % int(time.Second/tick)
	for i, u := range w.upstreams {
		if i%int(time.Second/tick) != phase {
			continue
		}
		for _, m := range u.agent.Step(w.now) {
			w.sendMessage(u, m)
		}
	}
}

// sendMessage puts a message into the receiver's mailbox, which is delivered in the next tick.
func (w *world) sendMessage(from *upstream, m flow.Message) {
	size := w.wire.message(&m)
	from.addControl(size)
	to := w.byID[m.To]
	if to == nil || w.dropMessage() {
		w.at(w.now+callTimeout, func() { from.agent.HandleUndelivered(w.now, m) })
		return
	}
	to.addControl(size)
	to.mailbox = append(to.mailbox, m)
}

func (w *world) dropMessage() bool {
	return w.cfg.MessageLoss > 0 && w.flowRand.Float64() < w.cfg.MessageLoss
}

func (w *world) deliverMessages() {
	for _, u := range w.upstreams {
		for _, m := range u.mailbox {
			u.agent.Handle(w.now, m)
		}
		u.mailbox = u.mailbox[:0]
	}
}

func (u *upstream) addControl(n int) { u.control += n }
