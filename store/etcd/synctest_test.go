package etcd_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

// pipeListener accepts in-memory connections. The fake clock of a synctest bubble does
// not advance while a goroutine waits for a socket, but does while it waits for a net.Pipe.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newPipeListener() *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.close()
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serveInBubble serves the handler over in-memory connections until the test ends, and
// returns a constructor of clients of it. The caller runs in a synctest bubble.
func serveInBubble(t *testing.T, handler http.Handler) func(etcd.Config) *etcd.Client {
	listener := newPipeListener()
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	t.Cleanup(func() {
		server.Close()
		time.Sleep(time.Hour) // lets waiting handlers return, as the bubble requires
	})
	return func(cfg etcd.Config) *etcd.Client {
		c, err := etcd.New(cfg)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		etcd.SetDial(c, listener.dial)
		t.Cleanup(c.Close)
		return c
	}
}

const virtualURL = "http://store"

// TestTimeout runs in virtual time: the client's timeout passes only when the store has
// received the request and both sides wait.
func TestTimeout(t *testing.T) {
	ctx := context.Background()

	// Guards against reporting a write as failed that a slow store runs later, and against
	// repeating it at the next endpoint.
	t.Run("reports a write to a slow store as unknown", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := standin.NewStoreServer(standin.StoreConfig{})
			t.Cleanup(s.Close)
			newClient := serveInBubble(t, s)
			s.SetFaults(standin.StoreFaults{DelayMS: 50})

			start := time.Now()
			_, err := put(newClient(etcd.Config{Endpoints: []string{virtualURL, virtualURL}, Timeout: 5 * time.Millisecond}), "k", "v")
			g.Expect(err).To(MatchError(store.ErrUnknown))
			g.Expect(err).To(MatchError(context.DeadlineExceeded))
			g.Expect(err).NotTo(MatchError(store.ErrUnavailable))
			g.Expect(time.Since(start)).To(Equal(5 * time.Millisecond))

			s.SetFaults(standin.StoreFaults{}) // does not shorten a delay that has begun
			patient := newClient(etcd.Config{Endpoints: []string{virtualURL}})
			_, err = patient.Get(ctx, "k")
			g.Expect(err).To(MatchError(store.ErrNotFound), "the write took effect before the delay")
			time.Sleep(time.Second)
			kv, err := patient.Get(ctx, "k")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(kv.Value)).To(Equal("v"))
			g.Expect(s.Counts().Calls).To(HaveKeyWithValue("txn", int64(1)))
		})
	})

	// Guards against a call that waits forever, and against reporting an unanswered write as
	// failed.
	t.Run("gives up on a store that does not answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			release := make(chan struct{})
			newClient := serveInBubble(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
			t.Cleanup(func() { close(release) })
			c := newClient(etcd.Config{Endpoints: []string{virtualURL}, Timeout: 20 * time.Millisecond})

			start := time.Now()
			_, err := put(c, "k", "v")
			g.Expect(err).To(MatchError(store.ErrUnknown))
			g.Expect(err).To(MatchError(context.DeadlineExceeded))
			_, err = c.Watch(ctx, "k", 0)
			g.Expect(err).To(MatchError(store.ErrUnavailable))
			g.Expect(time.Since(start)).To(Equal(40 * time.Millisecond))
		})
	})
}

// Guards against a lease owner that was paused until its lease expired and then overwrites
// its successor's data. In virtual time the lease cannot expire before its key is written.
func TestLeaseEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		s := standin.NewStoreServer(standin.StoreConfig{})
		t.Cleanup(s.Close)
		c := serveInBubble(t, s)(etcd.Config{Endpoints: []string{virtualURL}})
		t.Cleanup(cancel)
		events, err := c.Watch(ctx, "leader", 0)
		g.Expect(err).NotTo(HaveOccurred())

		paused, err := c.Grant(ctx, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		first, err := c.Txn(ctx, nil, []store.Op{{Key: "leader", Lease: paused}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect((<-events).Events[0].Deleted).To(BeFalse())
		g.Expect((<-events).Events[0].Deleted).To(BeTrue(), "the key is deleted when its lease expires")
		second, err := put(c, "leader", "successor")
		g.Expect(err).NotTo(HaveOccurred())

		_, err = c.KeepAlive(ctx, paused)
		g.Expect(err).To(MatchError(store.ErrNotFound))
		write := func(term int64) bool {
			condition := store.Compare{Key: "leader", Target: store.CompareCreate, Revision: term}
			result, err := c.Txn(ctx, []store.Compare{condition}, []store.Op{{Key: "shard"}})
			g.Expect(err).NotTo(HaveOccurred())
			return result.Succeeded
		}
		g.Expect(write(first.Revision)).To(BeFalse())
		g.Expect(write(second.Revision)).To(BeTrue())
	})
}
