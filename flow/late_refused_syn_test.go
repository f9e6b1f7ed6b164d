package flow

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/load"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against a reset in answer to the original SYN of a flow which a copy has opened at another upstream: a balancer
// has held the SYN back and sends it to an agent that can't accept a flow and is not the flow's first choice, such as
// the choice of the balancer's failure domain, so that no digest tells it of the flow.
func TestLateSYNThatIsRefusedDoesNotResetItsOpenFlow(t *testing.T) {
	for _, why := range []Reason{ReasonRefused, ReasonCold, ReasonEvacuated} {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		opened, late := numbered(k, 2), numbered(k, 0)
		opened.Seq, late.Seq = 7000, 7000
		u.sendPacket("b", opened)
		u.synAck("b", k, 1000)
		u.sendPacket("b", acknowledging(k, 1000))
		u.reply("b", k)
		u.run(5 * time.Second)
		c := u.agents[u.named("c").ID]
		c.cfg.Gate = load.NewGate(load.Config{MaxWaiting: 1})
		u.setStates(map[string]State{"a": Draining, "b": Draining, "d": Draining})
		switch why {
		case ReasonRefused:
			c.SetSlots(-2) // none is free with the gate's slack
			u.sendPacket("c", numbered(u.keyRanked(packet.ProtoTCP, "c"), 0))
		case ReasonCold:
			c.SetSlots(50)
			c.cfg.Warmup = load.NewWarmup(u.now)
			c.cfg.Warmup.Set(0.01, math.MaxInt64)
		default:
			u.evacuate("abcd")
		}
		path, action := u.sendPacket("c", late)
		g.Expect(path).To(Equal("c"))
		g.Expect(action.Reason).To(Equal(why))
		g.Expect(action.Kind).NotTo(Equal(Reset), "%v", why)
	}
}
