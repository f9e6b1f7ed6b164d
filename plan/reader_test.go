package plan_test

import (
	"bytes"
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

func listsOf(n int) plan.Documents {
	return plan.Documents{Customers: customersText(n), Plans: []byte(plansText)}
}

func revisions(c *cluster) []int64 {
	var out []int64
	for _, p := range c.processes {
		out = append(out, p.reader.Status().Revision)
	}
	return out
}

// expectRevision expects that every process has the revision.
func expectRevision(c *cluster, revision int64) {
	GinkgoHelper()
	Expect(revisions(c)).To(HaveEach(revision))
}

var _ = Describe("Reader", func() {
	// Guards against an edit that reaches only the processes that read the store, and
	// against transferring unchanged pages again.
	It("distributes an edit to all processes by the pages that changed", func() {
		c := newCluster(1, 2, 10)
		Expect(c.edit(listsOf(3000))).To(Succeed())
		c.run(3 * time.Second)
		expectRevision(c, 1)
		for _, p := range c.processes {
			p.fetched = 0
		}
		docs := listsOf(3000)
		docs.Customers = bytes.Replace(docs.Customers, []byte(`"office-01500", "plan": "gold"`), []byte(`"office-01500", "plan": "basic"`), 1)
		Expect(c.edit(docs)).To(Succeed())
		c.run(3 * time.Second)
		expectRevision(c, 2)
		for _, p := range c.processes {
			Expect(p.fetched).To(BeNumerically("<", 64<<10))
		}
	})

	// Guards against a balancer that starts during an outage and has no lists.
	It("fetches the lists from a peer during an outage, and the next edit after it", func() {
		c := newCluster(2, 2, 3)
		Expect(c.edit(listsOf(500))).To(Succeed())
		c.run(3 * time.Second)
		c.outage(true)
		c.restart(0, true)
		c.restart(4, false)
		c.run(3 * time.Second)
		expectRevision(c, 1)
		c.outage(false)
		Expect(c.edit(listsOf(501))).To(Succeed())
		c.run(15 * time.Second) // the maximum backoff of a failed store, with jitter
		expectRevision(c, 2)
	})

	// Guards against a watch that is not restarted, or misses changes, after its start
	// revision was compacted.
	It("reads the head again when the watch was compacted", func() {
		c := newCluster(3, 1, 0)
		c.run(time.Second)
		c.store.BreakWatches()
		Expect(c.edit(listsOf(1))).To(Succeed())
		Expect(c.edit(listsOf(2))).To(Succeed())
		_, revision, _ := c.store.List(context.Background(), "")
		c.store.Compact(revision)
		c.run(2 * time.Second)
		expectRevision(c, 2)
		c.run(time.Second)
		Expect(c.processes[0].reader.Status().Watching).To(BeTrue())

		r := plan.NewReader(plan.ReaderConfig{}, c.rng)
		r.SetReadsStore(true)
		r.FetchDone(0, r.Step(0)[0].ID, plan.Result{})
		watch := r.Step(0)[0]
		Expect(watch.Kind).To(Equal(plan.WatchHead))
		r.FetchDone(0, watch.ID, plan.Result{Err: fmt.Errorf("%w: up to 9", store.ErrCompacted)})
		Expect(r.Step(0)).To(ConsistOf(HaveField("Kind", plan.FetchHead)))
	})

	// Guards against missing an edit that is made between the read of the head and the
	// start of the watch.
	It("starts the watch after the store revision that it has read", func() {
		r := plan.NewReader(plan.ReaderConfig{}, newCluster(7, 0, 0).rng)
		r.SetReadsStore(true)
		r.FetchDone(0, r.Step(0)[0].ID, plan.Result{StoreRevision: 41})
		Expect(r.Step(0)).To(ConsistOf(And(HaveField("Kind", plan.WatchHead), HaveField("From", int64(42)))))
	})

	// Guards against a peer that cannot complete the previous revision, which it is fetching.
	It("still serves the pages of the previous revision", func() {
		c := newCluster(8, 1, 0)
		r := c.processes[0].reader
		Expect(c.edit(listsOf(1))).To(Succeed())
		c.run(time.Second)
		hashes := r.Active().Head.Hashes()
		Expect(c.edit(listsOf(2))).To(Succeed())
		c.run(time.Second)
		expectRevision(c, 2)
		Expect(r.Pages(hashes)).To(HaveLen(len(hashes)))
	})

	// Guards against processes that still have different lists after a partition has ended.
	It("installs the highest revision after a partition", func() {
		c := newCluster(4, 1, 5)
		c.run(time.Second)
		c.partitioned = true
		Expect(c.edit(listsOf(1))).To(Succeed())
		c.run(3 * time.Second)
		Expect(revisions(c)).To(Equal([]int64{1, 0, 1, 0, 1, 0}))
		c.partitioned = false
		c.run(3 * time.Second)
		expectRevision(c, 1)
	})

	// Guards against a reader that waits forever for a source that does not respond.
	It("fetches from another peer if one does not respond or does not have the pages", func() {
		c := newCluster(5, 0, 1)
		r := c.processes[0].reader
		head, pages := next(plan.Head{}, "0-a", listsOf(1))
		r.SetPeerRevision(0, address(1), 1)
		first := r.Step(0)
		Expect(first).To(HaveLen(1))
		r.SetPeerRevision(0, address(2), 1)
		Expect(r.Step(time.Second)).To(BeEmpty())
		second := r.Step(3 * time.Second)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Peer).To(Equal(address(2)))
		r.FetchDone(3*time.Second, first[0].ID, plan.Result{Head: head.Encode()})
		Expect(r.Step(3*time.Second)).To(BeEmpty(), "a result after the timeout is ignored")
		r.FetchDone(3*time.Second, second[0].ID, plan.Result{Head: head.Encode()})
		third := r.Step(3 * time.Second)
		Expect(third[0].Hashes).To(ConsistOf(head.Hashes()))
		r.FetchDone(3*time.Second, third[0].ID, plan.Result{Pages: plan.Pages{}})
		fourth := r.Step(5 * time.Second)
		Expect(fourth).To(ConsistOf(HaveField("Kind", plan.FetchHead)))
		r.FetchDone(5*time.Second, fourth[0].ID, plan.Result{Head: head.Encode()})
		r.FetchDone(5*time.Second, r.Step(5 * time.Second)[0].ID, plan.Result{Pages: pages})
		Expect(r.Status().Revision).To(Equal(int64(1)))
	})

	// Guards against fetching invalid lists repeatedly.
	It("records a revision that is invalid and installs the next one", func() {
		c := newCluster(6, 0, 1)
		r := c.processes[0].reader
		offer := func(head plan.Head, pages plan.Pages) {
			r.SetPeerRevision(0, address(1), head.Revision)
			for fetches := r.Step(0); len(fetches) > 0; fetches = r.Step(0) {
				r.FetchDone(0, fetches[0].ID, plan.Result{Head: head.Encode(), Pages: pages})
			}
		}
		bad, badPages := next(plan.Head{}, "0-a", plan.Documents{Customers: []byte("{"), Plans: []byte(plansText)})
		offer(bad, badPages)
		Expect(r.Status().Rejected).To(Equal(int64(1)))
		Expect(r.Active()).To(BeNil())
		good, goodPages := next(bad, "1-b", listsOf(1))
		offer(good, goodPages)
		Expect(r.Status().Revision).To(Equal(int64(2)))
		Expect(r.Status().Rejection).To(BeEmpty())
	})

	// Guards against processes that stay with an edit that the store has lost while others follow the
	// one that it has accepted under the same number, or a lower one, after its return.
	It("installs the edit that the store accepts after it has returned from an older copy", func() {
		c := newCluster(9, 2, 4)
		Expect(c.edit(listsOf(1))).To(Succeed())
		copied := c.store.Copy()
		for n := 2; n <= 4; n++ {
			Expect(c.edit(listsOf(n))).To(Succeed())
		}
		c.run(3 * time.Second)
		expectRevision(c, 4)

		c.store.Restore(copied)
		c.restart(1, true)
		c.restart(5, false)
		c.run(3 * time.Second)
		expectRevision(c, 4)
		lost := c.processes[0].reader.Status()
		Expect(lost.Lost).To(HaveValue(And(HaveField("ID", lost.EditID), HaveField("Stored", store.QualifyRevision(0, 1)))))
		Expect(c.edit(listsOf(5))).To(Succeed())
		c.run(3 * time.Second)
		Expect(c.processes[0].reader.Active().Head.Revision).To(BeEquivalentTo(2))
		expectRevision(c, c.storedRevision())
	})

	// Guards against a read per second of pages that the store has lost with their head.
	It("does not fetch the pages of a head that the store has lost", func() {
		r := plan.NewReader(plan.ReaderConfig{}, newCluster(10, 0, 0).rng)
		r.SetReadsStore(true)
		head, _ := next(plan.Head{}, "0-a", listsOf(1))
		read := func(now time.Duration, result plan.Result) (others []plan.Fetch) {
			for fetches := r.Step(now); len(fetches) > 0; fetches = r.Step(now) {
				for _, f := range fetches {
					if f.Kind == plan.FetchHead {
						r.FetchDone(now, f.ID, result)
					} else {
						others = append(others, f)
					}
				}
			}
			return others
		}
		fetches := read(0, plan.Result{Head: head.Encode(), StoreRevision: 9})
		Expect(fetches).To(ContainElement(HaveField("Kind", plan.FetchPages)))
		for _, f := range fetches {
			r.FetchDone(0, f.ID, plan.Result{Err: store.ErrCompacted})
		}
		returned := store.QualifyRevision(1, 5)
		for now := time.Duration(0); now < 10*time.Second; now += tick {
			Expect(read(now, plan.Result{StoreRevision: returned})).NotTo(ContainElement(HaveField("Kind", plan.FetchPages)))
		}
	})

	// Guards, under random faults, against a process that returns to a lower revision or
	// installs a partial edit (both checked each tick), or never installs the last edit.
	It("converges after any faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster(rapid.Uint64().Draw(t, "seed"), 2, 4)
			copied := c.store.Copy()
			for i := range rapid.IntRange(1, 15).Draw(t, "steps") {
				switch rapid.SampledFrom([]string{"edit", "outage", "cut", "restart", "lose", "takeover", "copy", "return"}).Draw(t, "fault") {
				case "edit":
					_ = c.edit(listsOf(5*i + 1)) // fails during an outage
				case "outage":
					c.outage(!c.store.Outage)
				case "cut":
					c.partitioned = !c.partitioned
				case "restart":
					j := rapid.IntRange(0, 5).Draw(t, "process")
					c.restart(j, j < 2)
				case "lose":
					c.store.BreakWatches()
				case "copy":
					copied = c.store.Copy()
				case "return":
					c.store.Restore(copied)
				case "takeover":
					j := rapid.IntRange(2, 5).Draw(t, "process")
					c.processes[j].reader.SetReadsStore(rapid.Bool().Draw(t, "reads"))
				}
				c.run(time.Duration(rapid.IntRange(0, 50).Draw(t, "ticks")) * tick)
			}
			c.outage(false)
			c.partitioned = false
			if err := c.edit(listsOf(300)); err != nil {
				t.Fatal(err)
			}
			c.run(18 * time.Second) // the maximum backoff of the store, and gossip
			last := c.storedRevision()
			for i, revision := range revisions(c) {
				if revision != last {
					t.Fatalf("process %d has revision %d of %d", i, revision, last)
				}
			}
		})
	})
})
