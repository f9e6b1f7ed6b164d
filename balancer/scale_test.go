package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// BenchmarkViewChange measures the cost of one changed record at the target scale:
// 48,000 upstreams behind 4,300 addresses.
func BenchmarkViewChange(bench *testing.B) {
	RegisterTestingT(bench)
	const upstreams, services = 48000, 4300
	records := make([]member.Record, upstreams)
	for i := range records {
		s := i % services
		records[i] = upstreamRecord(fmt.Sprintf("u%d", i), "127.0.0.1:7101")
		records[i].Service = fmt.Sprintf("service-%d", s)
		addr := netip.AddrFrom4([4]byte{10, 96, byte(s >> 8), byte(s)})
		records[i].Endpoints = []flow.Endpoint{{Addr: netip.AddrPortFrom(addr, 80), Proto: packet.ProtoTCP}}
	}
	b := newTestBalancer(records...)
	for bench.Loop() {
		r := &records[0]
		r.Version++
		b.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, []member.Record{*r}) })
		b.refreshView()
	}
}
