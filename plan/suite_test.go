package plan_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "plan", suite, reporter)
}

const plansText = `{"plans": [
  {"name": "gold", "services": {"portal": {"connections": 100, "new_connections_per_second": 50, "requests": 10}}},
  {"name": "basic", "services": {}},
]}`

// customersText returns n customers, one a line.
func customersText(n int) []byte {
	var b strings.Builder
	b.WriteString("{\"customers\": [\n")
	for i := range n {
		fmt.Fprintf(&b, "  {\"name\": \"office-%05d\", \"plan\": \"gold\", \"sources\": [\"10.%d.%d.0/24\", \"2001:db8:%x::/48\"]},\n", i, i>>8, i&255, i)
	}
	b.WriteString("]}\n")
	return []byte(b.String())
}

func parse(customers, plans string) *plan.Lists {
	GinkgoHelper()
	lists, findings := plan.Parse(plan.Documents{Customers: []byte(customers), Plans: []byte(plans)}, plan.DefaultFiles, nil)
	Expect(findings.Err()).NotTo(HaveOccurred())
	return lists
}

func addr(s string) netip.Addr { return netip.MustParseAddr(s) }

// golden compares with a file of testdata; UPDATE_GOLDEN=1 rewrites it.
func golden(name, got string) {
	GinkgoHelper()
	path := "testdata/" + name
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}
