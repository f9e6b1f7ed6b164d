package store_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/store"
)

func TestStore(t *testing.T) { spec.Run(t, "store") }

var _ = Describe("a qualified revision", func() {
	era := rapid.Int64Range(0, int64(store.MaxEra))
	number := rapid.Int64Range(1, store.MaxRevisionNumber)

	// Guards against a revision of before a return that is equal to or above a later one, and
	// against a watch from the next revision that is of another era.
	It("is ordered by era and then by number", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			e, f := store.Era(era.Draw(t, "e")), store.Era(era.Draw(t, "f"))
			m, n := number.Draw(t, "m"), number.Draw(t, "n")
			a, b := store.QualifyRevision(e, m), store.QualifyRevision(f, n)
			if (a < b) != (e < f || (e == f && m < n)) || (a == b) != (e == f && m == n) {
				t.Fatalf("%d of era %d and %d of era %d are %d and %d", m, e, n, f, a, b)
			}
			if store.EraOf(a) != e || store.NumberOf(a) != m || a <= 0 || store.EraOf(a-1) != e {
				t.Fatalf("%d of era %d is %d", m, e, a)
			}
		})
	})

	// Guards against a key that does not exist, or no lease, that would get an era.
	It("stays zero for the number zero", func() {
		Expect(store.QualifyRevision(3, 0)).To(BeZero())
		Expect(store.QualifyLease(3, 0).IsZero()).To(BeTrue())
		Expect(store.QualifyLease(3, -1).IsZero()).To(BeFalse())
	})
})

var _ = Describe("TxnEra", func() {
	at := store.QualifyRevision
	on := func(revisions ...int64) (out []store.Compare) {
		for _, r := range revisions {
			out = append(out, store.Compare{Revision: r})
		}
		return out
	}
	under := func(leases ...store.LeaseID) (out []store.Op) {
		for _, l := range leases {
			out = append(out, store.Op{Lease: l})
		}
		return out
	}

	// Guards against a transaction of an earlier era that is sent, and one without an era that is
	// held back.
	DescribeTable("decides whether a transaction may be sent", func(conditions []store.Compare, writes []store.Op, era store.Era, bound bool, want error) {
		gotEra, gotBound, err := store.TxnEra(4, conditions, writes)
		if want != nil {
			Expect(err).To(MatchError(want))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(gotBound).To(Equal(bound))
		Expect(gotEra).To(Equal(era))
	},
		Entry("none", on(), under(), store.Era(0), false, nil),
		Entry("key that does not exist", on(0), under(store.LeaseID{}), store.Era(0), false, nil),
		Entry("present era", on(at(4, 9), 0), under(store.LeaseID{Era: 4, Number: 9}), store.Era(4), true, nil),
		Entry("later era than known", on(at(5, 9)), under(), store.Era(5), true, nil),
		Entry("earlier era", on(at(3, 9)), under(), store.Era(3), true, store.ErrEraOver),
		Entry("eras mixed", on(at(4, 9), at(5, 9)), under(), store.Era(5), true, store.ErrEraOver),
		Entry("lease of an earlier era", on(0), under(store.LeaseID{Era: 3, Number: 9}), store.Era(3), true, store.ErrNotFound),
		Entry("delete with a stray lease", on(), []store.Op{{Delete: true, Lease: store.LeaseID{Era: 3, Number: 9}}}, store.Era(0), false, nil),
	)
})
