package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/upstream"
)

// Guards against the reset of the flows of a draining upstream by its peers, because the late notice of exit of its
// former run, under the same ID, counts as its own.
func TestLateNoticeOfExitDoesNotEndADrainingRun(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	v := newUpstreamVM()
	v.startAgent(0)
	v.run(100 * time.Millisecond)
	v.announce(0, 1)
	v.run(time.Second)
	born := v.now
	v.announce(born, 1)
	v.run(500 * time.Millisecond)
	g.Expect(v.agent.monitor.Announced(upstream.Announcement{ID: "i-1", Born: wall(born).UnixMilli(), Sequence: 2,
		Service: "impact-portal", Address: v.address, Slots: 5, Draining: true})).To(Succeed())
	v.agent.monitor.Leaving("i-1") // of the former run
	g.Expect(v.agent.self().State).NotTo(Equal(flow.Leaving))
}
