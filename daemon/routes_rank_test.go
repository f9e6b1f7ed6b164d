package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/route"
	"github.com/nutmegtrack/nutmegtrack/store"
)

var _ = Describe("The periodic read of the routes", func() {
	var (
		now time.Duration
		r   *Routes
	)
	BeforeEach(func() {
		now = 0
		r = NewRoutes(RoutesConfig{Clock: func() time.Duration { return now }, Rand: rand.New(rand.NewPCG(1, 1))})
	})
	setRank := func(n int) { r.Step(context.Background(), n, 0, netip.AddrPort{}) }

	// Guards against a read by every reader, and against no read at all when the first
	// reader has failed: each reader waits longer than the preceding one, but none for more than
	// the 3 s within which a new document must be active.
	It("is skipped as long as a preceding reader confirms the document", func() {
		setRank(0)
		Expect(r.timeUntilRead()).To(Equal(routesReadAge))
		setRank(1)
		Expect(r.timeUntilRead()).To(Equal(routesReadAge + routesReadStagger))
		for _, rank := range []int{2, 27} {
			setRank(rank)
			now = routesReadAge + routesReadStagger
			r.Confirm(routesReadAge)
			Expect(r.timeUntilRead()).To(BeNumerically(">", 0))
			now = routesReadAge + routesStaleAge + routesReaderSpread
			Expect(r.timeUntilRead()).To(Equal(time.Duration(0)))
			now = 0
		}
	})

	// Guards against calls by all readers during an outage, each of which is billed.
	It("is retried less often by the later readers once routes are active", func() {
		setRank(3)
		Expect(r.retryPause()).To(Equal(routesRetryInterval), "without routes")
		r.active.Store(&route.Document{Version: 1})
		Expect(r.retryPause()).To(Equal(4 * routesRetryInterval))
		setRank(0)
		Expect(r.retryPause()).To(Equal(routesRetryInterval))
	})
})

var _ = Describe("A document that cannot be decoded", func() {
	// Guards against a document that never becomes active because one response of the
	// store was damaged: the revision of a damaged document must not be recorded.
	It("is replaced by other content of the same revision", func() {
		decoded := 0
		r := NewRoutes(RoutesConfig{
			Log: event.NewLogger(io.Discard), Clock: func() time.Duration { return 0 },
			Decode: func(text []byte) (*route.Document, finding.List, error) {
				decoded++
				if string(text) != "whole" {
					return nil, nil, errors.New("damaged")
				}
				return &route.Document{Version: 7}, nil, nil
			},
		})
		for range 3 {
			r.install(store.KV{Value: []byte("wh"), ModRevision: 12})
		}
		Expect(decoded).To(Equal(1), "the same content is decoded only once")
		Expect(r.Version()).To(BeZero())
		r.install(store.KV{Value: []byte("whole"), ModRevision: 12})
		Expect(r.Version()).To(Equal(int64(7)))
	})
})
