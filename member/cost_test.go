package member_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

// BenchmarkNodeSecond reports the CPU time that a balancer with records of 5,300
// balancers and 48,000 upstreams needs for one second of the protocol: 10 steps, 20
// heartbeats, 5 exchanges, and 5 pushes of changed records, each followed by a rebuild
// of the view. It also reports the heap size of one table.
func BenchmarkNodeSecond(b *testing.B) {
	f := newFleet(1)
	records := f.records(5300, 48000)
	before := heap()
	n := member.NewNode(member.Config{}, records[0], f.rng())
	n.Load(0, records[1:])
	peer := member.NewTable()
	for _, r := range records {
		peer.Merge(r)
	}
	perTable := (heap() - before) / 2
	digest := peer.Digest()
	now := 10 * time.Second
	n.Step(now)
	b.ResetTimer()
	for i := range b.N {
		for tick := range 10 {
			now += 100 * time.Millisecond
			n.Step(now)
			for agent := range 2 {
				n.Handle(now, heartbeatOf(records[5300+14*(2*tick+agent)]))
			}
			if tick%2 == 0 {
				changed := records[5300+(7*i+tick)%48000]
				changed.Version += uint64(i + 1)
				changed.State = flow.Draining
				n.Handle(now, member.Message{Kind: member.KindPush, Records: []member.Record{changed}})
				n.Table().View()
				n.Handle(now, member.Message{Kind: member.KindDigest, Digests: []member.Digest{digest}})
			}
		}
	}
	b.ReportMetric(float64(perTable)/1e6, "MB/table")
}

func heartbeatOf(r member.Record) member.Message {
	return member.Message{Kind: member.KindHeartbeat, ID: xxhash.Sum64String(r.Name), Records: nil}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
