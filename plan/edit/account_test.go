package edit_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
)

// customers returns a change that replaces the list of customers.
func customers(entries string) edit.Func {
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

	// Guards against daemons that treat a renamed customer as a new one. It then has no
	// tokens until a grantor issues some, which is impossible during an outage (demo, seed 3).
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

	// Guards against an account that is lost in the next edit whose file omits it.
	It("keeps its account in later edits that omit it", func() {
		mustAccept(e, customers(`{"name": "c", "plan": "gold", "sources": ["10.0.0.0/16", "10.1.0.0/16"]}`))
		mustAccept(e, customers(`{"name": "c", "plan": "gold", "sources": ["10.0.0.0/16"]}`))
		Expect(account("c")).To(Equal("a"))
		mustAccept(e, customers(`{"name": "d", "plan": "gold", "sources": ["10.0.0.0/16"]}`))
		Expect(account("d")).To(Equal("a"))
	})

	// Guards against two customers that share an account, and thus a limit, after one is
	// added under the former name of the other.
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

	// Guards against a new customer that gets the account, and thus the tokens, of a removed
	// one because it has some of its sources.
	It("is distinguished from a new customer with other sources", func() {
		mustAccept(e, customers(`{"name": "c", "plan": "gold", "sources": ["10.0.0.0/16"]},
			{"name": "d", "plan": "gold", "sources": ["10.1.0.0/16"]}`))
		Expect([]string{account("c"), account("d")}).To(Equal([]string{"c", "d"}))
	})
})
