package demo

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/standin"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// recordingStore appends the transactions that reach it to a log.
type recordingStore struct {
	store.Store
	log *[]string
}

func (s recordingStore) Txn(_ context.Context, conditions []store.Compare, _ []store.Op) (store.TxnResult, error) {
	name := "pages"
	if len(conditions) > 0 {
		name = "head"
	}
	*s.log = append(*s.log, name)
	return store.TxnResult{}, nil
}

// Guards against an outage that begins before or after an edit, which would leave no
// unknown outcome to resolve.
var _ = DescribeTable("an outage during an edit",
	func(applyTxn bool, want []string) {
		var log []string
		s := &outageStore{Store: recordingStore{log: &log}, applyTxn: applyTxn}
		s.setFaults = func(_ context.Context, faults standin.StoreFaults) error {
			if faults.LoseResponses == 1 {
				log = append(log, "lose response")
			} else {
				log = append(log, string(faults.Outage))
			}
			return nil
		}
		condition := []store.Compare{{}}
		for _, conditions := range [][]store.Compare{nil, condition, condition} {
			_, err := s.Txn(context.Background(), conditions, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(log).To(Equal(want))
	},
	Entry("begins before the head is replaced", false, []string{"pages", "drop", "head", "head"}),
	Entry("begins after the head is replaced", true, []string{"pages", "lose response", "head", "drop", "head"}),
)
