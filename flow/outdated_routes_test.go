package flow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of a flow that is open in the service to which a newer version of the routes sends it: a
// balancer that has the earlier version sends its next packet to the other service, unmarked, whose agents all deny it.
func TestFlowOpenedByNewerRoutesIsNotReset(t *testing.T) {
	versions := map[string][2][]Target{
		"another service": {toTest, toOther},
		"weights":         {{{testService, 1}, {otherService, 0}}, {{testService, 0}, {otherService, 1}}},
	}
	for name, v := range versions {
		g := NewWithT(t)
		u := newUpstreamRig(4)
		u.run(settled)
		view := func(targets []Target) *View {
			out := routedView(targets...)
			out.Services[0].Upstreams = u.list
			return out
		}
		current, late := NewRouter(RouterConfig{}), NewRouter(RouterConfig{})
		for _, r := range []*Router{current, late} {
			r.SetView(0, view(v[0]))
		}
		now := 2 * MaxFlowAge
		current.SetView(now, view(v[1]))
		k := u.keyRanked(packet.ProtoTCP, "a", "b", "c", "d")
		opening, request := numbered(k, 0), data(k)
		g.Expect(current.Route(now, &opening).Service).To(Equal(otherService), name)
		d := late.Route(now+time.Millisecond, &request)
		g.Expect(d.Service).To(Equal(testService), name)
		flags := uint8(0)
		if d.Shared {
			flags = packet.FlagShared
		}
		_, action := u.sendWithFlags("a", request, flags)
		g.Expect(action.Kind).NotTo(Equal(Reset), name)
		g.Expect(u.findLost("a")).To(BeEmpty(), name)
	}
}
