package agent

import (
	"math/rand/v2"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// headerCacheSize is the number of delivered packets whose headers are stored. At 20,000
// packets per second the upstream has 200 ms to return a packet, which suffices because
// upstream and agent run on the same VM.
const headerCacheSize = 1 << 12

// headerCache stores the headers of delivered packets by the tag set in the packet,
// because the upstream returns a packet without its header.
type headerCache struct {
	next    uint32
	tags    [headerCacheSize]uint32
	headers [headerCacheSize]packet.Header
}

// newHeaderCache returns an empty cache. Its tags begin at a random number: the upstream may return a packet that an
// earlier process of the agent has delivered.
func newHeaderCache(rng *rand.Rand) headerCache { return headerCache{next: rng.Uint32()} }

// put stores the header of a delivered packet and returns its tag, which is not 0.
func (c *headerCache) put(h *packet.Header) uint32 {
	c.next++
	if c.next == 0 {
		c.next++
	}
	index := c.next % headerCacheSize
	c.tags[index], c.headers[index] = c.next, *h
	return c.next
}

// get returns the header of the packet with the tag unless it has been overwritten.
func (c *headerCache) get(tag uint32) (packet.Header, bool) {
	index := tag % headerCacheSize
	if tag == 0 || c.tags[index] != tag {
		return packet.Header{}, false
	}
	return c.headers[index], true
}
