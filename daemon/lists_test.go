package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/store"
)

func TestDaemon(t *testing.T) { spec.Run(t, "daemon") }

var ctx = context.Background()

// peers is a Transport that calls the Lists and Dump services directly, without sockets.
type peers map[netip.AddrPort]*peer

type peer struct {
	lists *daemon.ListsRPC
	dump  *control.Dump
}

func (p peers) Call(_ context.Context, to netip.AddrPort, _ string, args, reply any) error {
	if p[to] == nil {
		return errors.New("unreachable")
	}
	switch a := args.(type) {
	case *daemon.HeadArgs:
		return p[to].lists.Head(a, reply.(*daemon.HeadReply))
	case *daemon.PagesArgs:
		return p[to].lists.Pages(a, reply.(*daemon.PagesReply))
	case *control.DumpArgs:
		return p[to].dump.State(a, reply.(*control.DumpReply))
	}
	return errors.New("unknown method")
}

// documents returns lists with the given number of customers.
func documents(customers int) plan.Documents {
	var c bytes.Buffer
	c.WriteString("{\"customers\": [\n")
	for i := range customers {
		fmt.Fprintf(&c, "{\"name\": \"office-%d\", \"plan\": \"basic\", \"sources\": [\"10.%d.%d.0/24\"]},\n", i, i/256, i%256)
	}
	c.WriteString("]}\n")
	plans := `{"default_plan": "", "plans": [{"name": "basic", "weight": 1, "services": {"impact-portal": {"connections": 10, "new_connections_per_second": 5, "requests": 5}}}]}`
	return plan.Documents{Customers: c.Bytes(), Plans: []byte(plans)}
}

func writeLists(s store.Store, docs plan.Documents) {
	e := edit.New(edit.Config{Store: s, Author: "operator"})
	base, err := e.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	outcome, err := e.Apply(ctx, base, func(plan.Documents) (plan.Documents, error) { return docs, nil })
	Expect(err).NotTo(HaveOccurred())
	Expect(outcome.Status).To(Equal(edit.Accepted))
}

func newStore() *fake.Store { return fake.NewStore(func() time.Duration { return 0 }) }

// process holds the lists of one process with a clock that the test controls.
type process struct {
	*daemon.Lists
	log       bytes.Buffer
	activated chan int64
	running   sync.WaitGroup // of a process that follow has started
}

func newProcess(now *time.Duration, t daemon.Transport, s store.Store, spawn func(func())) *process {
	p := &process{activated: make(chan int64, 8)}
	p.Lists = daemon.NewLists(daemon.ListsConfig{
		Log: event.NewLogger(&p.log), Clock: func() time.Duration { return *now },
		Rand: rand.New(rand.NewPCG(1, 1)), Transport: t, Store: s, Spawn: spawn,
		Activated: func(r int64) { p.activated <- r },
	})
	return p
}

func inline(f func()) { f() }

