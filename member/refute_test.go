package member_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

var _ = Describe("A mark of a live agent as failed", func() {
	// flowWindow is the time for which packets of an open flow may miss their upstream
	// (flow-window-ms of rule FLOW).
	const flowWindow = 2 * time.Second

	// Guards against a mistaken mark that lasts longer than an open flow can miss its upstream:
	// peers treat the flows of the marked agent as lost until they know the refutation.
	It("is refuted within the window in which a flow may miss its upstream", func() {
		for seed := range uint64(20) {
			f := newFleet(200 + seed)
			f.start(9, 10)
			f.net.Run(time.Duration(seed) * 50 * time.Millisecond)
			marked := f.agents["u0"].Self()
			marked.State = flow.Failed
			marked.Version++
			at := f.net.Now()
			b := f.balancers["b1"]
			b.Handle(at-f.started["b1"], member.Message{Kind: member.KindPush, Records: []member.Record{marked}})
			refuted := func() bool {
				for _, p := range f.all() {
					if r, _ := p.Table().Get("u0"); r.State != flow.Ready || r.Version <= marked.Version {
						return false
					}
				}
				return true
			}
			for !refuted() {
				f.net.Run(10 * time.Millisecond)
				Expect(f.net.Now()-at).To(BeNumerically("<=", flowWindow), "seed %d", 200+seed)
			}
		}
	})

	// Guards against an agent that hears of its mark only in reply to its next heartbeat, up to
	// a second after its peers.
	It("is relayed to the agent itself, which refutes it at once", func() {
		f := newFleet(300)
		n := member.NewNode(member.Config{}, f.record("b1", "", "a"), f.rng())
		u := f.record("u1", "portal", "a")
		u.Incarnation = 7
		a := member.NewAnnouncer(member.Config{Seeds: []netip.AddrPort{n.Self().Control}}, u, f.rng())
		for _, c := range a.Step(0) {
			a.Reply(0, c, n.Handle(0, c.Request))
		}
		n.Step(0)
		marked := a.Self()
		marked.State = flow.Failed
		marked.Version++
		n.Handle(0, member.Message{Kind: member.KindPush, Records: []member.Record{marked}})
		for _, c := range n.Step(0) {
			if c.To == u.Control && c.Request.Kind == member.KindPush {
				a.Handle(0, c.Request)
			}
		}
		Expect(a.Self()).To(And(HaveField("State", flow.Ready), HaveField("Version", marked.Version+1)))
	})
})
