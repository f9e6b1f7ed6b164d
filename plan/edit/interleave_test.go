package edit_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// scheduledStore runs each call of one operator only when the schedule permits it.
type scheduledStore struct {
	store.Store
	waiting chan struct{} // a call is about to run
	proceed chan struct{}
}

func (s scheduledStore) awaitTurn() {
	s.waiting <- struct{}{}
	<-s.proceed
}

func (s scheduledStore) Get(ctx context.Context, key string) (store.KV, error) {
	s.awaitTurn()
	return s.Store.Get(ctx, key)
}

func (s scheduledStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	s.awaitTurn()
	return s.Store.List(ctx, prefix)
}

func (s scheduledStore) Txn(ctx context.Context, conditions []store.Compare, writes []store.Op) (store.TxnResult, error) {
	s.awaitTurn()
	return s.Store.Txn(ctx, conditions, writes)
}

// race runs two edits and interleaves their store calls according to the schedule (false
// is the first operator); after its end the first operator goes first. It returns the
// outcomes, the schedule that was used, and for each step whether both operators could
// have made the call.
func race(s store.Store, schedule []bool) (outcomes [2]edit.Outcome, taken, choices []bool) {
	var operators [2]scheduledStore
	done := [2]chan edit.Outcome{}
	for i := range operators {
		operators[i] = scheduledStore{s, make(chan struct{}), make(chan struct{})}
		done[i] = make(chan edit.Outcome, 1)
		go func() {
			defer GinkgoRecover()
			outcome, err := do(newEditor(operators[i], fmt.Sprintf("op%d-", i)), setWeight("gold", 10+i))
			Expect(err).NotTo(HaveOccurred())
			done[i] <- outcome
			close(operators[i].waiting)
		}()
	}
	alive := [2]bool{}
	for i := range operators {
		_, alive[i] = <-operators[i].waiting
	}
	for step := 0; alive[0] || alive[1]; step++ {
		second := step < len(schedule) && schedule[step]
		choice := alive[0] && alive[1]
		if !choice {
			second = alive[1]
		}
		next := 0
		if second {
			next = 1
		}
		taken, choices = append(taken, second), append(choices, choice)
		operators[next].proceed <- struct{}{}
		_, alive[next] = <-operators[next].waiting
	}
	return [2]edit.Outcome{<-done[0], <-done[1]}, taken, choices
}

var _ = Describe("Two operators at once", func() {
	// Guards against two edits from the same base that are both reported as accepted, in
	// every order in which the store can receive the calls.
	It("have one accepted edit for each base, and the other outcome names its author", func() {
		schedules, refused := 0, 0
		var explore func(schedule []bool)
		explore = func(schedule []bool) {
			s := newStore()
			mustAccept(newEditor(s, "setup"), setWeight("gold", 1))
			outcomes, taken, choices := race(s, schedule)
			schedules++
			head := mustRead(newEditor(s, "check")).Head
			acceptedCount := 0
			for i, outcome := range outcomes {
				_, found := head.FindEdit(outcome.ID)
				Expect(found).To(Equal(outcome.Status == edit.Accepted), "%v: %v", taken, outcome)
				if found {
					acceptedCount++
					continue
				}
				refused++
				Expect(outcome.Status).To(Equal(edit.Stale), "%v: %v", taken, outcome)
				Expect(outcome.Others).To(HaveLen(1))
				Expect(outcome.Others[0].Author).To(Equal(fmt.Sprintf("op%d-", 1-i)))
				Expect(outcome.OtherChanges).To(HaveLen(1))
				Expect(outcome.OtherChanges[0].Fields[0].New).To(Equal(fmt.Sprint(11 - i)))
			}
			// Both edits are accepted only if one was finished before the other read its base.
			Expect(head.Revision).To(Equal(int64(1 + acceptedCount)))
			Expect(acceptedCount).To(BeNumerically(">=", 1))
			if acceptedCount == 2 {
				Expect(outcomes[0].Base).NotTo(Equal(outcomes[1].Base))
			}
			for i := len(schedule); i < len(taken); i++ {
				if choices[i] {
					explore(append(append([]bool(nil), taken[:i]...), !taken[i]))
				}
			}
		}
		explore(nil)
		fmt.Fprintf(GinkgoWriter, "%d schedules, %d with a refused edit\n", schedules, refused)
		Expect(refused).To(BeNumerically(">", 100))
	})
})
