package agent

import "github.com/nutmegtrack/nutmegtrack/packet"

// pathSlots is the number of delivered packets whose headers are stored. At 20,000 packets
// per second the upstream has 200 ms to return a packet, which suffices because upstream
// and agent run on the same VM.
const pathSlots = 1 << 12

// paths stores the headers of delivered packets by the tag set in the packet, because the
// upstream returns a packet without its header.
type paths struct {
	next    uint32
	tags    [pathSlots]uint32
	headers [pathSlots]packet.Header
}

// remember stores the header of a delivered packet and returns its tag, which is not 0.
func (p *paths) remember(h *packet.Header) uint32 {
	p.next++
	if p.next == 0 {
		p.next++
	}
	slot := p.next % pathSlots
	p.tags[slot], p.headers[slot] = p.next, *h
	return p.next
}

// find returns the header of the packet with the tag unless it has been overwritten.
func (p *paths) find(tag uint32) (packet.Header, bool) {
	slot := tag % pathSlots
	if tag == 0 || p.tags[slot] != tag {
		return packet.Header{}, false
	}
	return p.headers[slot], true
}
