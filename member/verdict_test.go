package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

var _ = Describe("A mark as failed", func() {
	// Guards against a mark that no log explains: who could not reach the process, for how long it
	// had been silent, and that the state is not the word of the upstream's agent.
	It("is explained by the claim and by the arbiter", func() {
		f := newFleet(21)
		f.start(5, 7)
		for _, n := range f.balancers {
			verdicts, _ := n.TakeVerdicts()
			Expect(verdicts).To(BeEmpty())
		}
		f.kill("u3")
		f.net.Run(10 * time.Second)
		var claims, marks []member.Verdict
		for _, n := range f.balancers {
			verdicts, dropped := n.TakeVerdicts()
			Expect(dropped).To(BeZero())
			for _, v := range verdicts {
				if v.Marked {
					marks = append(marks, v)
				} else {
					claims = append(claims, v)
				}
			}
		}
		Expect(marks).To(HaveLen(1))
		Expect(marks[0]).To(And(HaveField("Name", "u3"), HaveField("Service", "portal"), HaveField("State", flow.Ready)))
		Expect(len(marks[0].Observers)).To(BeNumerically(">=", 2))
		Expect(claims).To(ContainElement(And(HaveField("Name", "u3"), HaveField("Silent", BeNumerically(">=", 3*time.Second)))))
	})

	// Guards against a mark that peers cannot tell from the word of the upstream's own agent, in
	// whichever order a balancer's relay and the agent's own push arrive.
	DescribeTable("is told apart from the word of the upstream's agent", func(relayedFirst bool, want flow.StateSource) {
		f := newFleet(22)
		a := member.NewAnnouncer(member.Config{}, f.record("u0", "portal", "a"), f.rng())
		failed := f.record("u1", "portal", "a")
		a.Handle(0, member.Message{Kind: member.KindPush, Records: []member.Record{failed}})
		failed.Version++
		failed.State = flow.Failed
		relayed := member.Message{Kind: member.KindPush, Records: []member.Record{failed}}
		own := relayed
		own.Name = "u0"
		if relayedFirst {
			a.Handle(0, relayed)
			Expect(a.ServiceUpstreams()[1]).To(And(HaveField("State", flow.Failed), HaveField("StateSource", flow.StateFromBalancer)))
		}
		if want == flow.StateFromAgent {
			a.Handle(0, own)
		}
		Expect(a.ServiceUpstreams()[1]).To(And(HaveField("State", flow.Failed), HaveField("StateSource", want)))
	},
		Entry("relayed only", true, flow.StateFromBalancer),
		Entry("pushed by the agent", false, flow.StateFromAgent),
		Entry("relayed, then pushed by the agent", true, flow.StateFromAgent),
	)
})
