package flow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

var _ = Describe("Hints for a failed upstream", func() {
	var r *rig
	var routers []*Router
	var dead Upstream
	k := key(1, packet.ProtoTCP)
	to := func(router *Router, in packet.Info) packet.AgentID { return router.Route(0, &in).Agent }
	setView := func() {
		for _, router := range routers {
			router.SetView(0, testView(r.list))
		}
	}
	BeforeEach(func() {
		r = newRig(4, TableConfig{})
		routers = []*Router{NewRouter(RouterConfig{Hints: 64}), NewRouter(RouterConfig{Hints: 64})}
		dead = r.ranking(k)[0]
		setView()
	})

	// Guards against a flow that becomes silent after its handshake: repetitions of
	// its SYN went to a dead upstream through several balancers, one of them placed
	// the SYN anew, and the others go on sending the flow's packets to the dead one.
	It("do not outlast a SYN that another balancer places anew", func() {
		for _, router := range routers {
			Expect(to(router, syn(k))).To(Equal(dead.ID))
			Expect(to(router, syn(k))).To(Equal(dead.ID))
		}
		r.setState(dead.Name, Failed)
		setView()
		owner := to(routers[0], syn(k))
		Expect(owner).NotTo(Equal(dead.ID))
		Expect(to(routers[1], data(k))).To(Equal(owner))
	})

	// Guards against open flows that leave an upstream marked failed by mistake.
	It("serve the flows that have passed their handshake", func() {
		Expect(to(routers[0], syn(k))).To(Equal(dead.ID))
		Expect(to(routers[0], data(k))).To(Equal(dead.ID))
		Expect(to(routers[1], data(k))).To(Equal(dead.ID))
		r.setState(dead.Name, Failed)
		setView()
		for _, router := range routers {
			Expect(to(router, data(k))).To(Equal(dead.ID))
		}
	})
})
