package packetio_test

import (
	"net"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/packetio"
)

func TestPacketIO(t *testing.T) { spec.Run(t, "packetio") }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listen() *packetio.UDP {
	u, err := packetio.ListenUDP(loopback)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = u.Close() }) // some specs have closed it already
	return u
}

var _ = Describe("A UDP socket", func() {
	// Guards against a batch that loses or reorders packets, and against headroom that
	// overlaps the packet.
	It("receives a batch with headroom for a header", func() {
		a, b := listen(), listen()
		out := packetio.NewOutbox(3)
		for _, s := range []string{"one", "two", "three"} {
			Expect(out.Add([]byte(s), b.LocalAddr())).To(BeTrue())
		}
		Expect(out.Add(nil, b.LocalAddr())).To(BeFalse())
		Expect(a.Send(out)).To(BeZero())
		in := packetio.NewInbox(2, 100)
		var got []string
		for len(got) < 3 {
			Expect(b.Receive(in)).To(Succeed())
			for i := range in.Len() {
				got = append(got, string(in.Packet(i)))
				Expect(in.WithHeadroom(i)).To(HaveLen(2 + len(in.Packet(i))))
			}
		}
		Expect(got).To(Equal([]string{"one", "two", "three"}))
	})

	// Guards against one refused packet that blocks the rest of the batch.
	It("skips a packet that the kernel refuses", func() {
		a, b := listen(), listen()
		out := packetio.NewOutbox(2)
		out.Add(make([]byte, 70000), b.LocalAddr())
		out.Add([]byte("fits"), b.LocalAddr())
		Expect(a.Send(out)).To(Equal(1))
		in := packetio.NewInbox(0, 100)
		Expect(b.Receive(in)).To(Succeed())
		Expect(string(in.Packet(0))).To(Equal("fits"))
	})

	// Guards against a reader goroutine that does not end after Close, because Receive
	// returns another error.
	It("returns net.ErrClosed from Receive after Close", func() {
		a := listen()
		Expect(a.Close()).To(Succeed())
		Expect(a.Receive(packetio.NewInbox(0, 100))).To(MatchError(net.ErrClosed))
	})
})
