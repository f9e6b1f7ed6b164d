package plan_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/plan"
)

func TestPlan(t *testing.T) { spec.Run(t, "plan") }

const plansText = `{"plans": [
  {"name": "gold", "services": {"portal": {"connections": 100, "new_connections_per_second": 50, "requests": 10}}},
  {"name": "basic", "services": {}},
]}`

// customersText returns a list of n customers, one per line.
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
