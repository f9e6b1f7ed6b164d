package plan_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

var _ = Describe("A deeply nested list", func() {
	// Guards against a process that ends, or uses more memory than it has, for one odd text: the
	// parser recurses once per level.
	DescribeTable("is rejected, and the active lists stay", func(open string, depth int) {
		good := plan.Documents{Customers: customersText(1), Plans: []byte(plansText)}
		first, pages := next(plan.Head{}, "0-a", good)
		var i plan.Installer
		Expect(i.Install(first, pages)).To(Succeed())
		for n, text := range []string{
			strings.Repeat(open, depth),
			`{"customers":` + strings.Repeat(open, depth) + `1` + strings.Repeat(map[string]string{"[": "]", `{"a":`: "}"}[open], depth) + `}`,
		} {
			odd, oddPages := next(first, "1-b", plan.Documents{Customers: []byte(text), Plans: good.Plans})
			odd.Revision += int64(n)
			Expect(i.Install(odd, oddPages)).To(MatchError(ContainSubstring("nested")))
			Expect(i.Revision()).To(Equal(int64(1)))
		}
		last, lastPages := next(first, "3-d", good)
		last.Revision = 4
		Expect(i.Install(last, lastPages)).To(Succeed())
	},
		Entry("10,000 arrays", "[", 10_000),
		Entry("1,000,000 arrays", "[", 1_000_000),
		Entry("10,000 objects", `{"a":`, 10_000),
		Entry("1,000,000 objects", `{"a":`, 1_000_000),
	)
})

var _ = Describe("A list of another writer", func() {
	// Guards against a process that is busy for minutes with one odd text of 1 MB: each finding
	// costs a pass over the text.
	DescribeTable("has a limited number of findings", func(text string) {
		_, findings := plan.Parse(plan.Documents{Customers: []byte(text), Plans: []byte(plansText)}, plan.DefaultFiles, nil)
		Expect(findings).To(HaveLen(101))
		Expect(findings.Error()).To(ContainSubstring("further findings are left out"))
	},
		Entry("of another type", `{"customers":[`+strings.Repeat("1,", 400_000)+`]}`),
		Entry("with unknown fields", `{"customers":[{`+manyFields(20_000)+`}]}`),
	)
})

var _ = Describe("A head of another writer", func() {
	// Guards against a process that exceeds its memory: a head of 1 MB can name one page of 64 KB
	// 38,000 times.
	It("is rejected if its pages make a list of more than 16 MB", func() {
		page := []byte(strings.Repeat("//", 32<<10))
		hash := plan.HashOf(page)
		head := plan.Head{Edit: plan.Edit{Revision: 1, ID: "0-a"}, Customers: slices.Repeat([]plan.Hash{hash}, 257)}
		var i plan.Installer
		Expect(i.Install(head, plan.Pages{hash: page})).To(MatchError(plan.ErrTooLarge))
	})

	// Guards against an edit that is accepted although no reader installs it.
	It("is not written by an edit", func() {
		_, findings := plan.Parse(plan.Documents{Customers: make([]byte, 16<<20+1), Plans: []byte(plansText)}, plan.DefaultFiles, nil)
		Expect(findings).To(ConsistOf(HaveField("Message", ContainSubstring("the list has 16777217 bytes"))))
	})

	// Guards against a process that ends for a value that is no head.
	DescribeTable("is malformed", func(value string) {
		_, err := plan.DecodeHead([]byte(value))
		Expect(err).To(HaveOccurred())
		Expect(len(err.Error())).To(BeNumerically("<", 200))
	},
		Entry("empty", ``), Entry("null", `null`), Entry("a list", `[]`), Entry("not UTF-8", "\xff"), Entry("truncated", `{"revision":1`),
		Entry("no edit ID", `{"revision":1}`), Entry("no revision", `{"edit_id":"a"}`), Entry("a revision of text", `{"revision":"1","edit_id":"a"}`),
		Entry("a negative revision", `{"revision":-1,"edit_id":"a"}`), Entry("half a revision", `{"revision":0.5,"edit_id":"a"}`),
		Entry("a revision of 2^63", `{"revision":9223372036854775808,"edit_id":"a"}`), Entry("a revision of 1e400", `{"revision":1e400,"edit_id":"a"}`),
		Entry("pages of another type", `{"revision":1,"edit_id":"a","customers":[1]}`),
		Entry("a year of five digits", `{"revision":1,"edit_id":"a","time":"10000-01-01T00:00:00Z"}`),
		Entry("10,000 arrays", `{"revision":1,"edit_id":"a","x":`+strings.Repeat("[", 10_000)+strings.Repeat("]", 10_000)+"}"),
		Entry("1,000,000 objects", strings.Repeat(`{"a":`, 1_000_000)+"1"+strings.Repeat("}", 1_000_000)),
	)
})

// FuzzDecodeHead guards against a head that cannot be encoded again, which ends the process.
func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"edit_id":"a","parent":"","time":"9999-12-31T23:59:59+23:59","customers":["x"],"history":[{}],"retired":[{"hash":"x"}]}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		if head, err := plan.DecodeHead(value); err == nil {
			head.Encode()
			head.Short().Encode()
		}
	})
}

// manyFields returns the members of an object with n different fields.
func manyFields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(`"f` + strconv.Itoa(i) + `":1,`)
	}
	return b.String()
}
