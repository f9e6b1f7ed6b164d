package balancer

import (
	"bytes"
	"context"
	"regexp"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/mem"
)

// unreadable returns how many lines the balancer has logged about an unreadable value of the key.
func unreadable(b *testBalancer, key string) int {
	return len(regexp.MustCompile(`event=1308 .*key=`+regexp.QuoteMeta(key)+` `).FindAllString(b.log.String(), -1))
}

var _ = Describe("The collector", func() {
	var (
		ctx = context.Background()
		now time.Duration
		s   *fake.Store
		b1  *testBalancer
		u1  = upstreamRecord("u1", "127.0.0.1:7101")
	)
	BeforeEach(func() {
		now = 0
		s = fake.NewStore(func() time.Duration { return now })
		b1 = newStoreBalancer("b1", s.NewClient(), u1)
	})

	// steps runs the balancers' collectors once per second of simulated time.
	steps := func(seconds int, balancers ...*testBalancer) {
		for range seconds {
			for _, b := range balancers {
				b.now = now
				b.collector.step(ctx)
			}
			now += time.Second
		}
	}
	stored := func() (names []string) {
		kv, err := s.Get(ctx, member.ShardKey("a"))
		Expect(err).NotTo(HaveOccurred())
		records, err := member.DecodeShard(kv.Value)
		Expect(err).NotTo(HaveOccurred())
		for _, r := range records {
			names = append(names, r.Name)
		}
		return names
	}
	put := func(key string, value []byte) {
		_, err := s.Txn(ctx, nil, []store.Op{{Key: key, Value: value}})
		Expect(err).NotTo(HaveOccurred())
	}
	load := func(b *testBalancer, records ...member.Record) {
		b.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, records) })
	}

	// Guards against a balancer that starts without a reachable seed and finds no other
	// process, although the store contains the fleet.
	It("stores the fleet for starting balancers to read", func() {
		steps(5, b1)
		Expect(stored()).To(Equal([]string{"b1", "u1"}))
		b2 := newStoreBalancer("b2", s.NewClient())
		Expect(b2.wake).NotTo(Receive())
		steps(1, b2)
		Expect(b2.wake).To(Receive(), "the view must be installed without delay")
		b2.refreshView()
		Expect(b2.view().Services).To(HaveLen(1))
	})

	// Guards against a shard that is no longer written after the collector has stopped or
	// failed, and against a paused collector that overwrites its successor's shard.
	DescribeTable("is replaced when it", func(end func(), wait int) {
		steps(5, b1)
		term := b1.collector.shard.Term()
		Expect(term).NotTo(BeZero())
		b2 := newStoreBalancer("b2", s.NewClient())
		steps(3, b2)
		Expect(b2.collector.shard.Term()).To(BeZero(), "b1 holds the lease")
		end()
		steps(wait, b2)
		Expect(b2.collector.shard.Term()).To(BeNumerically(">", term))
		load(b2, upstreamRecord("u2", "127.0.0.1:7102"))
		steps(10, b2)
		Expect(stored()).To(ContainElements("u1", "u2"))

		gone := u1
		gone.State, gone.Version = flow.Leaving, 1
		load(b1, gone)
		steps(3, b1, b2)
		Expect(b1.collector.shard.Term()).To(BeZero())
		Expect(stored()).To(ContainElements("u1", "u2"))
	},
		Entry("stops", func() { b1.collector.stop(ctx) }, 1),
		Entry("is paused beyond the expiry of its lease", func() {}, 12),
	)

	// Guards against a balancer that loses a domain, or ends, or no longer writes its shard, for one
	// odd entry of another writer, and against a line in the log at each read of it.
	It("starts and continues beside odd entries", func() {
		steps(5, b1)
		kv, err := s.Get(ctx, member.ShardKey("a"))
		Expect(err).NotTo(HaveOccurred())
		var records []cbor.RawMessage
		var shard struct {
			Records []cbor.RawMessage `cbor:"2,keyasint"`
		}
		Expect(cbor.Unmarshal(kv.Value, &shard)).To(Succeed())
		odd, _ := cbor.Marshal(map[string]int{"port": 65536})
		records = append([]cbor.RawMessage{odd}, shard.Records...)
		value, _ := cbor.Marshal(map[int]any{1: 1, 2: records})
		put(member.ShardKey("a"), value)
		put(member.ShardPrefix, bytes.Repeat([]byte{0x81}, 1_000_000))
		put(member.ShardPrefix+"b/c", nil)

		b2 := newStoreBalancer("b2", s)
		steps(1, b2)
		b2.refreshView()
		Expect(b2.view().Services).To(HaveLen(1))
		for _, key := range []string{"members/", "members/a", "members/b/c"} {
			Expect(unreadable(b2, key)).To(Equal(1))
		}
		Expect(b2.log.String()).NotTo(ContainSubstring("event=1302"))

		load(b1, upstreamRecord("u2", "127.0.0.1:7102"))
		steps(15, b1)
		Expect(stored()).To(Equal([]string{"b1", "u1", "u2"}))
		Expect(unreadable(b1, "members/a")).To(Equal(1))
	})

	// Guards against a domain that never has a collector again: a lease key without a lease, which
	// another writer has left, is never removed.
	It("removes a lease key that has no lease", func() {
		put(member.LeaseKey("a"), []byte("no balancer"))
		put(member.LeaseKey("a")+"/x", []byte("no lease key"))
		steps(30, b1)
		Expect(b1.collector.shard.Term()).NotTo(BeZero())
		Expect(stored()).To(Equal([]string{"b1", "u1"}))
		Expect(unreadable(b1, member.LeaseKey("a"))).To(Equal(1))
	})

	// Guards against a collector that does not resume after an outage of the store.
	It("resumes after an outage of the store", func() {
		steps(5, b1)
		s.Outage = true
		load(b1, upstreamRecord("u2", "127.0.0.1:7102"))
		steps(30, b1)
		s.Outage = false
		steps(15, b1)
		Expect(stored()).To(ContainElement("u2"))
	})

	// Guards against a shard that is no longer written, or by two collectors at once, after the
	// store has returned from a copy that is older than the term, the lease or both.
	DescribeTable("is one balancer again after the store has returned from a copy", func(before int) {
		b2 := newStoreBalancer("b2", s.NewClient())
		copies := []*mem.Engine{s.Copy()}
		for range 6 {
			steps(1, b1, b2)
			copies = append(copies, s.Copy())
		}
		load(b1, upstreamRecord("u2", "127.0.0.1:7102"))
		load(b2, upstreamRecord("u3", "127.0.0.1:7103"))
		steps(6, b1, b2)
		term := max(b1.collector.shard.Term(), b2.collector.shard.Term())
		Expect(term).NotTo(BeZero())
		for range 2 {
			s.Restore(copies[before])
			steps(25, b1, b2)
			Expect(min(b1.collector.shard.Term(), b2.collector.shard.Term())).To(BeZero())
			Expect(max(b1.collector.shard.Term(), b2.collector.shard.Term())).To(BeNumerically(">", term))
			// Each of the two has a record that the other does not know.
			Expect(stored()).To(And(ContainElement("u1"), Or(ContainElement("u2"), ContainElement("u3"))))
		}
	},
		Entry("without a lease", 0),
		Entry("without a shard", 1),
		Entry("with both", 6),
	)

	// Guards against a failure domain without a collector for as long as another balancer renews the
	// lease to which a store that has returned from an older copy has attached this balancer's key.
	It("takes back a lease key that it has written under the lease of another", func() {
		other, err := s.Grant(ctx, leaseTTL)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Txn(ctx, nil, []store.Op{{Key: member.LeaseKey("a"), Value: []byte("b1"), Lease: other}})
		Expect(err).NotTo(HaveOccurred())
		for range 20 {
			_, err = s.KeepAlive(ctx, other)
			Expect(err).NotTo(HaveOccurred())
			steps(1, b1)
		}
		Expect(b1.collector.shard.Term()).NotTo(BeZero())
		Expect(stored()).To(ContainElement("u1"))
	})

	// Guards against a collector that no longer writes after a write that took effect
	// although its response was lost.
	It("continues after lost responses", func() {
		s.LoseResponses = 5
		steps(30, b1)
		load(b1, upstreamRecord("u2", "127.0.0.1:7102"))
		s.LoseResponses = 1
		steps(15, b1)
		Expect(stored()).To(Equal([]string{"b1", "u1", "u2"}))
	})
})
