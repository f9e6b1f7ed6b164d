package flow

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the denial of a flow that was added to the list after a keeper got it: that keeper missed the
// new version, which others have, and returns the old one first.
func TestOutdatedVersionOfAListIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	u, _ := rollingFleet()
	f, adopted := u.named("f"), key(4711, packet.ProtoTCP)
	u.stopAgent("f")
	keeper := -1
	var old FlowList
	for i := range u.list {
		if kept := u.agents[u.list[i].ID].kept; len(kept) > 0 {
			keeper, old = i, kept[0].FlowList
		}
	}
	g.Expect(keeper).To(BeNumerically(">=", 0))
	u.reply("f", adopted)
	u.exchange() // the other keepers have the new version
	u.restartAgent("f")
	u.reportStart("f")
	table := u.agents[f.ID]
	table.SetPredecessor(f.Incarnation)
	table.Handle(u.now, Message{From: u.list[keeper].ID, To: f.ID, Return: []FlowList{old}})
	g.Expect(table.status(u.now, adopted.Hash())).To(Equal(packet.MaybeHeld))
}
