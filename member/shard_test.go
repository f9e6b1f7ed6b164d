package member_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// fakeStore keeps keys and their revisions like the platform store.
type fakeStore struct {
	keys map[string]store.KV
	last int64
}

func (r *fakeStore) txn(conditions []store.Compare, writes []store.Op) store.TxnResult {
	for _, c := range conditions {
		kv := r.keys[c.Key]
		if c.Target == store.CompareCreate && kv.CreateRevision != c.Revision ||
			c.Target == store.CompareMod && kv.ModRevision != c.Revision {
			return store.TxnResult{Revision: r.last}
		}
	}
	r.last++
	for _, w := range writes {
		kv := r.keys[w.Key]
		if kv.CreateRevision == 0 {
			kv = store.KV{Key: w.Key, CreateRevision: r.last}
		}
		kv.Value, kv.Lease, kv.ModRevision = w.Value, w.Lease, r.last
		r.keys[w.Key] = kv
	}
	return store.TxnResult{Succeeded: true, Revision: r.last}
}

func (r *fakeStore) names() []string {
	GinkgoHelper()
	records, err := member.DecodeShard(r.keys[member.ShardKey("fd0")].Value)
	Expect(err).NotTo(HaveOccurred())
	var out []string
	for _, rec := range records {
		out = append(out, rec.Name)
	}
	return out
}

// collector is a balancer with its shard writer.
type collector struct {
	*member.ShardWriter
	node *member.Node
	now  time.Duration
}

func newCollector(name string, known ...string) *collector {
	f := newFleet(1)
	c := &collector{member.NewShardWriter("fd0", name), member.NewNode(member.Config{}, f.record(name, "", "fd0"), rand.New(rand.NewPCG(1, 1))), 0}
	for _, k := range known {
		c.node.Load(0, []member.Record{f.record(k, "portal", "fd0")})
	}
	return c
}

func (c *collector) elect(r *fakeStore, lease store.LeaseID) {
	GinkgoHelper()
	c.Campaigned(r.txn(c.CampaignTxn(lease)), nil)
	Expect(c.Term()).NotTo(BeZero())
}

func (c *collector) load(r *fakeStore) {
	GinkgoHelper()
	Expect(c.NeedsLoad()).To(BeTrue())
	records, err := c.HandleShard(r.keys[member.ShardKey("fd0")])
	Expect(err).NotTo(HaveOccurred())
	c.node.Load(c.now, records)
}

// write advances the clock by one minute and returns the transaction that is due then.
func (c *collector) write() ([]store.Compare, []store.Op, bool) {
	GinkgoHelper()
	c.now += time.Minute
	conditions, writes, due, err := c.WriteTxn(c.now, c.node.Table())
	Expect(err).NotTo(HaveOccurred())
	return conditions, writes, due
}

func (c *collector) mustWrite(r *fakeStore) store.TxnResult {
	GinkgoHelper()
	conditions, writes, due := c.write()
	Expect(due).To(BeTrue())
	result := r.txn(conditions, writes)
	c.Written(result, nil)
	return result
}

