package bench

import (
	"fmt"
	"time"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// shardDomain is the failure domain whose shard is measured. A shard is the value in the
// store that holds the membership records of one failure domain; the domain's collector
// writes it.
const shardDomain = "region-0"

func collectorMeasurements() []measurement {
	return []measurement{
		{"value of a shard", Wire, "daemon of the failure domain", domainSizes, shardBytes},
		{"write a shard", CPU, "daemon of the failure domain", domainSizes, shardCPU},
		{"encoded shard in memory", Memory, "daemon of the failure domain", domainSizes, shardMemory},
		{"writes in an hour in which a state changes each second", StoreCalls, "daemon of the failure domain", domainSizes, shardWritesByDaemons},
		{"writes in an hour, 3,807 daemons in the failure domain", StoreCalls, "change", []int{1, 3, 10, 30, 100, 300}, shardWritesByChanges},
	}
}

// shardWorld is a collector with the records of its failure domain.
type shardWorld struct {
	shard    *member.ShardWriter
	table    *member.Table
	records  []member.Record
	revision int64
	now      time.Duration
}

func newShardWorld(n int) *shardWorld {
	w := &shardWorld{shard: member.NewShardWriter(shardDomain, "balancer-00000"), table: member.NewTable(), now: steadyStart}
	w.records = make([]member.Record, n)
	for i := range w.records {
		w.records[i] = balancerRecord(i)
		if i >= max(1, n/10) {
			w.records[i] = upstreamRecord(i, i/11)
		}
		w.records[i].FailureDomain = shardDomain
		w.table.Merge(w.records[i])
	}
	w.shard.CampaignTxn(store.LeaseID{Number: 1})
	w.shard.Campaigned(w.commit(), nil)
	if _, err := w.shard.HandleShard(store.KV{}); err != nil {
		panic(fmt.Sprintf("bench: an empty shard is malformed: %v", err))
	}
	return w
}

// commit returns the outcome of the next transaction.
func (w *shardWorld) commit() store.TxnResult {
	w.revision++
	return store.TxnResult{Succeeded: true, Revision: w.revision}
}

// write returns the shard's new value if a write is due.
func (w *shardWorld) write() ([]byte, bool) {
	_, ops, due, err := w.shard.WriteTxn(w.now, w.table)
	if err != nil {
		panic(fmt.Sprintf("bench: writing a shard failed: %v", err))
	}
	if !due {
		return nil, false
	}
	w.shard.Written(w.commit(), nil)
	return ops[0].Value, true
}

// change merges the next version of a daemon's record.
func (w *shardWorld) change(i int) {
	r := &w.records[i%len(w.records)]
	r.Version++
	r.State = flow.Draining
	w.table.Merge(*r)
}

// writesInHour counts the writes in an hour with the given number of evenly spaced changes.
func (w *shardWorld) writesInHour(changes int) int {
	writes, merged := 0, 0
	w.write()
	begin := w.now
	for ; w.now < begin+time.Hour; w.now += time.Second {
		for merged*int(time.Hour) <= int(w.now-begin)*changes && merged < changes {
			w.change(merged)
			merged++
		}
		if _, written := w.write(); written {
			writes++
		}
	}
	return writes
}

func shardBytes(_ meter, n int) Point {
	value, _ := newShardWorld(n).write()
	return Point{float64(n), float64(len(value))}
}

func shardCPU(m meter, n int) Point {
	w := newShardWorld(n)
	return Point{float64(n), m.cpu(func() { w.now += time.Hour; w.change(0) }, func() { w.write() })}
}

func shardMemory(m meter, n int) Point {
	w := newShardWorld(n)
	return Point{float64(n), m.heap(func() any {
		w.now += time.Hour
		w.change(0)
		value, _ := w.write()
		return value
	})}
}

func shardWritesByDaemons(_ meter, n int) Point {
	return Point{float64(n), float64(newShardWorld(n).writesInHour(3600))}
}

func shardWritesByChanges(_ meter, n int) Point {
	return Point{float64(n), float64(newShardWorld(targetDaemons / targetDomains).writesInHour(n))}
}
