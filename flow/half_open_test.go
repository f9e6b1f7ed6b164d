package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// These tests are about flows whose SYN was accepted by several upstreams, since its copies went to
// different agents: the client acknowledges one SYN+ACK, and the flow is open there only.

// synAck passes the SYN+ACK of an upstream to its agent.
func (u *upstreamRig) synAck(name string, k packet.Key, seq uint32) {
	in := packet.Info{Key: k.Reverse(), Flags: packet.FlagSYN | packet.FlagACK, Seq: seq}
	u.agents[u.named(name).ID].HandleReply(u.now, &in)
}

// acknowledging returns a packet of the client that acknowledges a SYN+ACK.
func acknowledging(k packet.Key, seq uint32) packet.Info {
	in := data(k)
	in.Ack = seq + 1
	return in
}

// acceptedTwice returns a service with a flow that is open at a. b has accepted it too, and its upstream has
// answered the SYN or not.
func acceptedTwice(answered bool) (*upstreamRig, packet.Key, packet.Info) {
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	for i, name := range []string{"a", "b"} {
		u.sendPacket(name, numbered(k, uint8(2*i)))
		if name == "a" || answered {
			u.synAck(name, k, uint32(1000*i+1000))
		}
	}
	u.held["b"] = map[packet.Key]bool{} // it returns the packets of the open flow
	return u, k, acknowledging(k, 1000)
}

// Guards against three packets in flight that are delivered to an upstream of which the client has not
// acknowledged the SYN+ACK, before the first is returned.
func TestFlowOpenElsewhereIsShownToAHalfOpenUpstreamOnce(t *testing.T) {
	g := NewWithT(t)
	u, _, in := acceptedTwice(true)
	b, delivered := u.agents[u.named("b").ID], 0
	for range 3 {
		h := packet.Header{Kind: packet.KindData, Service: testService, Flags: packet.FlagExpected}
		if b.Receive(u.now, &h, &in).Kind == Deliver {
			delivered++
		}
	}
	g.Expect(delivered).To(BeNumerically("<=", 1))
}

// Guards against packets of an open flow that go to an agent whose upstream was left half-open by a copy of
// the SYN, or did not run when the copy was delivered, seconds after the client has opened the flow at
// another one.
func TestHalfOpenFlowIsNotHeld(t *testing.T) {
	for _, answered := range []bool{true, false} {
		g := NewWithT(t)
		u, k, in := acceptedTwice(answered)
		u.sendPacket("a", in)
		u.run(halfOpenTimeout + 2*time.Second)
		u.restartAgent("a")
		u.reportStart("a")
		path, action := u.sendHinted("a", in)
		g.Expect(path).To(Equal("a"), "answered %v", answered)
		g.Expect(action.Kind).To(Equal(Deliver))
		g.Expect(u.agents[u.named("b").ID].Open()).To(BeZero())
		g.Expect(u.agents[u.named("b").ID].status(u.now, k.Hash())).To(Equal(packet.NotHeld))
	}
}

// Guards against a flow that is opened and then idle, and counts as half-open.
func TestAcknowledgedFlowIsNotHalfOpen(t *testing.T) {
	g := NewWithT(t)
	u, _, in := acceptedTwice(true)
	for range 3 { // in flight before the upstream answers
		path, action := u.sendPacket("a", in)
		g.Expect(path).To(Equal("a"))
		g.Expect(action.Probe).To(BeFalse())
	}
	u.synAck("a", in.Key, 1000) // of a late copy of the SYN
	u.run(2 * halfOpenTimeout)
	g.Expect(u.agents[u.named("a").ID].Open()).To(Equal(1))
	in.Ack += 5000
	path, _ := u.sendPacket("a", in)
	g.Expect(path).To(Equal("a"))
}

// Guards against the reset of a flow by an agent whose upstream has stopped and had only sent a SYN+ACK,
// while the flow is open at another upstream.
func TestHalfOpenFlowIsNotLostWithItsUpstream(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b")
	for i, name := range []string{"a", "b"} {
		u.sendPacket(name, numbered(k, uint8(2*i)))
		u.synAck(name, k, uint32(1000*i+1000))
	}
	u.held["a"] = map[packet.Key]bool{}
	a := u.agents[u.named("a").ID]
	a.SetUpstreamStopped(u.now, a.BeginUpstreamCheck())
	_, action := u.sendPacket("a", acknowledging(k, 2000))
	g.Expect(action.Kind).NotTo(Equal(Reset))
}

// Guards against packets of an open flow that reach two other upstreams and not their own, because agents of both have
// restored the flow as half-open: such an entry of a SYN without an answer has no number to compare, and does not expire.
func TestRestoredHalfOpenFlowIsShownToItsUpstreamOnce(t *testing.T) {
	g := NewWithT(t)
	u, _, in := acceptedTwice(false)
	u.stopAgent("b")
	u.returnAgent("b")
	u.run(2 * halfOpenTimeout)
	b, delivered := u.agents[u.named("b").ID], 0
	for range 3 { // in flight before the first is returned
		h := packet.Header{Kind: packet.KindData, Service: testService, Flags: packet.FlagExpected}
		if b.Receive(u.now, &h, &in).Kind == Deliver {
			delivered++
		}
	}
	g.Expect(delivered).To(BeNumerically("<=", 1))
}

// Guards against the reset of a flow that its upstream opens while a peer looks for it: for halfOpenTimeout no packet of its
// client has arrived, its entry has left the table, and the agent has denied it, although the upstream still accepts it.
func TestFlowThatOpensLateIsNotReset(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(2)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "b", "a")
	a, in := u.agents[u.named("a").ID], acknowledging(k, 1000)
	u.sendPacket("a", numbered(k, 2))
	u.synAck("a", k, 1000)
	u.restartAgent("b")
	u.reportStart("b")
	u.run(halfOpenTimeout + 2*time.Second)

	b := u.agents[u.named("b").ID]
	b.peers.get(a.self.ID).inbox.clear() // a has withdrawn the flow
	h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
	g.Expect(b.Receive(u.now, &h, &in).Probe).To(BeTrue())
	g.Expect(b.HandleReturned(u.now, &h, &in).Kind).To(Equal(Forward))
	_, inquiries, _ := b.CheckSuspects(u.now)
	for i := range inquiries {
		answer := a.AnswerInquiry(u.now, &inquiries[i].Inquiry)
		b.HandleInquiryAnswer(u.now, &answer)
	}
	_, action := u.sendHinted("a", in)
	g.Expect(action.Kind).To(Equal(Deliver))
	u.reply("a", k)
	g.Expect(a.status(u.now, k.Hash())).To(Equal(packet.Held))
	lost, _, _ := b.CheckSuspects(u.now)
	g.Expect(lost).To(BeEmpty())
}
