package etcd_test

import (
	"context"
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

var _ = Describe("a store that was restored from a snapshot", func() {
	ctx := context.Background()

	// Guards against revisions and conditions of before that are used with a store that gives
	// them out again.
	It("is not used by a process that has seen a later revision", func() {
		s, url := newStandin(standin.StoreConfig{})
		log := gbytes.NewBuffer()
		c := newClient(etcd.Config{Endpoints: []string{url}, Log: event.NewLogger(log)})
		_, err := put(c, "k", "a")
		Expect(err).NotTo(HaveOccurred())
		copied := s.Copy()
		_, err = put(c, "k", "b")
		Expect(err).NotTo(HaveOccurred())
		changes, err := c.Watch(ctx, "k", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect((<-changes).Events).To(HaveLen(1))
		Expect((<-changes).Events).To(HaveLen(1))
		s.Restore(copied)
		_, err = c.Get(ctx, "k")
		Expect(err).To(MatchError(store.ErrUnavailable))
		Expect(log).To(gbytes.Say("event=1306 .* from 3 to 2"))

		other := newClient(etcd.Config{Endpoints: []string{url}})
		for range 3 {
			_, err = put(other, "k", "c")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect((<-changes).Err).To(MatchError(store.ErrUnavailable))
		calls := s.Counts().Calls["txn"]
		_, err = put(c, "k", "d")
		Expect(err).To(MatchError(store.ErrUnavailable))
		Expect(s.Counts().Calls["txn"]).To(Equal(calls))
		_, err = c.Watch(ctx, "k", 1)
		Expect(err).To(MatchError(store.ErrUnavailable))
	})

	// Guards against a write that counts as done in the history that the process knows.
	DescribeTable("leaves the outcome of the write that shows it unknown", func(header string, lost bool) {
		headers := []string{`"cluster_id":"14841639068965178418","revision":"9"`, header}
		url := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, fmt.Sprintf(`{"header":{%s},"succeeded":true}`, headers[0]))
			headers = headers[1:]
		}))
		c := newClient(etcd.Config{Endpoints: []string{url}})
		_, err := put(c, "k", "a")
		Expect(err).NotTo(HaveOccurred())
		_, err = put(c, "k", "b")
		if lost {
			Expect(err).To(MatchError(store.ErrUnknown))
		} else {
			Expect(err).NotTo(HaveOccurred())
		}
	},
		Entry("lower revision", `"cluster_id":"14841639068965178418","revision":"8"`, true),
		Entry("other cluster", `"cluster_id":"14841639068965178419","revision":"10"`, true),
		Entry("same cluster", `"cluster_id":14841639068965178418,"revision":"10"`, false),
		Entry("no cluster", `"revision":"10"`, false),
		Entry("no revision", `"cluster_id":"14841639068965178418"`, false),
	)

	// Guards against a process that stops using the store because a member of it answered a
	// stale read from an older revision.
	It("is not mistaken for a member that lags", func() {
		s, url := newStandin(standin.StoreConfig{})
		copied := s.Copy()
		c := newClient(etcd.Config{Endpoints: []string{url}})
		written, err := put(c, "k", "a")
		Expect(err).NotTo(HaveOccurred())
		s.Restore(copied)
		_, err = c.Get(store.AllowStale(ctx), "k")
		Expect(err).To(MatchError(store.ErrNotFound))
		again, err := put(c, "k", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(written))
	})
})
