package etcd_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
)

var _ = Describe("faults of the store", func() {
	ctx := context.Background()

	// Guards against reporting a write that took effect as failed.
	It("reports a lost response as unknown, and the write is there", func() {
		s, url := newStandin(standin.StoreConfig{})
		c := newClient(etcd.Config{Endpoints: []string{url, url}})
		s.SetFaults(standin.StoreFaults{LoseResponses: 1})
		_, err := put(c, "k", "v")
		Expect(err).To(MatchError(store.ErrUnknown))
		Expect(err).NotTo(MatchError(store.ErrUnavailable))
		kv, err := c.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(kv.ModRevision).To(Equal(kv.CreateRevision), "the write was repeated")
	})

	// Guards against reporting a write that was sent as unavailable, and a refused one as
	// unknown.
	It("distinguishes a refused write from an unanswered one", func() {
		s, url := newStandin(standin.StoreConfig{})
		c := newClient(etcd.Config{Endpoints: []string{url}})
		s.SetFaults(standin.StoreFaults{Outage: standin.OutageRefuse})
		_, err := put(c, "k", "v")
		Expect(err).To(MatchError(store.ErrUnavailable))
		s.SetFaults(standin.StoreFaults{Outage: standin.OutageDrop})
		_, err = put(c, "k", "v")
		Expect(err).To(MatchError(store.ErrUnknown))
		_, err = c.Get(ctx, "k")
		Expect(err).To(MatchError(store.ErrUnavailable))
		s.SetFaults(standin.StoreFaults{})
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

	// Guards against a store that is unusable because one endpoint is down.
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

	// Guards against a write that is reported as failed although the store runs it later.
	// The spec ends the call only after the store has received the whole request: a call
	// that ends before sending it may report ErrUnknown although nothing is written.
	// TestTimeout checks the same for the client's own timeout.
	DescribeTable("a write whose call ends after the store received it is unknown",
		func(newContext func() (context.Context, context.CancelFunc), cause error) {
			callCtx, end := newContext()
			s := standin.NewStoreServer(standin.StoreConfig{})
			DeferCleanup(s.Close)
			held := newHeldTxns(s, end)
			url := serve(held)
			DeferCleanup(held.release)
			// The limits of the client are far above what the spec takes.
			c := newClient(etcd.Config{Endpoints: []string{url, url}, Timeout: time.Hour, DialTimeout: time.Hour})

			_, err := putWith(callCtx, c, "k", "v")
			Expect(held.received.Load()).To(Equal(int64(1)), "the call ended without the request")
			Expect(err).To(MatchError(store.ErrUnknown))
			Expect(err).To(MatchError(cause))
			Expect(err).NotTo(MatchError(store.ErrUnavailable))
			_, err = c.Get(ctx, "k")
			Expect(err).To(MatchError(store.ErrNotFound), "the write took effect while it was held")

			held.release()
			<-held.ran
			kv, err := c.Get(ctx, "k")
			Expect(err).NotTo(HaveOccurred())
			Expect(string(kv.Value)).To(Equal("v"))
			Expect(held.received.Load()).To(Equal(int64(1)), "the write was repeated")
			Expect(s.Counts().Calls).To(HaveKeyWithValue("txn", int64(1)))
		},
		Entry("when the caller cancels it", cancellable, context.Canceled),
		Entry("when the caller's deadline passes", manualDeadline, context.DeadlineExceeded),
	)

	// Guards against a call that waits forever. TestTimeout checks in virtual time that the
	// write is unknown; here this depends on whether it was sent within the timeout.
	It("gives up on a store that does not answer", func() {
		release := make(chan struct{})
		url := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		DeferCleanup(func() { close(release) })
		c := newClient(etcd.Config{Endpoints: []string{url}, Timeout: 20 * time.Millisecond})
		_, err := put(c, "k", "v")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		_, err = c.Watch(ctx, "k", 0)
		Expect(err).To(MatchError(store.ErrUnavailable))
	})

	DescribeTable("classifies error responses to a write",
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
		Entry("a proxy's error page", 502, `<html>bad gateway</html>`, store.ErrUnknown),
		Entry("a redirect", 307, "", store.ErrUnknown),
		Entry("unknown lease", 404, `{"code":5,"message":"etcdserver: requested lease not found"}`, store.ErrNotFound),
	)
})

// heldTxns is a handler in front of a store. It receives a transaction completely, calls
// onReceived, and passes the request on only after release.
type heldTxns struct {
	next       http.Handler
	onReceived func()
	received   atomic.Int64
	released   chan struct{}
	release    func()
	ran        chan struct{} // gets one value for each transaction that the store has run
}

func newHeldTxns(next http.Handler, onReceived func()) *heldTxns {
	h := &heldTxns{next: next, onReceived: onReceived, released: make(chan struct{}), ran: make(chan struct{}, 10)}
	h.release = sync.OnceFunc(func() { close(h.released) })
	return h
}

func (h *heldTxns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.PathTxn {
		h.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // not received; the spec finds received unchanged
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	h.received.Add(1)
	h.onReceived()
	<-h.released
	h.next.ServeHTTP(w, r)
	h.ran <- struct{}{}
}

func cancellable() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

// deadlineContext is a context whose deadline passes when done is closed.
type deadlineContext struct {
	context.Context
	done chan struct{}
}

func (c *deadlineContext) Done() <-chan struct{} { return c.done }

func (c *deadlineContext) Err() error {
	select {
	case <-c.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// manualDeadline returns a context and a function that makes its deadline pass.
func manualDeadline() (context.Context, context.CancelFunc) {
	c := &deadlineContext{Context: context.Background(), done: make(chan struct{})}
	return c, sync.OnceFunc(func() { close(c.done) })
}
