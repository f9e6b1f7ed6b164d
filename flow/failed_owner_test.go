package flow_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against SYNs that are sent to a failed agent for as long as the client retransmits
// them, because they were handed off to it before it was marked as failed.
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

	g.Expect(receive(syn)).To(HaveField("Kind", flow.Forward), "the starting agent hands off")
	table.SetState(1, flow.Ready)
	g.Expect(receive(syn)).To(HaveField("To", other.ID), "the hand-off is recorded")
	other.State = flow.Failed
	table.SetPeers(1, []flow.Upstream{self, other})
	g.Expect(receive(packet.Info{Key: k, Flags: packet.FlagACK})).
		To(HaveField("To", other.ID), "the other agent may still be running")
	g.Expect(receive(syn)).To(HaveField("Kind", flow.Deliver))
}

// Guards against later packets of a flow that are still sent to the failed agent after its
// SYN was offered to a new agent, which may have accepted it.
func TestFlowOfferedAfterFailedHandOff(t *testing.T) {
	g := NewWithT(t)
	const service = 1
	self := flow.Upstream{ID: 1, Name: "self", Incarnation: 1, State: flow.Starting}
	former := flow.Upstream{ID: 2, Name: "dead", Incarnation: 1, State: flow.Ready}
	added := flow.Upstream{ID: 3, Name: "added", Incarnation: 1, State: flow.Ready}
	offered := 0
	for port := range uint16(50) {
		table := flow.NewTable(flow.TableConfig{}, self, service, rand.New(rand.NewPCG(1, 2)))
		table.SetPeers(0, []flow.Upstream{self, former})
		k := packet.Key{SrcPort: port, DstPort: 443, Proto: packet.ProtoTCP}
		receive := func(in packet.Info) flow.Action {
			h := packet.Header{Kind: packet.KindData, Service: service}
			return table.Receive(1, &h, &in)
		}
		syn := packet.Info{Key: k, First: true, Flags: packet.FlagSYN}
		g.Expect(receive(syn).To).To(Equal(former.ID))
		table.SetState(1, flow.Ready)
		failed := former
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
