package balancer

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/mem"
)

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
