package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against an agent that denies a flow of its upstream because its table was full when the list of
// its predecessor came back, or when a packet of the upstream showed the flow.
func TestFlowThatDoesNotFitIntoTheTableIsNotDenied(t *testing.T) {
	g := NewWithT(t)
	for _, listed := range []bool{true, false} {
		u, k := rollingFleet()
		f := u.named("f")
		u.stopAgent("f")
		u.restartAgent("f")
		table := u.agents[f.ID]
		table.SetPredecessor(f.Incarnation)
		if listed {
			table.cfg.MaxFlows = 0
		} else {
			k = key(4711, packet.ProtoTCP)
		}
		u.setState("f", Starting)
		u.announce()
		u.exchange()
		u.reportStart("f")
		if !listed {
			table.cfg.MaxFlows = 1
			u.reply("f", k)
		}
		g.Expect(table.status(u.now, k.Hash())).To(Equal(packet.MaybeHeld))
	}
}
