package bench

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/plan"
	planedit "github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/plan/fetch"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// slopePlans are the plans of the customers in slopeDocuments.
const slopePlans = `{"plans": [
  {"name": "gold", "services": {"impact-portal": {"connections": 100, "new_connections_per_second": 50, "requests": 10}}},
  {"name": "basic", "services": {"impact-portal": {"connections": 10, "new_connections_per_second": 5, "requests": 1}}}
]}
`

func readerMeasurements() []measurement {
	customers := []int{100, 300, 1000, 3000, 10000}
	changes := []int{1, 3, 10, 30, 100}
	return []measurement{
		{"lists in force and their pages", Memory, "customer", customers, listsMemory},
		{"validate and install a revision", CPU, "customer", customers, listsInstall},
		{"fetch both lists from a peer", Wire, "customer", customers, listsBytes},
		{"fetch an edit of one customer from a peer", Wire, "customer", customers, editBytes},
		{"reader that follows edits by its watch, 100 customers", StoreCalls, "change", changes, readerCalls},
		{"editor, 100 customers", StoreCalls, "change", changes, editorCalls},
	}
}

// slopeDocuments returns lists with n customers, one on each line. The first
// basicCount customers have the plan "basic", the others the plan "gold".
func slopeDocuments(n, basicCount int) plan.Documents {
	var b bytes.Buffer
	b.WriteString("{\"customers\": [\n")
	for i := range n {
		name := "gold"
		if i < basicCount {
			name = "basic"
		}
		fmt.Fprintf(&b, "  {\"name\": \"office-%05d\", \"plan\": %q, \"sources\": [\"10.%d.%d.0/24\", \"2001:db8:%x::/48\"]},\n",
			i, name, i>>8, i&255, i)
	}
	b.WriteString("]}\n")
	return plan.Documents{Customers: b.Bytes(), Plans: []byte(slopePlans)}
}

// revision returns the head that follows the given one, and the pages of lists with n
// customers.
func revision(before plan.Head, n, basicCount int) (plan.Head, plan.Pages) {
	id := fmt.Sprintf("%d-0123456789abcdef", before.Revision)
	return before.Next(plan.Edit{ID: id, Author: "operator", Time: time.Unix(0, 0)}, slopeDocuments(n, basicCount))
}

func listsMemory(m meter, n int) Point {
	return Point{float64(n), m.heap(func() any {
		head, pages := revision(plan.Head{}, n, 0)
		r := plan.NewReader(plan.ReaderConfig{}, slopeRand())
		r.SetReadsStore(true)
		installFromStore(r, afterSettling, head, pages)
		return r
	})}
}

func listsInstall(m meter, n int) Point {
	head, pages := revision(plan.Head{}, n, 0)
	return Point{float64(n), m.cpu(func() {}, func() {
		var i plan.Installer
		if err := i.Install(head, pages); err != nil {
			panic(fmt.Sprintf("bench: lists are invalid: %v", err))
		}
	})}
}

// installFromStore answers a reader's fetches from the store until the revision is in force.
func installFromStore(r *plan.Reader, now time.Duration, head plan.Head, pages plan.Pages) {
	for range 10 * (1 + len(pages)) {
		for _, f := range r.Step(now) {
			switch f.Kind {
			case plan.FetchHead:
				r.FetchDone(now, f.ID, plan.Result{Head: head.Encode(), StoreRevision: head.Revision})
			case plan.FetchPages:
				r.FetchDone(now, f.ID, plan.Result{Pages: pages})
			}
		}
		if r.Status().Revision == head.Revision {
			return
		}
		now += time.Second
	}
	panic("bench: a reader did not install the lists")
}

// fetchFromPeer makes a reader fetch the revision of a peer and returns the bytes of the calls.
func fetchFromPeer(r, peer *plan.Reader, now time.Duration) int {
	from := netip.MustParseAddrPort("10.0.0.1:7001")
	heads := newCallSize("Lists.Head", &daemon.HeadArgs{}, &daemon.HeadReply{})
	pages := newCallSize("Lists.Pages", &daemon.PagesArgs{}, &daemon.PagesReply{})
	wanted, total := peer.Status().Revision, 0
	r.SetPeerRevision(now, from, wanted)
	for range 10000 {
		for _, f := range r.Step(now) {
			if f.Kind == plan.FetchHead {
				reply := daemon.HeadReply{Head: peer.Head()}
				total += heads.bytes(&daemon.HeadArgs{}, &reply)
				r.FetchDone(now, f.ID, plan.Result{Head: reply.Head})
				continue
			}
			reply := daemon.PagesReply{Pages: peer.Pages(f.Hashes)}
			total += pages.bytes(&daemon.PagesArgs{Hashes: f.Hashes}, &reply)
			r.FetchDone(now, f.ID, plan.Result{Pages: reply.Pages})
		}
		if r.Status().Revision == wanted {
			return total
		}
	}
	panic("bench: a reader did not fetch the lists from a peer")
}

