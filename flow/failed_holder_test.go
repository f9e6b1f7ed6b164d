package flow_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against SYNs that go to a dead agent for as long as the client repeats
// them, because they were handed off to it before it was marked failed.
func TestSYNHandedOffToFailedUpstream(t *testing.T) {
	g := NewWithT(t)
	const service = 1
	self := flow.Upstream{ID: 1, Name: "self", Incarnation: 1, State: flow.Starting}
	other := flow.Upstream{ID: 2, Name: "other", Incarnation: 1, State: flow.Ready}
	table := flow.NewTable(flow.TableConfig{}, self, service, rand.New(rand.NewPCG(1, 2)))
	table.SetPeers(0, []flow.Upstream{self, other})
	k := packet.Key{SrcPort: 1000, DstPort: 443, Proto: packet.ProtoTCP}
	receive := func(in packet.Info) flow.Action {
		h := packet.Header{Kind: packet.KindData, Service: service}
		return table.Receive(1, &h, &in)
	}
	syn := packet.Info{Key: k, First: true, Flags: packet.FlagSYN}

	g.Expect(receive(syn)).To(HaveField("Kind", flow.Forward), "the agent starts and hands off")
	table.SetState(1, flow.Ready)
	g.Expect(receive(syn)).To(HaveField("To", other.ID), "the hand-off is remembered")
	other.State = flow.Failed
	table.SetPeers(1, []flow.Upstream{self, other})
	g.Expect(receive(packet.Info{Key: k, Flags: packet.FlagACK})).
		To(HaveField("To", other.ID), "the other agent may be alive")
	g.Expect(receive(syn)).To(HaveField("Kind", flow.Deliver))
}

// Guards against later packets of a flow that still go to the dead agent after its
// SYN was offered to a new agent, which may have taken it.
func TestFlowOfferedAfterFailedHandOff(t *testing.T) {
	g := NewWithT(t)
	const service = 1
	self := flow.Upstream{ID: 1, Name: "self", Incarnation: 1, State: flow.Starting}
	dead := flow.Upstream{ID: 2, Name: "dead", Incarnation: 1, State: flow.Ready}
	added := flow.Upstream{ID: 3, Name: "added", Incarnation: 1, State: flow.Ready}
	offered := 0
	for port := range uint16(50) {
		table := flow.NewTable(flow.TableConfig{}, self, service, rand.New(rand.NewPCG(1, 2)))
		table.SetPeers(0, []flow.Upstream{self, dead})
		k := packet.Key{SrcPort: port, DstPort: 443, Proto: packet.ProtoTCP}
		receive := func(in packet.Info) flow.Action {
			h := packet.Header{Kind: packet.KindData, Service: service}
			return table.Receive(1, &h, &in)
		}
		syn := packet.Info{Key: k, First: true, Flags: packet.FlagSYN}
		g.Expect(receive(syn).To).To(Equal(dead.ID))
		table.SetState(1, flow.Ready)
		failed := dead
		failed.State = flow.Failed
		table.SetPeers(1, []flow.Upstream{self, failed, added})
		if receive(syn).To != added.ID {
			continue
		}
		offered++
		g.Expect(receive(packet.Info{Key: k, Flags: packet.FlagACK}).To).To(Equal(added.ID))
	}
	g.Expect(offered).NotTo(BeZero())
}
