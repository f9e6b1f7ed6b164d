package demo

import (
	"context"
	"math/rand/v2"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

// outageAttempts is the maximum number of attempts of an edit. It is low, so that the
// edit fails well before the shortest outage ends.
const outageAttempts = 2

// Plan weights that no other edit of the demo sets.
const (
	weightDuringOutage = 7
	weightAfterOutage  = 8
)

// interruptedEdit is an edit that was interrupted by the store's outage.
type interruptedEdit struct {
	id      string
	outcome edit.Status // its actual outcome
}

// editInterruptedByOutage makes an edit during which the store goes down. At random, the store
// either replaces the head and its response is lost, or does not replace the head.
func (f *fleet) editInterruptedByOutage(ctx context.Context, rng *rand.Rand) (interruptedEdit, error) {
	client, err := etcd.New(etcd.Config{Endpoints: []string{"http://" + f.storeAddr.String()}})
	if err != nil {
		return interruptedEdit{}, err
	}
	interrupted := interruptedEdit{outcome: edit.Stale}
	s := &outageStore{Store: client, setFaults: f.setStoreFaults, applyTxn: rng.IntN(2) == 0}
	if s.applyTxn {
		interrupted.outcome = edit.Accepted
	}
	editor := edit.New(edit.Config{Store: s, Author: editAuthor, Attempts: outageAttempts})
	base, err := editor.Read(ctx)
	if err != nil {
		return interruptedEdit{}, err
	}
	customer := rng.IntN(len(f.spec.customers))
	outcome, err := editor.Apply(ctx, base, func(d plan.Documents) (plan.Documents, error) {
		path := "/customers/" + strconv.Itoa(customer) + "/name"
		name := f.spec.customers[customer].Name + "-outage"
		var err error
		d.Customers, err = fillTemplate(d.Customers, map[string]any{path: name})
		return d, err
	})
	if err != nil || !s.started {
		return interruptedEdit{}, errors.CombineErrors(err, errors.New("the outage did not interrupt the edit"))
	}
	f.logf("store down during edit %s: %s", outcome.ID, outcome.Status)
	if outcome.Status != edit.Unknown {
		f.addViolation("the outcome of an edit without a response from the store was %s", outcome.Status)
	}
	interrupted.id = outcome.ID
	return interrupted, nil
}

// editDuringOutage tries an edit while the store is down. It must not report a definite
// outcome.
func (f *fleet) editDuringOutage(rng *rand.Rand) {
	plan := f.spec.customers[rng.IntN(len(f.spec.customers))].Plan
	o, err := f.listCommand("plans", "set", plan, "--weight", strconv.Itoa(weightDuringOutage))
	switch {
	case o.Status == "" && err != nil:
		f.logf("edit while the store is down: not accepted")
	case o.Status == edit.Unknown:
		f.logf("edit while the store is down: unknown")
	default:
		f.addViolation("the outcome of an edit while the store was down was %s", o.Status)
	}
}

// resolveEdit queries the outcome of an interrupted edit. As long as the base of that
// edit is the current revision, the edit may still take effect, so another edit is made
// first to rule that out.
func (f *fleet) resolveEdit(ctx context.Context, interrupted interruptedEdit, rng *rand.Rand) error {
	plan := f.spec.customers[rng.IntN(len(f.spec.customers))].Plan
	if err := f.editList(ctx, "plans", "set", plan, "--weight", strconv.Itoa(weightAfterOutage)); err != nil {
		return err
	}
	out, err := f.command("edit-status", interrupted.id, "--json", "--store", "http://"+f.storeAddr.String())
	o, err := decodeOutcome(out, err)
	if err != nil {
		return err
	}
	f.logf("edit-status %s: %s", interrupted.id, o.Status)
	if o.Status != interrupted.outcome {
		f.addViolation("edit-status of edit %s reports %s, but the outcome is %s", interrupted.id, o.Status, interrupted.outcome)
	}
	return nil
}
