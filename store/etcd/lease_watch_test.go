package etcd_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

var _ = Describe("leases and watches", func() {
	ctx := context.Background()

	// Guards against a holder that was paused past its lease and then overwrites
	// what its successor wrote. The spec waits for the event, not for a time.
	It("rejects the write of a holder whose key has a new owner", func() {
		_, url := newStandin(standin.StoreConfig{})
		c := newClient(etcd.Config{Endpoints: []string{url}})
		events, err := c.Watch(ctx, "leader", 0)
		Expect(err).NotTo(HaveOccurred())

		paused, err := c.Grant(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		first, err := c.Txn(ctx, nil, []store.Op{{Key: "leader", Lease: paused}})
		Expect(err).NotTo(HaveOccurred())
		Expect((<-events).Events[0].Deleted).To(BeFalse())
		Expect((<-events).Events[0].Deleted).To(BeTrue(), "the lease's end deletes its key")
		second, err := put(c, "leader", "successor")
		Expect(err).NotTo(HaveOccurred())

		_, err = c.KeepAlive(ctx, paused)
		Expect(err).To(MatchError(store.ErrNotFound))
		write := func(term int64) bool {
			condition := store.Compare{Key: "leader", Target: store.CompareCreate, Revision: term}
			result, err := c.Txn(ctx, []store.Compare{condition}, []store.Op{{Key: "shard"}})
			Expect(err).NotTo(HaveOccurred())
			return result.Succeeded
		}
		Expect(write(first.Revision)).To(BeFalse())
		Expect(write(second.Revision)).To(BeTrue())
	})

	// Guards against changes that a watch misses or repeats after an outage.
	It("resumes after an outage without a gap", func() {
		s, url := newStandin(standin.StoreConfig{})
		c := newClient(etcd.Config{Endpoints: []string{url}})
		events, err := c.Watch(ctx, "k", 1)
		Expect(err).NotTo(HaveOccurred())
		put(c, "k1", "a")
		last := (<-events).Revision
		s.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		Expect((<-events).Err).To(MatchError(store.ErrUnavailable))
		Eventually(events).Should(BeClosed())
		s.SetFaults(standin.Faults{})
		put(c, "other", "b")
		put(c, "k2", "c")
		events, err = c.Watch(ctx, "k", last+1)
		Expect(err).NotTo(HaveOccurred())
		Expect((<-events).Events[0].KV.Key).To(Equal("k2"))
	})

	// Guards against a reader that silently misses the changes that were compacted.
	It("says that the history was compacted, and a list and a new watch catch up", func() {
		_, url := newStandin(standin.StoreConfig{History: 2})
		c := newClient(etcd.Config{Endpoints: []string{url}})
		for _, value := range []string{"a", "b", "c", "d"} {
			put(c, "k", value)
		}
		events, err := c.Watch(ctx, "k", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect((<-events).Err).To(MatchError(store.ErrCompacted))
		kvs, revision, err := c.List(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(kvs[0].Value)).To(Equal("d"))
		events, err = c.Watch(ctx, "k", revision+1)
		Expect(err).NotTo(HaveOccurred())
		put(c, "k", "e")
		Expect(string((<-events).Events[0].KV.Value)).To(Equal("e"))
	})
})