var _ = Describe("Lists", func() {
	var (
		now     time.Duration
		address = netip.MustParseAddrPort("127.0.0.1:1")
	)
	BeforeEach(func() { now = 0 })

	// follow starts a process that watches the store until the spec ends.
	follow := func(s store.Store, net peers) *process {
		watch, cancel := context.WithCancel(ctx)
		var p *process
		p = newProcess(&now, net, s, func(f func()) { p.running.Go(f) })
		DeferCleanup(func() { cancel(); p.running.Wait() })
		p.Step(watch, true, 0)
		return p
	}

	// Guards against a process that never receives an edit, because it cannot reach the
	// store or because only other processes read the store.
	It("are distributed from the store through a peer to another process", func() {
		s := newStore()
		writeLists(s, documents(10000))
		var outage atomic.Bool // set while the first process may be opening its watch
		s.Before = func(fake.Call) error {
			if outage.Load() {
				return fmt.Errorf("%w: outage", store.ErrUnavailable)
			}
			return nil
		}
		first := follow(s, nil)
		Expect(<-first.activated).To(BeEquivalentTo(1))
		outage.Store(true)
		second := newProcess(&now, peers{address: {lists: daemon.NewListsRPC(first.Lists)}}, nil, inline)
		second.Step(ctx, false, 1, netip.AddrPort{}, address)
		Expect(second.Revision()).To(BeEquivalentTo(1))
		source := netip.MustParseAddr("10.0.7.9").As16()
		Expect(second.Customer(&source)).To(Equal(xxhash.Sum64String("office-7")))
		unknown := netip.MustParseAddr("10.200.0.1").As16()
		id, refusal := second.Customer(&unknown)
		Expect(id).To(BeZero())
		Expect(refusal).To(Equal(flow.ReasonNoCustomer))
		Expect(second.State().Customers).To(Equal(10000))
	})

	// Guards against an edit that takes effect only after the next poll or restart, and
	// against a watch that outlives its process.
	It("follow the changes of the store until the context ends", func() {
		leaks := goleak.IgnoreCurrent()
		DeferCleanup(func() { goleak.VerifyNone(GinkgoT(), leaks) })
		s := newStore()
		p := follow(s, nil)
		writeLists(s, documents(1))
		Expect(<-p.activated).To(BeEquivalentTo(1))
		writeLists(s, documents(2))
		Expect(<-p.activated).To(BeEquivalentTo(2))
		Expect(p.State().Watching).To(BeTrue())
	})

	// Guards against activating invalid lists, and against a log without the findings or
	// with the same findings repeated.
	It("keep the active revision when the next one is invalid", func() {
		s := newStore()
		writeLists(s, documents(1))
		p := follow(s, nil)
		Expect(<-p.activated).To(BeEquivalentTo(1))
		bad := documents(2)
		bad.Plans = []byte(`{"plans": []}`)
		head, pages := plan.Head{Edit: plan.Edit{Revision: 1, ID: "a"}}.Next(plan.Edit{ID: "b", Author: "x"}, bad)
		var writes []store.Op
		for hash, page := range pages {
			writes = append(writes, store.Op{Key: plan.PageKey(hash), Value: page})
		}
		writes = append(writes, store.Op{Key: plan.HeadKey, Value: head.Encode()})
		_, err := s.Txn(ctx, nil, writes)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 { return p.State().Rejected }).Should(BeEquivalentTo(2))
		Expect(p.Revision()).To(BeEquivalentTo(1))
		p.Step(ctx, true, 2)
		Expect(strings.Count(p.log.String(), "event=1301")).To(Equal(2), "two findings, each logged once: %s", p.log.String())
	})

	// Guards against an accepted edit that the store loses without a line, or with one for each read,
	// both if the store still has an earlier revision and if it has accepted another edit since.
	DescribeTable("log an edit that the store has lost once", func(edits int, stored string) {
		s := newStore()
		writeLists(s, documents(1))
		copied := s.Copy()
		writeLists(s, documents(2))
		p := follow(s, nil)
		Expect(<-p.activated).To(BeEquivalentTo(2))
		run, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		p.Step(run, false, 0)
		s.Restore(copied)
		for i := range edits {
			writeLists(s, documents(3+i))
		}
		for range 2 {
			p.Step(run, true, 0)
			Eventually(func() bool { return p.State().Watching }).Should(BeTrue())
			p.Step(run, false, 0)
		}
		p.running.Wait()
		Expect(p.State().Lost).To(HaveValue(HaveField("Revision", BeEquivalentTo(2))))
		Expect(strings.Count(p.log.String(), "event=1307")).To(Equal(1))
		Expect(p.log.String()).To(MatchRegexp(`event=1307 .*revision=2 era=0 edit=\S+ author=operator stored="?` + stored))
	},
		Entry("for an earlier one", 0, "1"),
		Entry("for another one under its revision", 1, `2 \(era 1\)`),
		Entry("for later ones", 2, `3 \(era 1\)`),
	)

	// Guards against a process that no longer follows the lists after an odd head, and against a
	// head that is ignored without a line or with one at each read.
	DescribeTable("follow the next head after an odd one", func(odd string) {
		s := newStore()
		writeLists(s, documents(1))
		kv, err := s.Get(ctx, plan.HeadKey)
		Expect(err).NotTo(HaveOccurred())
		head, err := plan.DecodeHead(kv.Value)
		Expect(err).NotTo(HaveOccurred())
		p := follow(s, nil)
		Expect(<-p.activated).To(BeEquivalentTo(1))
		put := func(writes ...store.Op) {
			_, err := s.Txn(ctx, nil, writes)
			Expect(err).NotTo(HaveOccurred())
		}
		put(store.Op{Key: plan.HeadKey, Value: []byte(odd)}, store.Op{Key: plan.HeadKey + "/x", Value: []byte(odd)})
		put(store.Op{Key: plan.HeadKey, Value: []byte(odd)})
		next, pages := head.Next(plan.Edit{ID: "b", Author: "x"}, documents(2))
		for hash, page := range pages {
			put(store.Op{Key: plan.PageKey(hash), Value: page})
		}
		put(store.Op{Key: plan.HeadKey, Value: next.Encode()})
		Expect(<-p.activated).To(BeEquivalentTo(2))
		Expect(strings.Count(p.log.String(), "event=1308")).To(Equal(1))
		Expect(p.log.String()).To(ContainSubstring("key=" + plan.HeadKey + " "))
	},
		Entry("null", "null"),
		Entry("not UTF-8", "\xff"),
		Entry("truncated", `{"revision":2`),
		Entry("1,000,000 objects", strings.Repeat(`{"edit_id":`, 1_000_000)),
		Entry("a revision of 1e400", `{"revision":1e400,"edit_id":"x"}`),
		Entry("a negative revision", `{"revision":-1,"edit_id":"x"}`),
	)

	// Guards against a process that queries a peer in every step while that peer has
	// no newer revision.
	It("pause between queries to a peer that has no newer revision", func() {
		empty := newProcess(&now, nil, nil, inline)
		calls := 0
		count := func(f func()) { calls++; f() }
		p := newProcess(&now, peers{address: {lists: daemon.NewListsRPC(empty.Lists)}}, nil, count)
		p.Step(ctx, false, 0, address)
		Expect(calls).To(BeZero(), "no newer revision is known")
		for range 50 {
			p.Step(ctx, false, 1, address)
			now += 100 * time.Millisecond
		}
		Expect(calls).To(BeNumerically("~", 5, 5))
	})
})
