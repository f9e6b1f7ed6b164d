package flow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

var _ = Describe("The evidence of a lost flow", func() {
	// checkUntilLost checks an agent's suspect flows until one is found lost, for at most 5 s, and
	// returns the evidence.
	checkUntilLost := func(u *upstreamRig, name string) Evidence {
		t := u.agents[u.named(name).ID]
		for end := u.now + 5*time.Second; u.now < end; u.now += suspectCheckInterval {
			lost, inquiries, _ := t.CheckSuspects(u.now)
			if len(lost) > 0 {
				return t.LossEvidence(u.now, 0)
			}
			for _, q := range inquiries {
				for _, p := range u.list {
					if p.ID != t.self.ID && !u.silent[p.Name] {
						a := u.agents[p.ID].AnswerInquiry(u.now, &q.Inquiry)
						t.HandleInquiryAnswer(u.now, &a)
					}
				}
			}
		}
		Fail("no flow was found lost")
		return Evidence{}
	}

	// Guards against a reset whose log line does not tell which peers had not answered, in which
	// state they were, and by which rule the flow was declared lost nevertheless.
	It("names the peers that have denied it and those that were excluded, with the rule", func() {
		u := newUpstreamRig(4)
		u.run(3 * time.Second)
		u.class = packet.NewClass(1, 200*time.Millisecond, true)
		u.setState("b", Failed)
		u.list[1].StateSource = StateFromAgent
		u.announce()
		u.now += time.Second
		u.startTogether("a")
		u.silent["b"], u.silent["c"] = true, true
		u.sendPacket("a", data(u.keyRanked(packet.ProtoTCP, "a")))
		began := u.now
		e := checkUntilLost(u, "a")
		Expect(e.Inquiry).To(Equal(u.now - began))
		Expect(e.MayRepeat).To(BeTrue())
		Expect(e.Denied).To(Equal(1))
		Expect(e.DeniedBy).To(Equal([]string{"d"}))
		Expect(e.Excluded).To(Equal(2))
		Expect(e.ExcludedAs).To(ConsistOf(
			And(HaveField("Name", "b"), HaveField("State", Failed), HaveField("Source", StateFromAgent),
				HaveField("InState", u.now-began+time.Second), HaveField("Inquired", true), HaveField("ExcludedFor", ExcludedFailed)),
			And(HaveField("Name", "c"), HaveField("State", Ready), HaveField("Source", StateFromBalancer),
				HaveField("Heard", BeNumerically(">=", u.now-began)), HaveField("ExcludedFor", ExcludedSilent)),
		))
	})

	// Guards against log lines that grow with the fleet.
	It("lists a bounded number of peers and counts the others", func() {
		u := newUpstreamRig(14)
		u.run(3 * time.Second)
		u.class = packet.NewClass(1, 200*time.Millisecond, true)
		u.startTogether("a")
		for _, p := range u.list[7:] {
			u.silent[p.Name] = true
		}
		u.sendPacket("a", data(u.keyRanked(packet.ProtoTCP, "a")))
		e := checkUntilLost(u, "a")
		Expect(e.Denied).To(Equal(6))
		Expect(e.DeniedBy).To(HaveLen(maxEvidencePeers))
		Expect(e.Excluded).To(Equal(7))
		Expect(e.ExcludedAs).To(HaveLen(maxEvidencePeers))
		Expect(e.ByRule).To(Equal(PeerCounts{ExcludedByAnswer: 6, ExcludedSilent: 7}))
	})

	// Guards against a reset at the flow's own agent that the log does not tell apart from one after
	// an inquiry.
	It("tells a flow that ended with the agent's own upstream from one found lost", func() {
		u := newUpstreamRig(2)
		u.run(3 * time.Second)
		own, other := u.keyRanked(packet.ProtoTCP, "a"), u.keyRanked(packet.ProtoTCP, "b")
		u.sendPacket("a", numbered(own, 0))
		u.reply("a", own)
		t := u.agents[u.named("a").ID]
		t.SetUpstreamStopped(u.now, t.BeginUpstreamCheck())
		u.now += time.Second
		cause, age := t.RecordedLoss(u.now, &own)
		Expect(cause).To(Equal(UpstreamStopped))
		Expect(age).To(Equal(time.Second))
		u.sendPacket("b", data(other))
		checkUntilLost(u, "b")
		cause, age = u.agents[u.named("b").ID].RecordedLoss(u.now, &other)
		Expect(cause).To(Equal(FoundLost))
		Expect(age).To(BeZero())
	})
})

var _ = Describe("A rebuilding table", func() {
	// Guards against a wrong belief that the upstream has started with its agent that the log does not
	// show.
	It("tells why it counts as complete", func() {
		u := newUpstreamRig(2)
		u.run(time.Second)
		k := u.keyRanked(packet.ProtoTCP, "a")
		u.restartAgent("a")
		t := u.agents[u.named("a").ID]
		Expect(t.Completeness(u.now)).To(Equal(Incomplete))
		t.SetUpstreamStart(u.now, 100, true)
		Expect(t.Completeness(u.now)).To(Equal(StartedWithAgent))
		u.held["a"][k] = true
		for range 2 { // an unreturned probe does not show that the upstream holds the flow
			_, action := u.sendHinted("a", data(k))
			Expect(action).To(Equal(Action{Kind: Deliver, Probe: true}))
			u.now += probeTimeout
		}
		u.now += rebuildTime
		Expect(t.Completeness(u.now)).To(Equal(Rebuilt))
	})
})
