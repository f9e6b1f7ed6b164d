package plan_test

import (
	"bytes"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/plan"
)

func next(h plan.Head, id string, docs plan.Documents) (plan.Head, plan.Pages) {
	return h.Next(plan.Edit{ID: id, Author: "test"}, docs)
}

var _ = Describe("Head and pages", func() {
	// Guards against a text that differs after it was split and joined, and against pages
	// that the store rejects as too large.
	It("split any text into pages below 1 MB and join it again unchanged", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			line := rapid.SliceOfN(rapid.SampledFrom([]byte("abc\n")), 1, 2000).Draw(t, "line")
			docs := plan.Documents{
				Customers: bytes.Repeat(line, rapid.IntRange(0, 200).Draw(t, "repeat")),
				Plans:     rapid.SliceOf(rapid.Byte()).Draw(t, "plans"),
			}
			head, pages := next(plan.Head{}, "0-a", docs)
			for hash, page := range pages {
				if len(page) > 64<<10 || plan.HashOf(page) != hash {
					t.Fatalf("page %s of %d bytes", hash, len(page))
				}
			}
			joined, err := head.Join(pages)
			if err != nil || !bytes.Equal(joined.Customers, docs.Customers) || !bytes.Equal(joined.Plans, docs.Plans) {
				t.Fatalf("joined differs: %v", err)
			}
		})
	})

	// Guards against an edit of one entry that transfers the whole list to every process.
	It("change only in the pages around an edit", func() {
		docs := plan.Documents{Customers: customersText(10000), Plans: []byte(plansText)}
		Expect(len(docs.Customers)).To(BeNumerically(">", 700_000))
		first, before := next(plan.Head{}, "0-a", docs)
		docs.Customers = bytes.Replace(docs.Customers, []byte(`"office-05000", "plan": "gold"`), []byte(`"office-05000", "plan": "basic"`), 1)
		second, after := next(first, "1-b", docs)
		changed := 0
		for hash, page := range after {
			if _, kept := before[hash]; !kept {
				changed += len(page)
			}
		}
		Expect(changed).To(BeNumerically(">", 0))
		Expect(changed).To(BeNumerically("<", 64<<10))
		Expect(second.Parent).To(Equal("0-a"))
		fmt.Fprintf(GinkgoWriter, "%d pages, %d bytes changed, short head %d bytes\n", len(after), changed, len(second.Short().Encode()))
	})

	// Guards against pages that are deleted while a reader fetches them, or never deleted.
	It("keep a retired page for twenty edits, unless it is used again", func() {
		texts := []string{"one", "two", "three"}
		docs := func(i int) plan.Documents { return plan.Documents{Customers: []byte(texts[i])} }
		head, _ := next(plan.Head{}, "0", docs(0))
		head, _ = next(head, "1", docs(1))
		Expect(head.Retired).To(HaveLen(1))
		back, _ := next(head, "2", docs(0))
		Expect(back.Retired).To(Equal([]plan.Retired{{Hash: plan.HashOf([]byte("two")), Revision: 3}}))
		for i := 3; i <= 21; i++ {
			head, _ = next(head, "n", docs(1+i%2))
			Expect(head.RemoveExpired(10)).To(BeEmpty())
		}
		head, _ = next(head, "n", docs(1))
		Expect(head.RemoveExpired(10)).To(Equal([]plan.Hash{plan.HashOf([]byte("one"))}))
		Expect(head.History).To(HaveLen(22))
	})
})

var _ = Describe("Installer", func() {
	docs := func(n int) plan.Documents {
		return plan.Documents{Customers: customersText(n), Plans: []byte(plansText)}
	}

	// Guards against installing a partial edit, a lower revision or invalid lists.
	It("installs only complete, valid and higher revisions", func() {
		first, pages1 := next(plan.Head{}, "0-a", docs(1))
		second, pages2 := next(first, "1-b", docs(2))
		third, pages3 := next(second, "2-c", plan.Documents{Customers: docs(3).Customers, Plans: []byte(`{"plans": []}`)})
		var i plan.Installer
		Expect(i.Install(second, pages1)).To(MatchError(plan.ErrPageMissing))
		Expect(i.Revision()).To(BeZero())
		Expect(i.Install(second, pages2)).To(Succeed())
		Expect(i.Install(first, pages1)).To(MatchError(plan.ErrOlder))
		var findings finding.List
		Expect(i.Install(third, pages3)).To(BeAssignableToTypeOf(findings))
		Expect(i.Revision()).To(Equal(int64(2)))
		_, ok := i.Active().Table.Lookup(addr("10.0.1.1"))
		Expect(ok).To(BeTrue())
		Expect(i.Install(second, pages2)).To(Succeed(), "installing the active revision again")
		other, pagesOther := next(first, "1-x", docs(3))
		Expect(i.Install(other, pagesOther)).To(MatchError(plan.ErrConflict))
	})

	It("rejects a page whose content does not match its hash", func() {
		head, pages := next(plan.Head{}, "0-a", docs(1))
		pages[head.Customers[0]] = []byte(strings.Replace(string(pages[head.Customers[0]]), "gold", "basic", 1))
		var i plan.Installer
		Expect(i.Install(head, pages)).To(MatchError(ContainSubstring("does not match its hash")))
	})
})
