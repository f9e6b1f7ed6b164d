package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against the reset of open flows that an upstream which has started again in place has accepted before its first
// announcement: their agent ends before that announcement, and the next one, which starts within a second of the
// upstream, takes itself for the first.
func TestAgentIsNotTakenForTheFirstBesideAnUpstreamThatHasJustRestarted(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	v := newUpstreamVM()
	v.now = flow.MaxFlowAge // the balancer knows all processes that have ended lately
	v.startAgent(0)
	v.run(100 * time.Millisecond)
	v.announce(0, 1)
	v.run(10 * time.Second)
	born := v.now
	v.run(200 * time.Millisecond) // the agent passes SYNs to the new run, and is killed
	v.now += 400 * time.Millisecond
	v.startAgent(0)
	v.run(200 * time.Millisecond)
	v.announce(born, 2)
	v.run(time.Second)
	g.Expect(v.answer()).To(Equal(packet.MaybeHeld))
}

// Guards against the reset of open flows after a kill of all processes but one balancer, which was cut off while a VM was
// added and knows no earlier agent there: it has run for long enough to count as a witness.
func TestBalancerThatWasCutOffIsNoWitnessOfAYoungUpstream(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	v := newUpstreamVM()
	v.now = 2 * flow.MaxFlowAge
	born := v.now // the earlier agent, which ran until now, is not known to the balancer
	v.now += 1800 * time.Millisecond
	v.startAgent(0)
	v.run(200 * time.Millisecond)
	v.announce(born, 4)
	v.run(time.Second)
	g.Expect(v.answer()).To(Equal(packet.MaybeHeld))
}

// Guards against the reset of open flows after a kill of all processes beside an upstream of a few seconds, on a VM whose
// clock was set back meanwhile: the upstream seems to have started with its agent.
func TestAgentOnAVMWhoseClockWasSetBackIsNotTakenForTheFirst(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	v := newUpstreamVM()
	v.warmup = 5 * time.Second
	v.startAgent(0)
	v.run(100 * time.Millisecond)
	v.announce(0, 1)
	v.run(2 * time.Second)
	v.announce(0, 2)
	v.startBalancer()
	v.balancer.SetLoaded() // the store does not list the VM yet
	v.now += 500 * time.Millisecond
	v.startAgent(-3 * time.Second)
	v.run(200 * time.Millisecond)
	v.announce(0, 3)
	v.run(time.Second)
	g.Expect(v.answer()).To(Equal(packet.MaybeHeld))
}
