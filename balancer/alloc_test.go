//go:build !race

// The race detector changes allocations, so they are counted only without it.

package balancer

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packetio"
)

// discard is a sink that discards all packets.
type discard struct{ packetio.Conn }

func (discard) Send(*packetio.Outbox) int { return 0 }

var _ = Describe("The packet path", func() {
	// Guards against garbage collection caused by the packet path.
	It("does not allocate for a batch", func() {
		b := newTestBalancer(upstreamRecord("u1", "127.0.0.1:7101"), upstreamRecord("u2", "127.0.0.1:7102"))
		b.reader.sink = discard{}
		for b.reader.in.Put(syn(client)) {
		}
		Expect(testing.AllocsPerRun(100, b.reader.handle)).To(BeZero())
	})
})

// BenchmarkHandle measures parsing, routing and encapsulation of a full batch; divide
// the result by packetio.BatchSize to get the time per packet.
func BenchmarkHandle(bench *testing.B) {
	RegisterTestingT(bench)
	b := newTestBalancer(upstreamRecord("u1", "127.0.0.1:7101"), upstreamRecord("u2", "127.0.0.1:7102"))
	b.reader.sink = discard{}
	for b.reader.in.Put(syn(client)) {
	}
	bench.ReportAllocs()
	for bench.Loop() {
		b.reader.handle()
	}
	bench.ReportMetric(float64(bench.N*packetio.BatchSize)/bench.Elapsed().Seconds(), "packets/s")
}