var _ = Describe("a shard", func() {
	var r *fakeStore
	var first *collector

	BeforeEach(func() {
		r = &fakeStore{keys: make(map[string]store.KV)}
		first = newCollector("b1", "u1", "u2")
		first.elect(r, store.LeaseID{Number: 11})
		_, _, due := first.write()
		Expect(due).To(BeFalse(), "write before the stored shard was read")
		first.load(r)
		first.mustWrite(r)
		Expect(r.names()).To(Equal([]string{"b1", "u1", "u2"}))
	})

	// successor expires the first lease and elects another balancer.
	successor := func() *collector {
		delete(r.keys, member.LeaseKey("fd0"))
		second := newCollector("b2")
		second.elect(r, store.LeaseID{Number: 22})
		return second
	}

	It("is written only after a change", func() {
		_, _, due := first.write()
		Expect(due).To(BeFalse())
	})

	It("keeps its records when a successor without records is elected", func() {
		second := successor()
		second.load(r)
		second.mustWrite(r)
		Expect(r.names()).To(Equal([]string{"b1", "b2", "u1", "u2"}))
	})

	It("cannot be overwritten by a collector that was paused beyond the end of its lease", func() {
		first.node.Load(first.now, []member.Record{newFleet(1).record("u3", "portal", "fd0")})
		conditions, writes, due := first.write()
		Expect(due).To(BeTrue())
		second := successor()
		result := r.txn(conditions, writes)
		Expect(result.Succeeded).To(BeFalse(), "between two terms")
		second.load(r)
		second.mustWrite(r)
		before := r.names()
		first.Written(r.txn(conditions, writes), nil)
		Expect(r.names()).To(Equal(before))
		Expect(first.Term()).To(BeZero())
		Expect(first.HandleLease(r.keys[member.LeaseKey("fd0")])).To(BeFalse())
	})

	It("is read again after a write with an unknown outcome, which then cannot overwrite a later write", func() {
		first.node.Load(first.now, []member.Record{newFleet(1).record("u3", "portal", "fd0")})
		delayed, old, _ := first.write()
		first.Written(store.TxnResult{}, store.ErrUnknown)
		_, _, due := first.write()
		Expect(due).To(BeFalse())
		first.load(r)
		first.mustWrite(r)
		Expect(r.txn(delayed, old).Succeeded).To(BeFalse())
	})

	// Guards against a collector that ends itself because a store that has returned from an older
	// copy assigns revisions and leases again.
	It("is written on after the store's revisions have gone back", func() {
		first.node.Load(first.now, []member.Record{newFleet(1).record("u3", "portal", "fd0")})
		delete(r.keys, member.LeaseKey("fd0"))
		r.last = 10
		first.elect(r, store.LeaseID{Number: 11})
		term := first.Term()
		first.load(r)
		first.mustWrite(r)
		first.node.Load(first.now, []member.Record{newFleet(1).record("u4", "portal", "fd0")})
		_, _, due := first.write()
		Expect(due).To(BeTrue())
		first.Written(store.TxnResult{Succeeded: true, Revision: 1}, nil)

		r.keys, r.last = map[string]store.KV{member.LeaseKey("fd0"): {
			Value: []byte("b1"), Lease: store.LeaseID{Number: 11}, CreateRevision: term - 1, ModRevision: term - 1}}, term-1
		Expect(first.HandleLease(r.keys[member.LeaseKey("fd0")])).To(BeTrue())
		Expect(first.Term()).To(Equal(term - 1))
		first.load(r)
		first.mustWrite(r)
		delete(r.keys, member.LeaseKey("fd0"))
		r.last = 0
		first.elect(r, store.LeaseID{Number: 11})
		Expect(first.Term()).To(BeEquivalentTo(1))
		first.load(r)
		first.mustWrite(r)
		Expect(r.names()).To(Equal([]string{"b1", "u1", "u2", "u3", "u4"}))
	})

	It("lets a balancer detect its own election as collector after the response was lost", func() {
		delete(r.keys, member.LeaseKey("fd0"))
		second := newCollector("b2")
		r.txn(second.CampaignTxn(store.LeaseID{Number: 22}))
		second.Campaigned(store.TxnResult{}, store.ErrUnknown)
		Expect(second.Term()).To(BeZero())
		Expect(second.HandleLease(r.keys[member.LeaseKey("fd0")])).To(BeTrue())
		Expect(second.Term()).To(Equal(r.last))
	})

	It("has two candidates for collector in each domain, all of them of that domain", func() {
		f := newFleet(3)
		f.start(9, 0)
		writers := map[string]int{}
		for name, n := range f.balancers {
			for _, domain := range []string{"fd0", "fd1", "fd2"} {
				if member.NewShardWriter(domain, name).Candidate(n.Table()) {
					writers[domain]++
				}
			}
		}
		Expect(writers).To(Equal(map[string]int{"fd0": 2, "fd1": 2, "fd2": 2}))
	})
})
