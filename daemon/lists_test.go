package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
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
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/store"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

var ctx = context.Background()

// peers carries calls of the Lists and Dump services without sockets.
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

var _ = Describe("Lists", func() {
	var (
		log   bytes.Buffer
		seen  []int64
		newer = func() *daemon.Lists {
			return daemon.NewLists(event.NewLogger(&log), func(r int64) { seen = append(seen, r) })
		}
		address = netip.MustParseAddrPort("127.0.0.1:1")
	)
	BeforeEach(func() { log.Reset(); seen = nil })

	// Guards against a process that never sees an edit, because the store is down
	// for it or only others read the store, and against a reply that is cut off at
	// its size limit.
	It("pass from the store through a peer to another process", func() {
		s := newStore()
		writeLists(s, documents(10000))
		first, second := newer(), newer()
		Expect(first.Update(ctx, daemon.StoreLists{Store: s})).To(Succeed())
		s.Outage = true
		net := peers{address: {lists: daemon.NewListsRPC(first)}}
		Expect(second.Update(ctx, daemon.PeerLists{Transport: net, Control: address})).To(Succeed())
		Expect(seen).To(Equal([]int64{1, 1}))
		source := netip.MustParseAddr("10.0.7.9").As16()
		Expect(second.Customer(&source)).To(Equal(xxhash.Sum64String("office-7")))
		unknown := netip.MustParseAddr("10.200.0.1").As16()
		Expect(second.Customer(&unknown)).To(BeZero())
	})

	// Guards against an edit that reverts when a peer is behind.
	It("never go back to a lower revision", func() {
		s := newStore()
		writeLists(s, documents(1))
		old, current := newer(), newer()
		Expect(old.Update(ctx, daemon.StoreLists{Store: s})).To(Succeed())
		writeLists(s, documents(2))
		Expect(current.Update(ctx, daemon.StoreLists{Store: s})).To(Succeed())
		net := peers{address: {lists: daemon.NewListsRPC(old)}}
		Expect(current.Update(ctx, daemon.PeerLists{Transport: net, Control: address})).To(Succeed())
		Expect(current.Revision()).To(BeEquivalentTo(2))
	})

	// Guards against lists that a process puts into force without being able to
	// validate them, and against a log that repeats the same findings for ever.
	It("keep the active revision when the next one has findings", func() {
		s := newStore()
		writeLists(s, documents(1))
		l := newer()
		Expect(l.Update(ctx, daemon.StoreLists{Store: s})).To(Succeed())
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
		for range 2 {
			Expect(l.Update(ctx, daemon.StoreLists{Store: s})).NotTo(Succeed())
		}
		Expect(l.Revision()).To(BeEquivalentTo(1))
		Expect(bytes.Count(log.Bytes(), []byte("event=1301"))).To(Equal(2), "two findings, each logged once: %s", log.String())
	})

	// Guards against an edit that waits for the next restart, and against a watch
	// that outlives its process.
	It("follow the store's changes until the context ends", func() {
		defer goleak.VerifyNone(GinkgoT(), goleak.IgnoreCurrent())
		s := newStore()
		active := make(chan int64, 2)
		l := daemon.NewLists(event.NewLogger(&bytes.Buffer{}), func(r int64) { active <- r })
		watch, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			l.WatchStore(watch, s, func(error) {})
			close(done)
		}()
		writeLists(s, documents(1))
		Expect(<-active).To(BeEquivalentTo(1))
		writeLists(s, documents(2))
		Expect(<-active).To(BeEquivalentTo(2))
		cancel()
		<-done
	})
})

var _ = Describe("The list fetcher", func() {
	// Guards against a process that asks a peer again and again without a pause
	// while that peer has nothing newer.
	It("pauses after a fetch that brought nothing newer", func() {
		now, calls := time.Duration(0), 0
		l := daemon.NewLists(event.NewLogger(&bytes.Buffer{}), func(int64) {})
		spawn := func(f func()) { calls++; f() }
		failed := func(netip.AddrPort, error) {}
		f := daemon.NewListFetcher(l, peers{}, func() time.Duration { return now }, spawn, failed)
		peer := netip.MustParseAddrPort("127.0.0.1:9")
		f.Step(ctx, 0, peer)
		Expect(calls).To(Equal(0), "nothing newer is known")
		f.Step(ctx, 1, peer)
		f.Step(ctx, 1, peer)
		Expect(calls).To(Equal(1))
		now = time.Second
		f.Step(ctx, 1, peer)
		Expect(calls).To(Equal(2))
	})
})
