package plan_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/plan"
)

var _ = Describe("Text", func() {
	// Guards against losing comments or other entries when one entry is edited.
	It("changes single entries and keeps the comments", func() {
		text, err := plan.NewText(plan.CustomersList, []byte(`{
  // Offices of the north.
  "customers": [
    {"name": "a", "plan": "gold", /* trial */ "sources": ["10.0.0.0/16"]}, // moved in May
    // Pays yearly.
    {"name": "b", "plan": "gold", "sources": ["10.1.0.0/16"]}, // last
  ],
}
`))
		Expect(err).NotTo(HaveOccurred())
		Expect(text.Set("a", "basic", "plan")).To(Succeed())
		Expect(text.Set("c", "gold", "plan")).To(Succeed())
		Expect(text.Set("c", []string{"10.2.0.0/16"}, "sources")).To(Succeed())
		Expect(text.Remove("b")).To(Succeed())
		Expect(text.Remove("b")).To(MatchError(plan.ErrNoEntry))
		spec.Golden("text.golden", string(text.Bytes()))
		lists := parse(string(text.Bytes()), plansText)
		Expect(lists.Customers).To(HaveLen(2))
	})

	It("creates the objects on a path, and removes a service of a plan", func() {
		text, err := plan.NewText(plan.PlansList, plan.EmptyDocuments().Plans)
		Expect(err).NotTo(HaveOccurred())
		for _, field := range []string{"connections", "new_connections_per_second", "requests"} {
			Expect(text.Set("gold", 5, "services", "portal", field)).To(Succeed())
			Expect(text.Set("gold", 5, "services", "intake", field)).To(Succeed())
		}
		Expect(text.SetRoot("default_plan", "gold")).To(Succeed())
		Expect(text.RemoveField("gold", "services", "portal")).To(Succeed())
		Expect(text.RemoveField("gold", "services", "portal")).To(MatchError(plan.ErrNoEntry))
		lists := parse(`{"customers": []}`, string(text.Bytes()))
		Expect(lists.DefaultPlan).To(Equal("gold"))
		Expect(lists.Plans[0].Services).To(HaveKeyWithValue("intake", plan.Limits{Connections: 5, NewConnectionsPerSecond: 5, Requests: 5}))
		Expect(lists.Plans[0].Services).To(HaveLen(1))
	})
})
