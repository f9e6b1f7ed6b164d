package agent

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Guards against a packet of an earlier process of the agent that is forwarded with the header of another packet, and
// with its count of probes.
func TestTagsOfAnEarlierProcessAreUnknown(t *testing.T) {
	g := NewWithT(t)
	earlier, present := newHeaderCache(rand.New(rand.NewPCG(1, 1))), newHeaderCache(rand.New(rand.NewPCG(1, 2)))
	tag := earlier.put(&packet.Header{Tried: 2})
	present.put(&packet.Header{})
	_, known := present.get(tag)
	g.Expect(known).To(BeFalse())
}
