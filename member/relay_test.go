package member_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

var _ = Describe("A balancer that is the home of many agents", func() {
	// Guards against one call per change and agent. With these, a seed in a fleet of 300
	// processes makes tens of thousands of calls in the second after a power failure.
	It("sends simultaneous changes to each agent in one message", func() {
		const agents = 50
		f := newFleet(1)
		home := f.record("b1", "", "a")
		n := member.NewNode(member.Config{}, home, f.rng())
		list := make([]*member.Announcer, agents)
		for i := range list {
			r := f.record(fmt.Sprint("u", i), "portal", "a")
			r.State = flow.Starting
			list[i] = member.NewAnnouncer(member.Config{Seeds: append(f.seeds, home.Control)}, r, f.rng())
		}
		now := time.Duration(0)
		// round steps all agents and the balancer, and returns the balancer's pushes of
		// records.
		round := func() (pushes []member.Call) {
			now += 200 * time.Millisecond
			for _, a := range list {
				for _, c := range a.Step(now) {
					if c.To == home.Control {
						a.Reply(now, c, n.Handle(now, c.Request))
					}
				}
			}
			for _, c := range n.Step(now) {
				if c.Request.Kind == member.KindPush && len(c.Request.Records) > 0 {
					pushes = append(pushes, c)
				}
			}
			return pushes
		}
		Expect(round()).To(HaveLen(agents))
		for _, a := range list {
			a.SetState(now, flow.Ready)
		}
		pushes := round()
		Expect(pushes).To(HaveLen(agents))
		for _, c := range pushes {
			Expect(c.Request.Records).To(HaveLen(agents - 1))
		}
		Expect(round()).To(BeEmpty())
	})
})
