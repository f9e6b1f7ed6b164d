package control

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A connection attempt", func() {
	lost := func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	// Guards against an agent that waits for the whole dial timeout because its SYN
	// reached a balancer's VM just before the balancer started.
	It("is repeated when the SYN is lost", func() {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		var calls atomic.Int32
		conn, err := dialParallel(context.Background(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
			if calls.Add(1) < 3 {
				return lost(ctx)
			}
			return near, nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).To(Equal(near))
		Expect(conn.Close()).To(Succeed())
	})

	// Guards against leaking the connections of slower parallel attempts.
	It("closes connections that open after the first one", func() {
		late, peer := net.Pipe()
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		var calls atomic.Int32
		conn, err := dialParallel(context.Background(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
			if calls.Add(1) > 1 {
				return near, nil
			}
			<-ctx.Done()
			return late, nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).To(Equal(near))
		_, err = peer.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "the late connection is closed")
	})

	// Guards against waiting for a VM on which nothing listens, and against waiting beyond
	// the timeout.
	It("ends with the first result or when the context ends", func() {
		refused := errors.New("refused")
		_, err := dialParallel(context.Background(), time.Hour, func(context.Context) (net.Conn, error) { return nil, refused })
		Expect(err).To(Equal(refused))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = dialParallel(ctx, time.Hour, lost)
		Expect(err).To(Equal(context.Canceled))
	})
})
