package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of an open flow by the answer to an inquiry of the agent's earlier process: its holder stood
// still, and answers for another flow.
func TestAnswerToAnInquiryOfAnEarlierProcessDeniesNoOtherFlow(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	lost, open := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d"), u.keyRanked(packet.ProtoTCP, "a", "c", "b", "d")
	u.silent["b"] = true
	suspect := func(k packet.Key) *packet.Inquiry {
		a := u.agents[u.named("a").ID]
		a.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
		_, inquiries, _ := a.CheckSuspects(u.now)
		g.Expect(inquiries).To(HaveLen(1))
		return &inquiries[0].Inquiry
	}
	earlier := suspect(lost)

	u.restartAgent("a")
	u.reportStart("a")
	u.run(settled)
	u.sendPacket("b", numbered(open, 0))
	u.synAck("b", open, 1000)
	u.sendHinted("b", acknowledging(open, 1000))
	a, b := u.agents[u.named("a").ID], u.agents[u.named("b").ID]
	present := suspect(open)
	for _, name := range []string{"c", "d"} {
		answer := u.agents[u.named(name).ID].AnswerInquiry(u.now, present)
		a.HandleInquiryAnswer(u.now, &answer)
	}
	late := b.AnswerInquiry(u.now, earlier)
	g.Expect(late.Statuses[0]).To(Equal(packet.NotHeld))
	a.HandleInquiryAnswer(u.now, &late)
	resets, _, _ := a.CheckSuspects(u.now)
	g.Expect(resets).To(BeEmpty())
	g.Expect(b.status(u.now, open.Hash())).To(Equal(packet.Held))
}

// Guards against answers from before a pause of the agent that count as answers of now.
func TestAnswersFromBeforeAPauseAreAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	a, b := u.agents[u.named("a").ID], u.agents[u.named("b").ID]
	a.markSuspect(u.now, k.Hash(), &packet.Header{}, &packet.Info{Key: k})
	_, q, _ := a.CheckSuspects(u.now)
	for _, n := range []string{"b", "c"} {
		answer := u.agents[u.named(n).ID].AnswerInquiry(u.now, &q[0].Inquiry)
		a.HandleInquiryAnswer(u.now, &answer)
	}
	u.now += 4 * time.Second
	u.sendPacket("b", numbered(k, 2))
	u.synAck("b", k, 1000)
	u.sendHinted("b", acknowledging(k, 1000))
	g.Expect(b.status(u.now, k.Hash())).To(Equal(packet.Held))
	a.CheckSuspects(u.now)
	answer := u.agents[u.named("d").ID].AnswerInquiry(u.now, &q[0].Inquiry)
	a.HandleInquiryAnswer(u.now, &answer)
	lost, _, _ := a.CheckSuspects(u.now)
	g.Expect(lost).To(BeEmpty())
}
