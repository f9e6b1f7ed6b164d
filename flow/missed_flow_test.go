package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of open flows by a table that goes on counting as complete after a packet of the upstream
// has shown that it is not.
func TestTableThatLackedAFlowDoesNotDenyOthers(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	shown, other := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d"), u.keyRanked(packet.ProtoTCP, "b", "a", "c", "d")
	a := u.agents[u.named("a").ID]
	u.held["a"] = map[packet.Key]bool{shown: true, other: true}
	g.Expect(a.status(u.now, other.Hash())).To(Equal(packet.NotHeld))

	in := packet.Info{Key: shown.Reverse(), Flags: packet.FlagACK}
	g.Expect(a.HandleReply(u.now, &in)).NotTo(Equal(Incomplete))
	g.Expect(a.HandleReply(u.now, &in)).To(Equal(Incomplete), "reported once")

	_, _ = u.sendPacket("b", data(other))
	g.Expect(u.findLost("b")).To(BeEmpty())
	path, action := u.sendPacket("b", data(other))
	g.Expect(path).To(Equal("ba"))
	g.Expect(action.Kind).To(Equal(Deliver))
	u.run(rebuildTime)
	g.Expect(a.Completeness(u.now)).To(Equal(Rebuilt))
}

// Guards against lost flows of which no client is told, because a flow that was half-open when it left the table is
// opened by a late packet.
func TestLateHandshakeDoesNotShowThatTheTableIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(4)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
	u.sendPacket("a", numbered(k, 0))
	u.synAck("a", k, 1000)
	u.run(2 * halfOpenTimeout)
	a := u.agents[u.named("a").ID]
	g.Expect(a.Open()).To(BeZero())
	u.sendHinted("a", acknowledging(k, 1000))
	u.reply("a", k)
	g.Expect(a.Open()).To(Equal(1))
	g.Expect(a.Completeness(u.now)).NotTo(Equal(Incomplete))
}
