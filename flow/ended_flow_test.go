package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

func fin(k packet.Key) packet.Info {
	in := data(k)
	in.FIN = true
	return in
}

// Guards against a complete table that counts as incomplete, and against an entry that nothing removes, after the
// upstream has answered a late FIN of a flow that has ended.
func TestAnswerToTheFINOfAnEndedFlowDoesNotReopenIt(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	a := u.agents[u.named("a").ID]
	u.held["a"] = map[packet.Key]bool{k: true} // the upstream remembers the flow and does not return its packets
	_, action := u.sendHinted("a", fin(k))
	g.Expect(action.Probe).To(BeTrue())
	u.reply("a", k)
	g.Expect(a.Open()).To(BeZero())
	g.Expect(a.Counters().Missed).To(BeZero())
	g.Expect(a.Completeness(u.now)).NotTo(Equal(Incomplete))
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.MaybeHeld))
}

// Guards against a flow that an agent does not find again after its restart, because its client closes it first.
func TestHeldFlowWhoseClientClosesItFirstIsAdopted(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 0))
	u.reply("a", k)
	u.restartAgent("a")
	u.reportStart("a")
	a := u.agents[u.named("a").ID]
	_, action := u.sendPacket("a", fin(k))
	g.Expect(action.Probe).To(BeTrue())
	u.reply("a", k)
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.MaybeHeld))
	response := packet.Info{Key: k.Reverse(), Flags: packet.FlagACK, Payload: []byte("response")}
	a.HandleReply(u.now, &response)
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.Held))
}

// Guards against a closed flow that leaves the table before its upstream repeats a FIN whose acknowledgement was lost.
func TestRepeatedFINOfAClosedFlowDoesNotReopenIt(t *testing.T) {
	for _, start := range []time.Duration{0, 999 * time.Millisecond} {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		u.now += start
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		a := u.agents[u.named("a").ID]
		u.sendPacket("a", numbered(k, 0))
		u.synAck("a", k, 1000)
		u.sendPacket("a", acknowledging(k, 1000))
		u.sendPacket("a", fin(k))
		repeated := packet.Info{Key: k.Reverse(), Flags: packet.FlagACK, FIN: true}
		for range 8 {
			g.Expect(a.HandleReply(u.now, &repeated)).To(Equal(Incomplete))
			u.runSteps(1600 * time.Millisecond)
		}
		g.Expect(a.Counters().Adopted).To(BeZero())
		u.run(3 * time.Second)
		g.Expect(a.flows.entries).To(BeEmpty())
	}
}

// Guards against a flow that is taken for an open one again because its upstream, which has announced its exit, repeats a
// FIN before it ends.
func TestRepeatedFINOfALeavingUpstreamDoesNotReopenItsFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	a := u.agents[u.named("a").ID]
	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 1000)
	u.sendPacket("a", acknowledging(k, 1000))
	repeated := packet.Info{Key: k.Reverse(), Flags: packet.FlagACK, FIN: true}
	a.HandleReply(u.now, &repeated)
	u.setState("a", Leaving)
	a.SetUpstreamStopped(u.now, a.BeginUpstreamCheck())
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.NotHeld))
	g.Expect(a.HandleReply(u.now, &repeated)).To(Equal(Incomplete))
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.NotHeld))
	g.Expect(a.Counters().Adopted).To(BeZero())
}