// loadedAndEmptyReader returns a reader with lists of n customers, a reader without lists, and the
// head of the lists.
func loadedAndEmptyReader(n int) (loaded, empty *plan.Reader, head plan.Head) {
	loaded = plan.NewReader(plan.ReaderConfig{}, slopeRand())
	loaded.SetReadsStore(true)
	head, pages := revision(plan.Head{}, n, 0)
	installFromStore(loaded, 0, head, pages)
	return loaded, plan.NewReader(plan.ReaderConfig{}, slopeRand()), head
}

func listsBytes(_ meter, n int) Point {
	loaded, empty, _ := loadedAndEmptyReader(n)
	return Point{float64(n), float64(fetchFromPeer(empty, loaded, afterSettling))}
}

func editBytes(_ meter, n int) Point {
	loaded, empty, head := loadedAndEmptyReader(n)
	fetchFromPeer(empty, loaded, afterSettling)
	next, pages := revision(head, n, 1)
	installFromStore(loaded, 2*afterSettling, next, pages)
	return Point{float64(n), float64(fetchFromPeer(empty, loaded, 3*afterSettling))}
}

// storeWorld is a store with an editor and one reader.
type storeWorld struct {
	now         time.Duration
	store       *fake.Store
	calls       int
	reader      *plan.Reader
	watch       <-chan store.WatchBatch
	watchID     uint64
	cancel      context.CancelFunc
	editorCalls int // calls to the store by the editor
	edits       int
}

func newStoreWorld() *storeWorld {
	w := &storeWorld{cancel: func() {}, reader: plan.NewReader(plan.ReaderConfig{}, slopeRand())}
	w.store = fake.NewStore(func() time.Duration { return w.now })
	w.store.Before = func(fake.Call) error { w.calls++; return nil }
	w.reader.SetReadsStore(true)
	w.edit()
	w.stepReader(time.Second)
	w.calls, w.editorCalls = 0, 0
	return w
}

// edit changes the plan of one more customer.
func (w *storeWorld) edit() {
	before := w.calls
	editor := planedit.New(planedit.Config{
		Store: w.store, Author: "operator", Wait: func(context.Context) {},
		Now:   func() time.Time { return time.Unix(0, 0) },
		NewID: func() string { return fmt.Sprint(w.edits) },
	})
	base, err := editor.Read(context.Background())
	if err == nil {
		_, err = editor.Apply(context.Background(), base, func(plan.Documents) (plan.Documents, error) {
			return slopeDocuments(100, w.edits), nil
		})
	}
	if err != nil {
		panic(fmt.Sprintf("bench: edit failed: %v", err))
	}
	w.edits++
	w.editorCalls += w.calls - before
}

// stepReader steps the reader for a time.
func (w *storeWorld) stepReader(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += memberTick {
		w.deliverEvents()
		for fetches := w.reader.Step(w.now); len(fetches) > 0; fetches = w.reader.Step(w.now) {
			for _, f := range fetches {
				w.runFetch(f)
			}
		}
	}
}

func (w *storeWorld) runFetch(f plan.Fetch) {
	switch f.Kind {
	case plan.StopWatch:
		w.cancel()
		w.watch = nil
	case plan.WatchHead:
		ctx, cancel := context.WithCancel(context.Background())
		batches, err := w.store.Watch(ctx, plan.HeadKey, f.From)
		if err != nil {
			panic(fmt.Sprintf("bench: watch failed: %v", err))
		}
		w.watch, w.watchID, w.cancel = batches, f.ID, cancel
	default:
		w.reader.FetchDone(w.now, f.ID, fetch.FromStore(context.Background(), w.store, f))
	}
}

func (w *storeWorld) deliverEvents() {
	for {
		select {
		case batch := <-w.watch:
			for _, e := range batch.Events {
				w.reader.WatchEvent(w.now, w.watchID, e.KV.Value)
			}
		default:
			return
		}
	}
}

// editAndRead applies n edits, one each second, and lets the reader receive each of them.
func editAndRead(n int) *storeWorld {
	w := newStoreWorld()
	defer w.cancel()
	for range n {
		w.edit()
		w.stepReader(time.Second)
	}
	if got := w.reader.Status().Revision; got != int64(w.edits) {
		panic(fmt.Sprintf("bench: the reader has revision %d of %d", got, w.edits))
	}
	return w
}

func readerCalls(_ meter, n int) Point {
	w := editAndRead(n)
	return Point{float64(n), float64(w.calls - w.editorCalls)}
}

func editorCalls(_ meter, n int) Point { return Point{float64(n), float64(editAndRead(n).editorCalls)} }
