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

// outageAttempts lets an edit give up well before the shortest outage ends.
const outageAttempts = 2

// Weights of plans that no other edit of the demo sets.
const (
	weightDuringOutage = 7
	weightAfterOutage  = 8
)

// cutEdit is an edit that the store's outage has interrupted.
type cutEdit struct {
	id   string
	want edit.Status // what became of it
}

// editIntoOutage makes an edit during which the store goes down. The store has either
// replaced the head and lost the response, or not replaced it.
func (f *fleet) editIntoOutage(ctx context.Context, rng *rand.Rand) (cutEdit, error) {
	client, err := etcd.New(etcd.Config{Endpoints: []string{"http://" + f.store.String()}})
	if err != nil {
		return cutEdit{}, err
	}
	cut := cutEdit{want: edit.Stale}
	s := &outageStore{Store: client, setFaults: f.setStoreFaults, effective: rng.IntN(2) == 0}
	if s.effective {
		cut.want = edit.Accepted
	}
	editor := edit.New(edit.Config{Store: s, Author: author, Attempts: outageAttempts})
	base, err := editor.Read(ctx)
	if err != nil {
		return cutEdit{}, err
	}
	customer := rng.IntN(len(f.spec.customers))
	outcome, err := editor.Apply(ctx, base, func(d plan.Documents) (plan.Documents, error) {
		path := "/customers/" + strconv.Itoa(customer) + "/name"
		name := f.spec.customers[customer].Name + "-outage"
		var err error
		d.Customers, err = fillTemplate(d.Customers, map[string]any{path: name})
		return d, err
	})
	if err != nil || !s.began {
		return cutEdit{}, errors.CombineErrors(err, errors.New("the outage has not interrupted the edit"))
	}
	f.say("store down during edit %s: %s", outcome.ID, outcome.Status)
	if outcome.Status != edit.Unknown {
		f.violated("an edit without a response of the store was told %s", outcome.Status)
	}
	cut.id = outcome.ID
	return cut, nil
}

// editDuringOutage tries an edit while the store is down.
func (f *fleet) editDuringOutage(rng *rand.Rand) {
	plan := f.spec.customers[rng.IntN(len(f.spec.customers))].Plan
	o, err := f.listCommand("plans", "set", plan, "--weight", strconv.Itoa(weightDuringOutage))
	switch {
	case o.Status == "" && err != nil:
		f.say("edit while the store is down: not accepted")
	case o.Status == edit.Unknown:
		f.say("edit while the store is down: unknown")
	default:
		f.violated("an edit while the store was down was told %s", o.Status)
	}
}

// resolveEdit asks what became of an interrupted edit. While its base is current, only
// another edit rules it out, so one is made first.
func (f *fleet) resolveEdit(ctx context.Context, cut cutEdit, rng *rand.Rand) error {
	plan := f.spec.customers[rng.IntN(len(f.spec.customers))].Plan
	if err := f.editList(ctx, "plans", "set", plan, "--weight", strconv.Itoa(weightAfterOutage)); err != nil {
		return err
	}
	out, err := f.command("edit-status", cut.id, "--json", "--store", "http://"+f.store.String())
	o, err := decodeOutcome(out, err)
	if err != nil {
		return err
	}
	f.say("edit-status %s: %s", cut.id, o.Status)
	if o.Status != cut.want {
		f.violated("edit %s was told %s by edit-status, and is %s", cut.id, o.Status, cut.want)
	}
	return nil
}
