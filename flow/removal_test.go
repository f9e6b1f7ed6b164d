package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against a flow that leaves the table without a line that says why.
func TestEachFlowThatLeavesTheTableUnclosedIsReported(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	open := func() {
		u.sendPacket("a", numbered(k, 0))
		u.synAck("a", k, 1000)
		u.sendPacket("a", acknowledging(k, 1000))
	}
	last := func() RemovedFlow { return u.removed[len(u.removed)-1] }

	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 1000)
	u.run(2 * halfOpenTimeout)
	g.Expect(u.removed).To(HaveLen(1))
	g.Expect(last().Cause).To(Equal(HandshakeTimeout))
	g.Expect(last().Handshake).To(Equal("syn_ack"))

	open()
	u.sendPacket("a", acknowledging(k, 2000))
	g.Expect(u.removed).To(HaveLen(1), "the flow is open")
	u.held["a"] = map[packet.Key]bool{}
	u.sendPacket("a", data(k)) // is returned
	g.Expect(last().Cause).To(Equal(ReturnedByUpstream))
	g.Expect(last().Packet).NotTo(BeNil())

	open()
	u.run(time.Second)
	u.restartUpstream("a")
	g.Expect(last().Cause).To(Equal(UpstreamEnded))
	g.Expect(last().Age).To(BeNumerically(">=", time.Second))
	g.Expect(u.removed).To(HaveLen(3))

	open()
	end := data(k)
	end.RST = true
	u.sendPacket("a", end)
	u.run(10 * time.Second)
	g.Expect(u.agents[u.named("a").ID].Open()).To(BeZero())
	g.Expect(u.removed).To(HaveLen(3), "a closed flow needs no line")
}
