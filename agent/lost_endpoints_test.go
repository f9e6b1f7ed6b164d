package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// openFlow lets the upstream open a flow and returns it.
func (v *upstreamVM) openFlow() packet.Key {
	k := packet.KeyOf(client, serviceAddr, packet.ProtoTCP)
	v.agent.flows.do(func(now time.Duration, t *flow.Table) {
		h := packet.Header{Kind: packet.KindData, Service: v.agent.service}
		t.Receive(now, &h, &packet.Info{Key: k, First: true, Flags: packet.FlagSYN})
		t.HandleReply(now, &packet.Info{Key: k.Reverse(), Flags: packet.FlagACK})
		v.agent.learnEndpoint(&k)
	})
	return k
}

// Guards against the reset of open flows whose address has got another service: their agent has restarted, its record no
// longer names the address, and a balancer that has started since sends their packets to the other service only, whose
// agents deny them.
func TestRestartedAgentAnnouncesTheAddressesOfItsPredecessor(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	v := newUpstreamVM()
	v.startAgent(0)
	v.run(100 * time.Millisecond)
	v.announce(0, 1)
	v.run(500 * time.Millisecond)
	k := v.openFlow()
	v.run(2 * time.Second)
	other := packet.ServiceIDOf("evidence-intake")
	services := func() []packet.ServiceID {
		view := *v.balancer.Table().View()
		view.Services = append(view.Services, flow.Service{ID: other, Upstreams: []flow.Upstream{{ID: 9, Name: "u9", Incarnation: 1, State: flow.Ready}}})
		view.Routes = []flow.Route{{
			Endpoint: flow.Endpoint{Addr: serviceAddr, Proto: packet.ProtoTCP}, Targets: []flow.Target{{Service: other, Weight: 1}},
		}}
		router := flow.NewRouter(flow.RouterConfig{})
		router.SetView(v.now, &view)
		d := router.Route(v.now, &packet.Info{Key: k, Flags: packet.FlagACK})
		out := []packet.ServiceID{d.Service}
		for _, c := range d.Copies {
			out = append(out, c.Service)
		}
		return out
	}
	g.Expect(services()).To(ContainElement(v.agent.service))
	v.agent.announce(flow.AgentRestarting)
	v.run(100 * time.Millisecond)
	g.Expect(services()).To(ContainElement(v.agent.service), "while its agent restarts")
	v.startAgent(0)
	for range 20 {
		v.run(stepInterval)
		g.Expect(services()).To(ContainElement(v.agent.service), "after the restart")
	}
}
