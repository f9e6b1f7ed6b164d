package standin

import (
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

var _ = Describe("the connections of an upstream", func() {
	service := netip.MustParseAddrPort("10.96.0.1:80")

	// Guards against connection records without the client's address or the end of
	// the connection: connections beyond a plan's limit would not be detected.
	It("are recorded with source, start and end", func() {
		r := NewResponder(ResponderConfig{Name: "u1", Service: "s", Addresses: []netip.AddrPort{service}}, rand.New(rand.NewPCG(1, 1)))
		send := func(now time.Duration, source string, flags uint8, seq uint32) {
			key := packet.KeyOf(netip.MustParseAddrPort(source), service, packet.ProtoTCP)
			r.Receive(now, packet.AppendTCP(nil, &packet.TCPSegment{Key: key, Flags: flags, Seq: seq}))
		}
		send(1, "10.0.0.1:1", packet.FlagSYN, 10)
		send(2, "10.0.0.1:1", packet.FlagSYN, 10)
		send(3, "10.0.0.1:1", packet.FlagFIN|packet.FlagACK, 11)
		send(4, "10.0.0.2:1", packet.FlagSYN, 20)
		send(5, "10.0.0.2:1", packet.FlagSYN, 30)
		send(6, "10.0.0.2:1", packet.FlagRST, 31)
		send(7, "10.0.0.3:1", packet.FlagSYN, 40)
		first, second, third := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("10.0.0.3")
		list, dropped := r.Connections(8)
		Expect(dropped).To(BeZero())
		Expect(list).To(Equal([]Connection{{first, 1, 3}, {second, 4, 5}, {second, 5, 6}, {third, 7, 0}}))
	})
})
