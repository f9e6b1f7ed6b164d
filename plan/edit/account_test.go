package edit_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
)

// customers returns a change that replaces the list of customers.
func customers(entries string) edit.Change {
	return func(d plan.Documents) (plan.Documents, error) {
		d.Customers = []byte("{\"customers\": [\n" + entries + "\n]}\n")
		return d, nil
	}
}

var _ = Describe("A customer that an edit renames", func() {
	var e *edit.Editor
	account := func(name string) string {
		GinkgoHelper()
		lists, err := mustRead(e).Lists()
		Expect(err).NotTo(HaveOccurred())
		for _, c := range lists.Customers {
			if c.Name == name {
				return c.Account
			}
		}
		return ""
	}
	BeforeEach(func() {
		e = newEditor(newStore(), "amy")
		mustAccept(e, setWeight("gold", 1))
		mustAccept(e, customers(`{"name": "a", "plan": "gold", "sources": ["10.0.0.0/16", "10.1.0.0/16"]},
			{"name": "b", "plan": "gold", "sources": ["10.2.0.0/16"]}`))
	})

	// Guards against a renamed customer that is a new one to the daemons and has no tokens
	// until a grantor issues some, which none can during an outage (demo, seed 3).
	It("keeps its account, and with it its tokens", func() {
		Expect(account("a")).To(Equal("a"))
		mustAccept(e, customers(`{"name": "c", "plan": "gold", "sources": ["10.1.0.0/16", "10.0.0.0/16"]}, // renamed
			{"name": "b", "plan": "gold", "sources": ["10.2.0.0/16"]}`))
		Expect(account("c")).To(Equal("a"))
		Expect(account("b")).To(Equal("b"))
		Expect(string(mustRead(e).Docs.Customers)).To(ContainSubstring("// renamed"))
		c := plan.Customer{Name: "c", Account: "a"}
		Expect(c.ID()).To(Equal(plan.CustomerID("a")))
	})

	// Guards against an account that is lost with the next edit from a file without it.
	It("keeps its account in later edits that do not state it", func() {
		mustAccept(e, customers(`{"name": "c", "plan": "gold", "sources": ["10.0.0.0/16", "10.1.0.0/16"]}`))
		mustAccept(e, customers(`{"name": "c", "plan": "gold", "sources": ["10.0.0.0/16"]}`))
		Expect(account("c")).To(Equal("a"))
		mustAccept(e, customers(`{"name": "d", "plan": "gold", "sources": ["10.0.0.0/16"]}`))
		Expect(account("d")).To(Equal("a"))
	})

	// Guards against two customers that share one account, and so one limit, where one is
	// added under the name that another had first.
	It("does not share its account with a new customer of its former name", func() {
		mustAccept(e, customers(`{"name": "c", "plan": "gold", "sources": ["10.0.0.0/16", "10.1.0.0/16"]}`))
		both := `{"name": "c", "plan": "gold", "sources": ["10.0.0.0/16", "10.1.0.0/16"]},
			{"name": "a", "plan": "gold", "sources": ["10.3.0.0/16"]`
		_, err := do(e, customers(both+"}"))
		Expect(err).To(MatchError(edit.ErrInvalid))
		Expect(err.Error()).To(ContainSubstring("account"))
		mustAccept(e, customers(both+`, "account": "a2"}`))
		Expect([]string{account("a"), account("c")}).To(Equal([]string{"a2", "a"}))
	})

	// Guards against a customer that takes over the tokens of another because it has some of
	// its sources.
	It("is told from a new customer with other sources", func() {
		mustAccept(e, customers(`{"name": "c", "plan": "gold", "sources": ["10.0.0.0/16"]},
			{"name": "d", "plan": "gold", "sources": ["10.1.0.0/16"]}`))
		Expect([]string{account("c"), account("d")}).To(Equal([]string{"c", "d"}))
	})
})
