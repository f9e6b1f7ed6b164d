package flow

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of a flow of an upstream that has left and started again in place, by an agent that does not
// know of the start yet: it takes the notice of exit for a proof, although the upstream's agent has sent a digest since.
func TestFlowOfAnUpstreamThatHasStartedAgainIsNotReset(t *testing.T) {
	for _, upstreams := range []int{2, 4} {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			g := NewWithT(t)
			u := newUpstreamRig(upstreams)
			u.run(settled)
			k := u.keyRanked(packet.ProtoTCP, "a", "b")
			u.setState("b", Leaving)
			u.announce()
			u.run(peerListSettleTime)

			b := u.agents[u.named("b").ID] // starts again; the others learn it later
			b.SetUpstreamStart(u.now, 1001, true)
			b.SetState(u.now, Ready)
			u.sendPacket("b", numbered(k, 2))
			u.reply("b", k)
			u.run(time.Second) // in which b sends its digest to a
			g.Expect(b.status(u.now, k.Hash())).To(Equal(packet.Held))

			_, action := u.sendPacket("a", data(k))
			g.Expect(action.Kind).NotTo(Equal(Reset))
			g.Expect(u.findLost("a")).To(BeEmpty())
		})
	}
}

// Guards against the reset of a flow of an upstream that has just been added, by an agent that does not know it yet and
// counts all others as leaving: it asks no one who could tell it of the new one.
func TestAgentWithoutPeersThatRunFindsNoFlowOfANewUpstreamLost(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(3)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "c", "b")
	a := u.agents[u.named("a").ID]
	u.setState("b", Leaving)
	a.SetPeers(u.now, []Upstream{u.named("a"), u.named("b")}) // without c
	u.run(peerListSettleTime)
	u.sendPacket("c", numbered(k, 2))
	u.reply("c", k)
	g.Expect(u.agents[u.named("c").ID].status(u.now, k.Hash())).To(Equal(packet.Held))

	u.sendPacket("a", data(k))
	g.Expect(u.findLost("a")).To(BeEmpty())
}

// Guards against the reset of a flow of an upstream that has left and started again in place: its agent has not been asked
// for this flow yet, and the silence of its earlier process to another inquiry counts.
func TestSilenceToAnEarlierInquiryDoesNotExcludeAPeerThatIsBack(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(3)
	u.run(settled)
	other, k := u.keyRanked(packet.ProtoTCP, "a", "b", "c"), u.keyRanked(packet.ProtoTCP, "a", "c", "b")
	a, b := u.agents[u.named("a").ID], u.agents[u.named("b").ID]
	u.setState("b", Leaving)
	u.announce()
	u.run(peerListSettleTime)
	u.silent["b"] = true
	a.markSuspect(u.now, other.Hash(), &packet.Header{}, &packet.Info{Key: other})
	for range 4 {
		u.findLost("a")
		u.now += inquiryRetryInterval
	}

	u.silent["b"] = false // it has started again; a learns it later
	b.SetUpstreamStart(u.now, 1001, true)
	b.SetState(u.now, Ready)
	u.sendPacket("b", numbered(k, 2))
	u.reply("b", k)
	a.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
	_, inquiries, _ := a.CheckSuspects(u.now)
	if len(inquiries) == 0 {
		u.now += 5 * time.Millisecond
		_, inquiries, _ = a.CheckSuspects(u.now)
	}
	g.Expect(inquiries).NotTo(BeEmpty())
	for i := range inquiries { // the answer of b takes a millisecond longer than that of c
		answer := u.agents[u.named("c").ID].AnswerInquiry(u.now, &inquiries[i].Inquiry)
		a.HandleInquiryAnswer(u.now, &answer)
	}
	g.Expect(b.status(u.now, k.Hash())).To(Equal(packet.Held))
	lost, _, _ := a.CheckSuspects(u.now)
	g.Expect(lost).To(BeEmpty())
}
