package plan_test

import (
	"strconv"
	"strings"

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

// manyFields returns the members of an object with n different fields.
func manyFields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(`"f` + strconv.Itoa(i) + `":1,`)
	}
	return b.String()
}
