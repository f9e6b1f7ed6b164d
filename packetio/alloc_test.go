//go:build !race

// With the race detector, sync.Pool, which golang.org/x/net uses for each batch, drops
// items at random, so allocations can be counted only without it.

package packetio_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packetio"
)

var _ = Describe("Sending and receiving on a UDP socket", func() {
	// Guards against garbage collection caused by sending and receiving packets.
	DescribeTable("allocates nothing for a packet", func(maxAge time.Duration) {
		a, b := listen(), listen()
		if maxAge > 0 {
			Expect(b.SetMaxAge(maxAge)).To(Succeed())
		}
		in, out := packetio.NewInbox(8, 100), packetio.NewOutbox(1)
		to := b.LocalAddr()
		payload := make([]byte, 100)
		count := testing.AllocsPerRun(200, func() {
			out.Reset()
			out.Add(payload, to)
			a.Send(out)
			if b.Receive(in) != nil {
				panic("receive failed")
			}
		})
		Expect(count).To(BeZero())
	},
		Entry("without a maximum age", time.Duration(0)),
		Entry("with a maximum age", time.Hour),
	)
})
