package agent

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/upstream"
)

// drainingWithoutListener returns an upstream that has closed its listener, and goes on announcing that it drains while it
// finishes a flow.
func drainingWithoutListener(g *WithT) (*upstreamVM, packet.Key) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	v := newUpstreamVM()
	v.address = listener.Addr().(*net.TCPAddr).AddrPort()
	g.Expect(listener.Close()).To(Succeed())
	v.startAgent(0)
	v.run(100 * time.Millisecond)
	v.announce(0, 1)
	v.run(500 * time.Millisecond)
	k := v.openFlow()
	g.Expect(v.agent.monitor.Announced(upstream.Announcement{ID: "i-1", Born: wall(0).UnixMilli(), Sequence: 2,
		Service: "impact-portal", Address: v.address, Slots: 5, Draining: true})).To(Succeed())
	v.run(500 * time.Millisecond)
	g.Expect(v.agent.self().State).To(Equal(flow.Draining))
	return v, k
}

// Guards against the reset of the flows that a draining upstream finishes, by their own agent: it takes one refused
// connection for the end of the upstream, which has announced itself half a second before.
func TestDrainingUpstreamWithoutAListenerIsNotTakenForStopped(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	v, k := drainingWithoutListener(g)
	v.agent.monitor.recordUnanswered(v.now) // an acknowledgement was delivered as a probe
	v.now += 2 * firstAnswerTimeout
	if v.agent.monitor.connectionCheckDue() {
		v.agent.monitor.checkConnection()
	}
	g.Expect(v.answerAbout(k.Hash())).To(Equal(packet.Held))
}

// Guards against the reset of the same flows by the agent's peers after a planned stop of the agent: it announces that
// the upstream has ended, and its list of flows is not handed over.
func TestAgentThatStopsBesideADrainingUpstreamWithoutAListenerAnnouncesItsRestart(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	v, _ := drainingWithoutListener(g)
	v.agent.announceExit()
	r, _ := v.balancer.Table().Get("u1")
	g.Expect(r.State).To(Equal(flow.AgentRestarting))
}
