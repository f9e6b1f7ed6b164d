package agent

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
)

// ipDatagrams is a datagram format with an IP packet in each datagram.
type ipDatagrams struct{ packet.IP }

func (ipDatagrams) SetTag([]byte, uint32)                         {}
func (ipDatagrams) Tag([]byte) uint32                             { return 0 }
func (ipDatagrams) ClearTransitFields([]byte)                     {}
func (ipDatagrams) AppendReset(dst []byte, _ *packet.Info) []byte { return append(dst, "reset"...) }
func (ipDatagrams) ClientAddress(k *packet.Key) netip.AddrPort    { return k.Source() }

// Guards against the reset of an open flow by an upstream that has held an earlier flow on its ports: a balancer with an
// outdated hint sends the flow's packet there, the agent delivers it as a probe, and the upstream answers it with a reset
// instead of returning it.
func TestResetInAnswerToAProbeIsNotSentToTheClient(t *testing.T) {
	RegisterTestingT(t)
	g := NewWithT(t)
	v := newUpstreamVM()
	v.now = flow.MaxFlowAge
	v.startAgent(0)
	v.agent.options.Packets = ipDatagrams{}
	v.run(100 * time.Millisecond)
	v.announce(v.now, 1)
	v.run(500 * time.Millisecond)
	g.Expect(v.answer()).To(Equal(packet.NotHeld), "the agent knows all flows of its upstream")
	a := &testAgent{Agent: v.agent, reader: v.agent.newReader(), replyReader: v.agent.newReplyReader()}
	raw := segment(serviceAddr, packet.FlagACK)
	b := make([]byte, packet.HeaderSize, packet.HeaderSize+len(raw))
	h := packet.Header{Kind: packet.KindData, Service: v.agent.service, Origin: origin, Flags: packet.FlagExpected}
	h.Put(b)
	a.handle(append(b, raw...))
	g.Expect(v.agent.ports.upstream.(*packetio.Pipe).Sent()).To(HaveLen(1), "delivered as a probe")

	key := packet.KeyOf(serviceAddr, client, packet.ProtoTCP)
	a.replyReader.in.Put(packet.AppendTCP(nil, &packet.TCPSegment{Key: key, Flags: packet.FlagRST | packet.FlagACK}))
	a.replyReader.handle()
	g.Expect(v.agent.ports.replies.(*packetio.Pipe).Sent()).To(BeEmpty())
}
