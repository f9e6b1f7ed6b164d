package edit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/store"
)

func TestEdit(t *testing.T) { spec.Run(t, "plan/edit") }

var ctx = context.Background()

func newStore() *fake.Store {
	return fake.NewStore(func() time.Duration { return 0 })
}

// newEditor returns an editor with deterministic IDs and times.
func newEditor(s store.Store, author string) *edit.Editor {
	ids := 0
	return edit.New(edit.Config{
		Store:  s,
		Author: author,
		Now:    func() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) },
		NewID:  func() string { ids++; return fmt.Sprintf("%s%d", author, ids) },
		Wait:   func(context.Context) {},
	})
}

// setWeight returns a change that sets the weight of a plan, and adds the plan if needed.
func setWeight(name string, weight int) edit.Func {
	return func(d plan.Documents) (plan.Documents, error) {
		text, err := plan.NewText(plan.PlansList, d.Plans)
		if err != nil {
			return d, err
		}
		_ = text.Set(name, struct{}{}, "services")
		err = text.Set(name, weight, "weight")
		d.Plans = text.Bytes()
		return d, err
	}
}

func mustRead(e *edit.Editor) *edit.Snapshot {
	GinkgoHelper()
	s, err := e.Read(ctx)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// do reads the current revision and applies one edit to it.
func do(e *edit.Editor, change edit.Func) (edit.Outcome, error) {
	base, err := e.Read(ctx)
	if err != nil {
		return edit.Outcome{}, err
	}
	return e.Apply(ctx, base, change)
}

func mustAccept(e *edit.Editor, change edit.Func) edit.Outcome {
	GinkgoHelper()
	outcome, err := do(e, change)
	Expect(err).NotTo(HaveOccurred())
	Expect(outcome.Status).To(Equal(edit.Accepted), outcome.String())
	return outcome
}

// bigCustomers returns a change that replaces the list of customers by one of n entries.
func bigCustomers(n int) edit.Func {
	return func(d plan.Documents) (plan.Documents, error) {
		var b strings.Builder
		b.WriteString("{\"customers\": [\n")
		for i := range n {
			fmt.Fprintf(&b, "  {\"name\": \"office-%05d\", \"plan\": \"gold\", \"sources\": [\"10.%d.%d.0/24\"]},\n", i, i>>8, i&255)
		}
		b.WriteString("]}\n")
		d.Customers = []byte(b.String())
		return d, nil
	}
}

func mustList(s store.Store, prefix string) []store.KV {
	GinkgoHelper()
	kvs, _, err := s.List(ctx, prefix)
	Expect(err).NotTo(HaveOccurred())
	return kvs
}
