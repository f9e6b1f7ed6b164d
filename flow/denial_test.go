package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against a false denial that nobody notices, and against one that is reported for a new flow on the ports of one
// that has ended.
func TestDataOnADeniedFlowIsReported(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	a := u.agents[u.named("a").ID]
	var reported []FalseDenial
	a.cfg.OnFalseDenial = func(d *FalseDenial) { reported = append(reported, *d) }
	deny := func() {
		answer := a.AnswerInquiry(u.now, &packet.Inquiry{From: u.named("b").ID, Number: 7, Flows: []uint64{k.Hash()}})
		g.Expect(answer.Statuses[0]).To(Equal(packet.NotHeld))
	}
	reply := func() {
		in := packet.Info{Key: k.Reverse(), Flags: packet.FlagACK, Payload: []byte("data")}
		a.HandleReply(u.now, &in)
	}

	deny()
	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 1000)
	reply()
	g.Expect(reported).To(BeEmpty(), "a new flow")

	other := u.keyRanked(packet.ProtoTCP, "a", "c", "b", "d")
	k = other
	deny()
	u.run(3 * time.Second)
	reply()
	reply()
	g.Expect(reported).To(HaveLen(1))
	g.Expect(reported[0].Key).To(Equal(other))
	g.Expect(reported[0].Age).To(Equal(3 * time.Second))
	g.Expect(reported[0].Complete).NotTo(Equal(Incomplete))
	g.Expect(a.Counters().FalselyDenied).To(BeEquivalentTo(1))

	k = u.keyRanked(packet.ProtoTCP, "a", "d", "b", "c")
	a.missedFlows, a.sawAllSince = false, never
	deny()
	u.run(denialRetention)
	g.Expect(a.denials.byHash).To(BeEmpty())
}
