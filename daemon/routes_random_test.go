package daemon

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// routesFleet simulates processes that read the routes from one store and from each other, and an
// operator who writes ever higher versions, in virtual time.
type routesFleet struct {
	t         *rapid.T
	now       time.Duration
	store     *fake.Store
	processes []*Routes
	highest   []int64 // highest active version of each process
	written   int
}

func (f *routesFleet) start(i int) {
	f.processes[i], f.highest[i] = NewRoutes(RoutesConfig{
		Log: event.NewLogger(io.Discard), Clock: func() time.Duration { return f.now },
		Store: f.store.NewClient(), Key: "routes", Decode: decodeLetters,
	}), 0
}

func (f *routesFleet) put(document []byte) {
	_, err := f.store.Txn(context.Background(), nil, []store.Op{{Key: "routes", Value: document}})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *routesFleet) write() {
	f.written++
	f.put(bytes.Repeat([]byte("a"), f.written))
}

func (f *routesFleet) stored() []byte {
	kv, _ := f.store.Get(context.Background(), "routes") // none before the first write
	return kv.Value
}

// known returns the highest version that any process has.
func (f *routesFleet) known() (highest int64) {
	for _, r := range f.processes {
		highest = max(highest, r.Version())
	}
	return highest
}

func (f *routesFleet) read(i int) {
	r := f.processes[i]
	r.Step(context.Background(), 0, f.known(), netip.AddrPort{})
	_ = r.Refresh(context.Background()) // fails while the store has no document
	if r.ConfirmedAt() == f.now && (!bytes.Equal(r.text, f.stored()) || r.Version() < f.known()) {
		f.t.Fatalf("process %d takes version %d as the newest; the store has %d and a process %d", i, r.Version(), len(f.stored()), f.known())
	}
}

func (f *routesFleet) fetch(i, from int) {
	r := f.processes[i]
	var reply RoutesReply
	_ = NewRoutesRPC(f.processes[from]).Fetch(&RoutesArgs{Above: r.Version()}, &reply) // returns no error
	if len(reply.Text) > 0 {
		r.activateFromPeer(reply.Text, netip.AddrPort{})
	}
}

func (f *routesFleet) check() {
	for i, r := range f.processes {
		if r.Version() < f.highest[i] {
			f.t.Fatalf("process %d went from version %d back to %d", i, f.highest[i], r.Version())
		}
		f.highest[i] = r.Version()
	}
}

var _ = Describe("The routes of several processes", func() {
	// Guards, under random returns of the store, against a step back within a process, an older
	// document that counts as the newest, and one that is not in force although it was written
	// again.
	It("never go back and follow the newest document", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := &routesFleet{t: t, processes: make([]*Routes, 3), highest: make([]int64, 3)}
			f.store = fake.NewStore(func() time.Duration { return f.now })
			for i := range f.processes {
				f.start(i)
			}
			copied := f.store.Copy()
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				f.now += 100 * time.Millisecond
				i := rapid.IntRange(0, 2).Draw(t, "process")
				switch rapid.SampledFrom([]string{"write", "write again", "read", "read", "fetch", "restart", "copy", "return"}).Draw(t, "step") {
				case "write":
					f.write()
				case "write again":
					if f.written > 0 {
						f.put(bytes.Repeat([]byte("a"), f.written))
					}
				case "read":
					f.read(i)
				case "fetch":
					f.fetch(i, rapid.IntRange(0, 2).Draw(t, "from"))
				case "restart":
					f.start(i)
				case "copy":
					copied = f.store.Copy()
				case "return":
					f.store.Restore(copied)
				}
				f.check()
			}
			f.write()
			for i, r := range f.processes {
				f.now += 100 * time.Millisecond
				f.read(i)
				if r.Version() != int64(f.written) || r.ConfirmedAt() != f.now {
					t.Fatalf("process %d has version %d of %d", i, r.Version(), f.written)
				}
			}
			f.check()
		})
	})
})
