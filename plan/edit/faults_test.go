package edit_test

import (
	"context"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// delayedStore delays the write of the head: Txn returns ErrUnknown, and calling deliver
// performs the write.
type delayedStore struct {
	store.Store
	delay   bool
	deliver func()
}

func (s *delayedStore) Txn(ctx context.Context, conditions []store.Compare, writes []store.Op) (store.TxnResult, error) {
	if s.delay && len(conditions) > 0 {
		s.deliver = func() { s.Store.Txn(ctx, conditions, writes) }
		return store.TxnResult{}, store.ErrUnknown
	}
	return s.Store.Txn(ctx, conditions, writes)
}

var _ = Describe("An edit during faults of the store", func() {
	var s *fake.Store
	var e *edit.Editor
	BeforeEach(func() {
		s = newStore()
		e = newEditor(s, "amy")
		mustAccept(e, setWeight("gold", 1))
	})

	// Guards against an accepted edit that is reported as refused.
	It("is accepted if only the responses to its writes are lost", func() {
		s.LoseResponses = 3
		outcome := mustAccept(e, setWeight("gold", 2))
		Expect(outcome.Revision).To(Equal(int64(2)))
		Expect(mustRead(e).Head.Revision).To(Equal(int64(2)), "the edit was applied twice")
	})

	// Guards against an accepted edit that is reported as refused because its response was
	// lost and another operator's edit was accepted next.
	It("is accepted if another edit follows before its outcome is read", func() {
		txns := 0
		s.Before = func(call fake.Call) error {
			if call != fake.CallTxn {
				return nil
			}
			if txns++; txns == 3 {
				s.Before = nil
				mustAccept(newEditor(s, "ben"), setWeight("silver", 1))
			}
			if txns == 2 {
				s.LoseResponses = 1
			}
			return nil
		}
		outcome := mustAccept(e, setWeight("gold", 2))
		Expect(outcome.Revision).To(Equal(int64(2)))
		Expect(mustRead(e).Head.Revision).To(Equal(int64(3)))
	})

	// Guards against a partial edit and against reporting an outcome that is not known, for
	// an outage that begins at any call.
	It("is never partially applied in an outage", func() {
		for begin := 1; begin <= 8; begin++ {
			for _, lose := range []int{0, 1, 2} {
				s.Before, s.Outage = nil, false
				before := mustRead(e)
				calls := 0
				s.LoseResponses = lose
				s.Before = func(fake.Call) error {
					calls++
					s.Outage = calls >= begin
					return nil
				}
				outcome, err := do(e, setWeight("gold", 100*begin+lose+1))
				s.Before, s.Outage, s.LoseResponses = nil, false, 0
				after := mustRead(e)
				changed := after.Head.Revision != before.Head.Revision
				at := fmt.Sprintf("outage from call %d, %d responses lost: %v, %v", begin, lose, outcome, err)
				if err != nil || outcome.Status == edit.Unchanged {
					Expect(changed).To(BeFalse(), at)
				} else if outcome.Status == edit.Accepted {
					Expect(changed).To(BeTrue(), at)
				} else {
					Expect(outcome.Status).To(Equal(edit.Unknown), at)
				}
				if outcome.ID != "" && err == nil {
					status, _ := e.Status(ctx, outcome.ID)
					Expect(status.Status == edit.Accepted).To(Equal(changed), at)
				}
			}
		}
	})

	// Guards against reporting an edit as refused while its write may still arrive, and as
	// unknown after another edit has made it stale.
	It("is unknown while its write may still arrive, and Status returns the final outcome", func() {
		delayed := &delayedStore{Store: s, delay: true}
		late := newEditor(delayed, "lea")
		outcome, err := do(late, setWeight("gold", 9))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Status).To(Equal(edit.Unknown))
		Expect(outcome.String()).To(ContainSubstring("nutmegtrack edit-status " + outcome.ID))
		Expect(e.Status(ctx, outcome.ID)).To(HaveField("Status", edit.Unknown))

		mustAccept(e, setWeight("gold", 3))
		Expect(e.Status(ctx, outcome.ID)).To(HaveField("Status", edit.Stale))
		delayed.deliver()
		Expect(e.Status(ctx, outcome.ID)).To(HaveField("Status", edit.Stale))

		outcome, _ = do(late, setWeight("gold", 10))
		delayed.deliver()
		Expect(e.Status(ctx, outcome.ID)).To(HaveField("Status", edit.Accepted))
	})

	It("is unknown if the history does not reach back to its base", func() {
		delayed := &delayedStore{Store: s, delay: true}
		outcome, _ := do(newEditor(delayed, "lea"), setWeight("gold", 9))
		for i := range 101 {
			mustAccept(e, setWeight("gold", 10+i))
		}
		Expect(e.Status(ctx, outcome.ID)).To(HaveField("Status", edit.Unknown))
		_, err := e.Status(ctx, "nonsense")
		Expect(err).To(MatchError(edit.ErrBadID))
	})

	// Guards against a head that names pages which the store has lost, so that nobody can read the
	// lists: the store returns from an older copy with the same head after the pages were written,
	// and the editor has not noticed it.
	DescribeTable("does not replace the head after the store has lost its pages", func(lose int) {
		copied := s.Copy()
		calls := 0
		s.Before = func(call fake.Call) error {
			if call == fake.CallTxn {
				calls++
			}
			if calls == 2 {
				s.LoseResponses = lose
			}
			if calls == 2+lose {
				s.Before = nil
				s.Restore(copied)
			}
			return nil
		}
		outcome, err := do(newEditor(s.NewClient(), "eve"), setWeight("gold", 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Status).NotTo(Equal(edit.Accepted))
		Expect(mustRead(e).Head.Author).To(Equal("amy"))
		mustAccept(e, setWeight("gold", 3))
	},
		Entry("before the first write of the head", 0),
		Entry("after a write of the head without a response", 1),
	)

	// Guards against an edit that is refused because another one writes the same pages.
	It("is accepted if another editor writes the same pages meanwhile", func() {
		calls := 0
		s.Before = func(call fake.Call) error {
			if call != fake.CallTxn {
				return nil
			}
			if calls++; calls == 2 {
				s.Before = nil
				for _, kv := range mustList(s, plan.PagePrefix) {
					_, err := s.Txn(ctx, nil, []store.Op{{Key: kv.Key, Value: kv.Value}})
					Expect(err).NotTo(HaveOccurred())
				}
			}
			return nil
		}
		mustAccept(newEditor(s, "eve"), setWeight("gold", 2))
		Expect(mustRead(e).Head.Author).To(Equal("eve"))
	})

	// Guards against "refused, nothing was changed" for an edit that was accepted and then lost by a
	// store that has returned from an older copy, as seen by the operator who sent it and later.
	DescribeTable("is unknown after the store has lost it", func(others int) {
		copied := s.Copy()
		txns := 0
		s.Before = func(call fake.Call) error {
			if call == fake.CallTxn {
				txns++
			}
			switch txns {
			case 2:
				s.LoseResponses = 1 // of the write of the head
			case 3:
				s.Before = nil
				s.Restore(copied)
				for i := range others {
					mustAccept(newEditor(s.NewClient(), "ben"), setWeight("silver", i+1))
				}
			}
			return nil
		}
		client := s.NewClient()
		outcome, err := do(newEditor(client, "eve"), setWeight("gold", 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(txns).To(Equal(3))
		Expect(outcome.Status).To(Equal(edit.Unknown), outcome.String())
		Expect(outcome.String()).To(ContainSubstring("returned from an older copy"))
		status, err := e.Status(ctx, outcome.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Status).To(Equal(edit.Unknown), status.String())
		Expect(status.String()).To(ContainSubstring("returned from an older copy"))
	},
		Entry("and has no later edit", 0),
		Entry("and has given its number to another edit", 1),
		Entry("and has several others", 3),
	)

	// Guards against "unknown" for edits that were refused beyond doubt, long after a return.
	It("is refused after a return if the edit that follows its base has survived", func() {
		delayed := &delayedStore{Store: s, delay: true}
		outcome, _ := do(newEditor(delayed, "lea"), setWeight("gold", 9))
		mustAccept(e, setWeight("gold", 3))
		s.Restore(s.Copy())
		Expect(e.Status(ctx, outcome.ID)).To(HaveField("Status", edit.Stale))
		mustAccept(e, setWeight("gold", 4))
		Expect(e.Status(ctx, outcome.ID)).To(HaveField("Status", edit.Stale))
		delayed.deliver()
		Expect(mustRead(e).Head.Revision).To(Equal(int64(3)))
	})

	// Guards against an edit that is made from lists which the store has lost.
	It("is refused if the store has returned from an older copy since its base was read", func() {
		copied := s.Copy()
		mustAccept(e, setWeight("gold", 2))
		base := mustRead(e)
		s.Restore(copied)
		mustAccept(newEditor(s.NewClient(), "ben"), setWeight("silver", 1))
		mustRead(e)
		outcome, err := e.Apply(ctx, base, setWeight("gold", 3))
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Status).To(Equal(edit.Stale))
		Expect(outcome.String()).To(ContainSubstring("returned from an older copy"))
		Expect(mustRead(e).Head.Author).To(Equal("ben"))
	})

	// Guards against invalid lists in the store.
	It("rejects invalid lists with all findings and writes nothing", func() {
		_, err := do(e, func(d plan.Documents) (plan.Documents, error) {
			d.Customers = []byte(`{"customers": [{"name": "", "plan": "none", "sources": []}]}`)
			return d, nil
		})
		Expect(err).To(MatchError(edit.ErrInvalid))
		Expect(err.Error()).To(ContainSubstring("customers:1:56: customers[0].sources: must name at least one prefix"))
		Expect(strings.Count(err.Error(), "customers[0]")).To(Equal(3))
		Expect(mustRead(e).Head.Revision).To(Equal(int64(1)))
	})

	// Guards against lists that exceed the store's limit for a value, and against old
	// revisions that become unreadable while readers still fetch them, or are never deleted.
	It("keeps lists of many pages and the last twenty revisions", func() {
		mustAccept(e, bigCustomers(12000))
		big := mustRead(e)
		Expect(len(big.Docs.Customers)).To(BeNumerically(">", 700_000))
		mustAccept(e, bigCustomers(10))
		for i := range 25 {
			mustAccept(e, setWeight("gold", 2+i))
		}
		current := mustRead(e).Head.Revision
		for revision := current - plan.KeptRevisions; revision <= current; revision++ {
			_, err := e.ReadRevision(ctx, revision)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := e.ReadRevision(ctx, current-plan.KeptRevisions-1)
		Expect(err).To(MatchError(edit.ErrRevisionGone))
		kvs, _, _ := s.List(ctx, plan.PagePrefix)
		used := len(mustRead(e).Head.Hashes()) + len(mustRead(e).Head.Retired)
		Expect(len(kvs)).To(Equal(used))
	})
})

var _ = Describe("Many operators", func() {
	// Guards against edits that are lost, applied twice or reported wrongly under random
	// faults. The model is the list of accepted edits.
	It("find each accepted edit once in the history, and no others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := newStore()
			accepted := 0
			for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
				s.LoseResponses = rapid.IntRange(0, 7).Draw(t, "lost")
				outageAfter := rapid.IntRange(1, 40).Draw(t, "outage after")
				calls := 0
				s.Before = func(fake.Call) error {
					calls++
					s.Outage = calls > outageAfter
					return nil
				}
				e := newEditor(s, fmt.Sprintf("op%d-", i))
				outcome, err := do(e, setWeight("gold", i+1))
				s.Before, s.Outage, s.LoseResponses = nil, false, 0
				head := plan.Head{}
				if base, readErr := e.Read(ctx); readErr != nil {
					t.Fatalf("unreadable after edit %d: %v", i, readErr)
				} else {
					head = base.Head
				}
				_, found := head.FindEdit(outcome.ID)
				if err == nil && outcome.Status != edit.Unknown && (outcome.Status == edit.Accepted) != found {
					t.Fatalf("%v, in the history: %t", outcome, found)
				}
				if err != nil && found {
					t.Fatalf("reported as failed, but in the history: %v", err)
				}
				if found {
					accepted++
				}
				if head.Revision != int64(accepted) {
					t.Fatalf("revision %d after %d accepted edits", head.Revision, accepted)
				}
			}
		})
	})
})
