package flow

import (
	"runtime"
	"testing"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// BenchmarkMemoryPerFlow reports the heap that a table of 2,000 flows takes per
// flow, including the fingerprints at the flows' first choices.
func BenchmarkMemoryPerFlow(b *testing.B) {
	const flows, tables = 2000, 20
	for range b.N {
		var before, after runtime.MemStats
		rigs := make([]*rig, tables)
		for i := range rigs {
			rigs[i] = newRig(2, TableConfig{})
			rigs[i].owners, rigs[i].agents[rigs[i].list[0].ID].cfg.Observer = nil, nil
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		for _, r := range rigs {
			t := r.agents[r.list[0].ID]
			for i := range flows {
				k := key(i, packet.ProtoTCP)
				t.takeOwnership(r.now, k.Hash(), &k)
			}
			r.run(settled)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows/tables, "bytes/flow")
		runtime.KeepAlive(rigs)
	}
}
