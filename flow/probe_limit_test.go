package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// These tests guard against packets of one open flow that reach several other upstreams and none its own,
// which counts from the last packet at its own upstream on.

// Guards against probes that are counted anew after a while: two packets of the flow visited two other
// upstreams every 2 s until one had three.
func TestProbesAreNotCountedAnewWhileTheClientSends(t *testing.T) {
	g := NewWithT(t)
	u := newUpstreamRig(6)
	u.run(settled)
	k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d", "e", "f")
	u.held["f"][k] = true
	for _, p := range u.list {
		u.restartAgent(p.Name)
		u.reportStart(p.Name)
	}
	for range 40 {
		u.sendPacket("a", data(k))
		u.findLost("a")
		u.run(time.Second)
	}
	g.Expect(u.misdelivered()).To(BeNumerically("<", misdeliveryLimit))
}
