package plan_test

import (
	"net/netip"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/plan"
)

var _ = Describe("Parse", func() {
	// Guards against a report that ends at the first finding or has wrong positions.
	It("reports all findings of both lists together with their positions", func() {
		customers, _ := os.ReadFile("testdata/bad_customers.json")
		plans, _ := os.ReadFile("testdata/bad_plans.json")
		files := plan.Files{Customers: "bad_customers.json", Plans: "bad_plans.json"}
		capacities := plan.Capacities{"impact-portal": {Connections: 14000, Requests: 35}, "evidence-intake": {}}
		lists, findings := plan.Parse(plan.Documents{Customers: customers, Plans: plans}, files, capacities)
		Expect(lists).To(BeNil())
		spec.Golden("bad_lists.golden", findings.Error()+"\n")
	})

	// Guards against a syntax error in one list that hides the findings of the other.
	It("reports a syntax error with its position, and the findings of the other list", func() {
		_, findings := plan.Parse(plan.Documents{Customers: []byte("{\n  \"customers\": [}"), Plans: []byte(`{"plan": []}`)}, plan.DefaultFiles, nil)
		Expect(findings).To(HaveLen(3))
		Expect(findings[0].Line).To(Equal(2))
		Expect(findings[0].Column).To(Equal(17))
		Expect(findings[1].Field).To(Equal("plans"))
		Expect(findings[2].Message).To(Equal("unknown field"))
	})

	// Guards against input that makes the decoder panic.
	It("never panics, and returns either lists or findings", func() {
		pieces := rapid.SampledFrom([]string{`{`, `}`, `[`, `]`, `,`, `:`, `"name"`, `"plans"`, `"customers"`, `"sources"`, `"services"`, `1`, `null`, `"10.0.0.0/8"`, `//x` + "\n"})
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := func(label string) []byte {
				return []byte(strings.Join(rapid.SliceOfN(pieces, 0, 12).Draw(t, label), ""))
			}
			docs := plan.Documents{Customers: text("customers"), Plans: text("plans")}
			lists, findings := plan.Parse(docs, plan.DefaultFiles, nil)
			if (lists == nil) == (len(findings) == 0) {
				t.Fatalf("lists %v with findings %v", lists, findings)
			}
		})
	})
})

var _ = Describe("Diff", func() {
	// Guards against diffs that are incomplete or wrong.
	It("contains every changed field, and no changes of layout", func() {
		before := parse(`{"customers": [
			{"name": "a", "plan": "gold", "sources": ["10.0.0.0/16", "2001:db8::/32"]},
			{"name": "b", "plan": "gold", "sources": ["10.1.0.0/16"]}]}`, plansText)
		after := parse(`{"customers": [ // reordered
			{"name": "c", "plan": "basic", "sources": ["10.2.0.0/16"]},
			{"sources": ["2001:db8::/32", "10.0.0.0/16"], "plan": "basic", "name": "a"}]}`,
			`{"default_plan": "basic", "plans": [{"name": "basic", "weight": 2, "services": {}},
			{"name": "gold", "services": {"portal": {"connections": 120, "new_connections_per_second": 50, "requests": 10}}}]}`)
		var lines []string
		for _, c := range plan.Diff(before, after) {
			lines = append(lines, c.String())
		}
		spec.Golden("diff.golden", strings.Join(lines, "\n")+"\n")
		Expect(plan.Diff(after, after)).To(BeEmpty())
	})
})

// longestPrefix returns the customer with the longest matching prefix by a scan of all customers.
func longestPrefix(l *plan.Lists, a netip.Addr) string {
	best, name := -1, ""
	for _, c := range l.Customers {
		for _, p := range c.Sources {
			if p.Contains(a) && p.Bits() > best {
				best, name = p.Bits(), c.Name
			}
		}
	}
	return name
}

var _ = Describe("Table", func() {
	// Guards against a source that is counted towards another customer's plan.
	It("finds the customer with the longest matching prefix", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			lists := &plan.Lists{}
			for i := range rapid.IntRange(0, 12).Draw(t, "customers") {
				a := netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(t, "b"), 0, 0})
				if rapid.Bool().Draw(t, "v6") {
					a = netip.AddrFrom16([16]byte{0x20, 1, 10, rapid.Byte().Draw(t, "b")})
				}
				p, _ := a.Prefix(rapid.IntRange(0, 32).Draw(t, "bits"))
				lists.Customers = append(lists.Customers, plan.Customer{Name: string(rune('a' + i)), Sources: []netip.Prefix{p}})
			}
			// longestPrefix returns the first of equal prefixes, which validation would reject.
			seen := map[netip.Prefix]bool{}
			for i := range lists.Customers {
				if p := lists.Customers[i].Sources[0]; seen[p] {
					lists.Customers[i].Sources = nil
				} else {
					seen[p] = true
				}
			}
			table := plan.NewTable(lists)
			a := netip.AddrFrom4([4]byte{10, rapid.Byte().Draw(t, "address"), 0, 1})
			if rapid.Bool().Draw(t, "address v6") {
				a = netip.AddrFrom16([16]byte{0x20, 1, 10, rapid.Byte().Draw(t, "address"), 15: 1})
			}
			match, ok := table.Lookup(a)
			if want := longestPrefix(lists, a); ok != (want != "") || (ok && match.Customer.Name != want) {
				t.Fatalf("%s: got %v %t, want %q", a, match.Customer, ok, want)
			}
		})
	})

	// Guards against accepting unknown sources without a default plan, or refusing them with
	// one.
	It("refuses an unknown source unless there is a default plan", func() {
		customers := `{"customers": [{"name": "a", "plan": "gold", "sources": ["10.0.0.0/16"]}]}`
		_, ok := plan.NewTable(parse(customers, plansText)).Lookup(addr("10.1.0.1"))
		Expect(ok).To(BeFalse())
		table := plan.NewTable(parse(customers, strings.Replace(plansText, "{", `{"default_plan": "basic", `, 1)))
		match, ok := table.Lookup(addr("10.1.0.1"))
		Expect(match.ID).To(Equal(plan.DefaultCustomer))
		Expect(ok).To(BeTrue())
		Expect(match.Customer).To(BeNil())
		Expect(match.Plan.Name).To(Equal("basic"))
		match, _ = table.Lookup(addr("::ffff:10.0.0.1"))
		Expect(match.Customer.Name).To(Equal("a"), "an IPv4-mapped source is looked up as IPv4")
	})

	// Guards against allocations on the per-packet path.
	It("does not allocate", func() {
		table := plan.NewTable(parse(string(customersText(1000)), plansText))
		sources := []netip.Addr{addr("10.2.3.4"), addr("::ffff:10.2.3.4"), addr("2001:db8:77::1"), addr("192.0.2.1")}
		Expect(testing.AllocsPerRun(1000, func() {
			for _, source := range sources {
				table.Lookup(source)
			}
		})).To(BeZero())
	})
})

func BenchmarkLookup(b *testing.B) {
	table := plan.NewTable(mustParse(b, 10000))
	sources := []netip.Addr{addr("10.2.3.4"), addr("2001:db8:1077::1"), addr("192.0.2.1"), addr("10.30.9.1")}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Lookup(sources[i&3])
	}
}

func BenchmarkParse10000Customers(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		mustParse(b, 10000)
	}
}

func mustParse(b *testing.B, customers int) *plan.Lists {
	lists, findings := plan.Parse(plan.Documents{Customers: customersText(customers), Plans: []byte(plansText)}, plan.DefaultFiles, nil)
	if err := findings.Err(); err != nil {
		b.Fatal(err)
	}
	return lists
}
