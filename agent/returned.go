package agent

import "github.com/nutmegtrack/nutmegtrack/packet"

// pathSlots bounds the delivered packets whose path is remembered. At 20,000 packets a
// second a packet has 200 ms to come back, and upstream and agent are on one VM.
const pathSlots = 1 << 12

// paths remembers the headers of delivered packets by the tag that they carry, because
// the upstream returns a packet without the header.
type paths struct {
	next    uint32
	tags    [pathSlots]uint32
	headers [pathSlots]packet.Header
}

// remember returns the tag for a packet delivered under the header; tags are not 0.
func (p *paths) remember(h *packet.Header) uint32 {
	p.next++
	if p.next == 0 {
		p.next++
	}
	slot := p.next % pathSlots
	p.tags[slot], p.headers[slot] = p.next, *h
	return p.next
}

// find returns the header of a returned packet.
func (p *paths) find(tag uint32) (packet.Header, bool) {
	slot := tag % pathSlots
	if tag == 0 || p.tags[slot] != tag {
		return packet.Header{}, false
	}
	return p.headers[slot], true
}
