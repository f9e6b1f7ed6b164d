package etcd_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

var _ = Describe("faults of the store", func() {
	ctx := context.Background()

	// Guards against reporting a write as failed that took effect.
	It("reports a lost response as unknown, and the write is there", func() {
		s, url := newStandin(standin.StoreConfig{})
		c := newClient(etcd.Config{Endpoints: []string{url, url}})
		s.SetFaults(standin.Faults{LoseResponses: 1})
		_, err := put(c, "k", "v")
		Expect(err).To(MatchError(store.ErrUnknown))
		Expect(err).NotTo(MatchError(store.ErrUnavailable))
		kv, err := c.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(kv.ModRevision).To(Equal(kv.CreateRevision), "the write was repeated")
	})

	// Guards against reporting as unavailable what was sent, and the reverse.
	It("tells a refused write from one without an answer", func() {
		s, url := newStandin(standin.StoreConfig{})
		c := newClient(etcd.Config{Endpoints: []string{url}})
		s.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
		_, err := put(c, "k", "v")
		Expect(err).To(MatchError(store.ErrUnavailable))
		s.SetFaults(standin.Faults{Outage: standin.OutageDrop})
		_, err = put(c, "k", "v")
		Expect(err).To(MatchError(store.ErrUnknown))
		_, err = c.Get(ctx, "k")
		Expect(err).To(MatchError(store.ErrUnavailable))
		s.SetFaults(standin.Faults{})
		_, err = c.Get(ctx, "k")
		Expect(err).To(MatchError(store.ErrNotFound))
	})

	It("reports a closed port as unavailable", func() {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		c := newClient(etcd.Config{Endpoints: []string{server.URL}})
		_, err := put(c, "k", "v")
		Expect(err).To(MatchError(store.ErrUnavailable))
	})

	// Guards against one dead endpoint making the store unusable.
	It("uses the next endpoint when one is down", func() {
		_, url := newStandin(standin.StoreConfig{})
		down := httptest.NewServer(http.NotFoundHandler())
		down.Close()
		c := newClient(etcd.Config{Endpoints: []string{down.URL, url}})
		_, err := put(c, "k", "v")
		Expect(err).NotTo(HaveOccurred())
		events, err := c.Watch(ctx, "k", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect((<-events).Events).To(HaveLen(1))
	})

	// Guards against calling a write failed that a slow store runs later.
	It("reports a write to a slow store as unknown", func() {
		s, url := newStandin(standin.StoreConfig{})
		s.SetFaults(standin.Faults{DelayMS: 50})
		_, err := put(newClient(etcd.Config{Endpoints: []string{url}, Timeout: 5 * time.Millisecond}), "k", "v")
		Expect(err).To(MatchError(store.ErrUnknown))
		patient := newClient(etcd.Config{Endpoints: []string{url}})
		Eventually(func() error { _, err := patient.Get(ctx, "k"); return err }).Should(Succeed())
		Expect(s.Counts().Calls).To(HaveKeyWithValue("txn", int64(1)))
	})

	// Guards against a call that waits for ever, and against calling such a write failed.
	It("gives up on a store that does not answer", func() {
		release := make(chan struct{})
		url := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		DeferCleanup(func() { close(release) })
		c := newClient(etcd.Config{Endpoints: []string{url}, Timeout: 20 * time.Millisecond})
		_, err := put(c, "k", "v")
		Expect(err).To(MatchError(store.ErrUnknown))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		_, err = c.Watch(ctx, "k", 0)
		Expect(err).To(MatchError(store.ErrUnavailable))
	})

	DescribeTable("an error after the write may have been proposed is unknown",
		func(status int, body string, want error) {
			url := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				http.Error(w, body, status)
			}))
			_, err := put(newClient(etcd.Config{Endpoints: []string{url}}), "k", "v")
			Expect(err).To(MatchError(want))
		},
		Entry("no leader", 503, `{"code":14,"message":"etcdserver: no leader"}`, store.ErrUnavailable),
		Entry("too many requests", 429, `{"code":8,"message":"etcdserver: too many requests"}`, store.ErrUnavailable),
		Entry("leader changed", 503, `{"code":14,"message":"etcdserver: leader changed"}`, store.ErrUnknown),
		Entry("timed out", 504, `{"code":14,"message":"etcdserver: request timed out"}`, store.ErrUnknown),
		Entry("a proxy's page", 502, `<html>bad gateway</html>`, store.ErrUnknown),
		Entry("a redirect", 307, "", store.ErrUnknown),
		Entry("unknown lease", 404, `{"code":5,"message":"etcdserver: requested lease not found"}`, store.ErrNotFound),
	)
})
