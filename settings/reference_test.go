package settings_test

import (
	"fmt"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/settings"
)

var _ = Describe("docs/operations/settings.md", func() {
	// Guards against a reference page whose fields, types, defaults or ranges differ from
	// those that the programs use.
	DescribeTable("matches the structs", func(heading string, fields []settings.Field) {
		page, err := os.ReadFile("../docs/operations/settings.md")
		Expect(err).NotTo(HaveOccurred())
		_, section, ok := strings.Cut(string(page), "\n## "+heading+"\n")
		Expect(ok).To(BeTrue(), "the page has no section %q", heading)
		section, _, _ = strings.Cut(section, "\n## ")
		var want []string
		for _, f := range fields {
			want = append(want, row(f))
		}
		Expect(rows(section)).To(Equal(want))
	},
		Entry("balancer", "Balancer", settings.BalancerFields()),
		Entry("agent", "Agent", settings.AgentFields()),
	)
})

// row formats the table columns of a field that are derived from the structs.
func row(f settings.Field) string {
	value := f.Default
	if f.Required {
		value = "required"
	}
	return strings.TrimSpace(fmt.Sprintf("| `%s` | %s | %s | %s |", f.Path, f.Type, value, f.Range))
}

// rows returns the same columns of the table rows in a section.
func rows(section string) []string {
	var out []string
	for _, line := range strings.Split(section, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) > 5 && strings.HasPrefix(cells[1], " `") {
			out = append(out, strings.Join(cells[:5], "|")+"|")
		}
	}
	return out
}
