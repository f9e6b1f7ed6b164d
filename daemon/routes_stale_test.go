package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// nonReader is a process that does not read the store because other processes do, in the virtual
// time of a synctest bubble.
type nonReader struct {
	*Routes
	store *fake.Store
	start time.Time

	mu     sync.Mutex
	reads  int
	outage bool // reads fail
}

// readCount returns the number of reads of the store so far.
func (r *nonReader) readCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

func (r *nonReader) setOutage(outage bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage = outage
}

// runNonReader runs the test with a process that has version 1 and is told that it is no reader.
func runNonReader(t *testing.T, fleetSize int, test func(g Gomega, r *nonReader)) {
	synctest.Test(t, func(t *testing.T) {
		r := &nonReader{start: time.Now()}
		clock := func() time.Duration { return time.Since(r.start) }
		r.store = fake.NewStore(clock)
		r.store.Before = func(call fake.Call) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if call != fake.CallList {
				return nil
			}
			r.reads++
			if r.outage {
				return store.ErrUnavailable
			}
			return nil
		}
		r.Routes = NewRoutes(RoutesConfig{
			Log: event.NewLogger(io.Discard), Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)),
			Store: r.store, Key: "routes", Decode: decodeLetters,
		})
		g := NewWithT(t)
		r.write(g, "a")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r.SetFleetSize(fleetSize)
		r.Step(ctx, nonReaderRank, 1, netip.AddrPort{})
		go r.Run(ctx)
		synctest.Wait()
		g.Expect(r.Version()).To(BeEquivalentTo(1))
		test(g, r)
		cancel()
		synctest.Wait()
	})
}

func (r *nonReader) write(g Gomega, document string) {
	_, err := r.store.Txn(context.Background(), nil, []store.Op{{Key: "routes", Value: []byte(document)}})
	g.Expect(err).NotTo(HaveOccurred())
}

// confirmEvery confirms the document at the interval at which the first reader does, each time as
// late as gossip may be.
func (r *nonReader) confirmEvery(interval, delay, total time.Duration) {
	for end := r.cfg.Clock() + total; r.cfg.Clock() < end; {
		at := r.cfg.Clock()
		time.Sleep(delay)
		r.Confirm(at)
		time.Sleep(interval - delay)
	}
}

// Guards against a balancer that never takes up a new document because the balancers that read
// the store for it are gone and still count as live (review/1): it must be in force 3 s after the
// store has acknowledged it, also if they are lost right before the change.
func TestStaleRoutesAreReadByANonReader(t *testing.T) {
	runNonReader(t, 6, func(g Gomega, r *nonReader) {
		r.confirmEvery(routesReadAge, 100*time.Millisecond, time.Minute)
		for version := 2; version < 12; version++ {
			r.Confirm(r.cfg.Clock()) // the last sign of a reader
			r.write(g, "aaaaaaaaaaaa"[:version])
			time.Sleep(3 * time.Second)
			g.Expect(r.Version()).To(BeEquivalentTo(version))
		}
	})
}

// Guards against store calls by every process of a fleet while the readers confirm the document.
func TestConfirmedRoutesAreNotReadByANonReader(t *testing.T) {
	runNonReader(t, 6, func(g Gomega, r *nonReader) {
		r.confirmEvery(routesReadAge, 400*time.Millisecond, time.Minute)
		g.Expect(r.readCount()).To(Equal(1), "the read at the start")
	})
}

// Guards against calls by all processes of a fleet each second of an outage of the store, and
// against one that waits too long after it.
func TestANonReaderBacksOffDuringAnOutage(t *testing.T) {
	for _, size := range []int{6, 5300} {
		runNonReader(t, size, func(g Gomega, r *nonReader) {
			r.setOutage(true)
			time.Sleep(10 * time.Minute)
			before, outage := r.readCount(), 10*time.Minute
			time.Sleep(outage)
			rate := float64(r.readCount()-before) / outage.Seconds()
			g.Expect(rate*float64(size)).To(BeNumerically("<=", 1.1*maxStaleReads), "%d processes together", size)
			g.Expect(rate).To(BeNumerically("<", 0.25))
			r.setOutage(false)
			r.write(g, "aa")
			time.Sleep(5 * (maxStaleRetryPause + time.Duration(size)*time.Second/maxStaleReads) / 4)
			g.Expect(r.Version()).To(BeEquivalentTo(2))
		})
	}
}
