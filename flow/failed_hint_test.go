package flow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

var _ = Describe("Hints for a failed upstream", func() {
	var r *rig
	var routers []*Router
	var failed Upstream
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
		failed = r.ranking(k)[0]
		setView()
	})

	// Guards against a flow that times out after its handshake: copies of its SYN reached a
	// failed upstream through several balancers, one balancer placed the SYN anew, and the
	// others keep sending the flow's packets to the failed upstream.
	It("are not used after another balancer has placed the SYN anew", func() {
		for _, router := range routers {
			Expect(to(router, syn(k))).To(Equal(failed.ID))
			Expect(to(router, syn(k))).To(Equal(failed.ID))
		}
		r.setState(failed.Name, Failed)
		setView()
		owner := to(routers[0], syn(k))
		Expect(owner).NotTo(Equal(failed.ID))
		Expect(to(routers[1], data(k))).To(Equal(owner))
	})

	// Guards against open flows that are moved from an upstream marked as failed by mistake.
	It("are still used for flows past their handshake", func() {
		Expect(to(routers[0], syn(k))).To(Equal(failed.ID))
		Expect(to(routers[0], data(k))).To(Equal(failed.ID))
		Expect(to(routers[1], data(k))).To(Equal(failed.ID))
		r.setState(failed.Name, Failed)
		setView()
		for _, router := range routers {
			Expect(to(router, data(k))).To(Equal(failed.ID))
		}
	})
})
