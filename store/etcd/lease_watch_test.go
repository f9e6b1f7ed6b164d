package etcd_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

var _ = Describe("a watch of the store", func() {
	ctx := context.Background()

	// Guards against a watch that misses or repeats changes after an outage.
	It("continues without a gap when it is opened again after an outage", func() {
		s, url := newStandin(standin.StoreConfig{})
		c := newClient(etcd.Config{Endpoints: []string{url}})
		events, err := c.Watch(ctx, "k", 1)
		Expect(err).NotTo(HaveOccurred())
		put(c, "k1", "a")
		last := (<-events).Revision
		s.SetFaults(standin.StoreFaults{Outage: standin.OutageRefuse})
		Expect((<-events).Err).To(MatchError(store.ErrUnavailable))
		_, open := <-events
		Expect(open).To(BeFalse())
		s.SetFaults(standin.StoreFaults{})
		put(c, "other", "b")
		put(c, "k2", "c")
		events, err = c.Watch(ctx, "k", last+1)
		Expect(err).NotTo(HaveOccurred())
		Expect((<-events).Events[0].KV.Key).To(Equal("k2"))
	})

	// Guards against a reader that misses compacted changes without an error.
	It("reports that the history was compacted, and a list and a new watch catch up", func() {
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
