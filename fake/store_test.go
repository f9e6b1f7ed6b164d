package fake_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/store"
)

func TestFake(t *testing.T) { spec.Run(t, "fake") }

var _ = Describe("Store", func() {
	ctx := context.Background()
	var now time.Duration
	var s *fake.Store
	write := func(key string, lease store.LeaseID) (store.TxnResult, error) {
		return s.Txn(ctx, nil, []store.Op{{Key: key, Lease: lease}})
	}
	BeforeEach(func() {
		now = 0
		s = fake.NewStore(func() time.Duration { return now })
	})

	// Guards against leases that never expire in the fake store: a test of a suspended
	// lease holder would then pass without testing anything.
	It("expires leases in virtual time and notifies the watches", func() {
		lease, _ := s.Grant(ctx, 5*time.Second)
		write("k", lease)
		events, _ := s.Watch(ctx, "k", 0)
		now = 4 * time.Second
		Expect(s.KeepAlive(ctx, lease)).To(Equal(5 * time.Second))
		now = 9 * time.Second
		_, err := s.Get(ctx, "k")
		Expect(err).To(MatchError(store.ErrNotFound))
		Expect((<-events).Events[0].Deleted).To(BeTrue())
		_, err = s.KeepAlive(ctx, lease)
		Expect(err).To(MatchError(store.ErrNotFound))
	})

	// Other tests rely on injected faults that have the effects of the real store's faults.
	It("simulates the faults of the real store", func() {
		s.LoseResponses = 1
		_, err := write("lost", store.LeaseID{})
		Expect(err).To(MatchError(store.ErrUnknown))
		_, err = s.Get(ctx, "lost")
		Expect(err).NotTo(HaveOccurred())
		s.Outage = true
		_, err = write("refused", store.LeaseID{})
		Expect(err).To(MatchError(store.ErrUnavailable))
		s.Outage = false
		_, err = s.Get(ctx, "refused")
		Expect(err).To(MatchError(store.ErrNotFound))
	})

	It("ends a watch whose start revision was compacted", func() {
		result, _ := write("k", store.LeaseID{})
		s.Compact(result.Revision)
		events, err := s.Watch(ctx, "k", result.Revision)
		Expect(err).NotTo(HaveOccurred())
		Expect((<-events).Err).To(MatchError(store.ErrCompacted))
		Expect(events).To(BeClosed())
	})

	// Other tests rely on a return that loses what was written since the copy and gives out
	// its revisions and leases again.
	It("simulates a return from an older copy", func() {
		other := s.NewClient()
		first, _ := write("k", store.LeaseID{})
		copied := s.Copy()
		lease, _ := s.Grant(ctx, time.Hour)
		lost, _ := write("k", store.LeaseID{})
		write("lost", lease)
		changes, _ := s.Watch(ctx, "k", lost.Revision+1)
		under := func(c store.Store, revision int64, lease store.LeaseID) (store.TxnResult, error) {
			return c.Txn(ctx, []store.Compare{{Key: "k", Revision: revision}}, []store.Op{{Key: "k", Lease: lease}})
		}
		s.Restore(copied)
		Expect((<-changes).Err).To(MatchError(store.ErrUnavailable))

		_, err := under(other, first.Revision, store.LeaseID{})
		Expect(err).To(MatchError(store.ErrUnknown), "the condition holds by chance")
		_, err = s.Get(ctx, "lost")
		Expect(err).To(MatchError(store.ErrNotFound))
		result, err := under(s, lost.Revision, store.LeaseID{})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Succeeded).To(BeFalse())
		again, _ := s.Grant(ctx, time.Hour)
		Expect(again.Number).To(Equal(lease.Number))
		_, err = s.KeepAlive(ctx, lease)
		Expect(err).To(MatchError(store.ErrNotFound))
		kv, _ := s.Get(ctx, "k")
		Expect(kv.ModRevision).To(BeNumerically(">", lost.Revision))
		Expect(store.NumberOf(kv.ModRevision)).To(Equal(store.NumberOf(lost.Revision)))
		result, err = under(s, kv.ModRevision, again)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Succeeded).To(BeTrue())
		for _, from := range []int64{first.Revision, lost.Revision + 1, result.Revision + 2} {
			changes, _ = s.Watch(ctx, "k", from)
			Expect((<-changes).Err).To(MatchError(store.ErrCompacted))
		}
		changes, _ = s.Watch(ctx, "k", result.Revision)
		Expect((<-changes).Events[0].KV.Lease).To(Equal(again))
	})
})
