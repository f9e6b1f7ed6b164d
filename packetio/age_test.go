package packetio_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packetio"
)

var _ = Describe("A UDP socket with a maximum packet age", func() {
	send := func(a, b *packetio.UDP, texts ...string) {
		out := packetio.NewOutbox(len(texts))
		for _, s := range texts {
			Expect(out.Add([]byte(s), b.LocalAddr())).To(BeTrue())
		}
		Expect(a.Send(out)).To(BeZero())
	}

	// Guards against a process that was paused and forwards packets that their senders
	// have retransmitted since.
	It("drops packets that were queued for longer", func() {
		a, b := listen(), listen()
		Expect(b.SetMaxAge(time.Nanosecond)).To(Succeed())
		send(a, b, "one", "two")
		in := packetio.NewInbox(0, 100)
		for late := 0; late < 2; late += in.Late() {
			Expect(b.Receive(in)).To(Succeed())
			Expect(in.Len()).To(BeZero())
		}
	})

	// Guards against misreading the receive timestamp, which would drop all packets.
	It("receives younger packets", func() {
		a, b := listen(), listen()
		Expect(b.SetMaxAge(time.Hour)).To(Succeed())
		send(a, b, "one")
		in := packetio.NewInbox(2, 100)
		Expect(b.Receive(in)).To(Succeed())
		Expect(string(in.Packet(0))).To(Equal("one"))
		Expect(in.WithHeadroom(0)).To(HaveLen(5))
		Expect(in.Late()).To(BeZero())
	})
})
