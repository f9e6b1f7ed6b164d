package demo

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/examples"
	"github.com/nutmegtrack/nutmegtrack/plan/edit"
)

// The edits are made in the part of the load between these fractions of its duration,
// before the store's outage.
const (
	editsStart = changesStart
	editsEnd   = 0.6
)

// listActions are the edits of a run, in order.
var listActions = []action{
	{"plan lowered", lowerPlan},
	{"customers edited", editCustomers},
	{"plans edited", editPlans},
	{"two operators edit", editConcurrently},
}

// editSchedule spreads the edits over the part of the load from editsStart to editsEnd.
func editSchedule(length time.Duration, rng *rand.Rand) []scheduledAction {
	slot := time.Duration((editsEnd - editsStart) * float64(length) / float64(len(listActions)))
	var all []scheduledAction
	for i, a := range listActions {
		at := time.Duration(editsStart*float64(length)) + time.Duration(i)*slot
		at += time.Duration(rng.Float64() * float64(slot) / 2)
		all = append(all, scheduledAction{at: at, action: a, rng: rand.New(rand.NewPCG(rng.Uint64(), 0))})
	}
	return all
}

// loadLists writes the example lists to the store. The plans come first, because the
// customers refer to them.
func (f *fleet) loadLists(ctx context.Context) error {
	for _, list := range []string{"plans", "customers"} {
		src, err := examples.Files.ReadFile(f.spec.name + "/" + list + ".json")
		if err != nil {
			return errors.Wrap(err, "list")
		}
		path, err := f.writeList(list, src)
		if err != nil {
			return err
		}
		if err := f.editList(ctx, list, "apply", path, "--base", "latest"); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) writeList(name string, text []byte) (string, error) {
	path := filepath.Join(f.dir, name+".json")
	return path, errors.Wrap(os.WriteFile(path, text, 0o600), "list")
}

// editCustomers moves a customer to another plan.
func editCustomers(ctx context.Context, f *fleet, rng *rand.Rand) error {
	customer := f.spec.customers[rng.IntN(len(f.spec.customers))]
	other := f.spec.customers[rng.IntN(len(f.spec.customers))]
	for other.Plan == customer.Plan {
		other = f.spec.customers[rng.IntN(len(f.spec.customers))]
	}
	return f.editList(ctx, "customers", "set", customer.Name, "--plan", other.Plan)
}

// lowerPlan lowers the limit of the greedy customer while its connections are open.
func lowerPlan(ctx context.Context, f *fleet, _ *rand.Rand) error {
	service := f.spec.services[0].name
	return f.editList(ctx, "plans", "set", trialPlan, "--service", service, "--connections", strconv.Itoa(loweredConnections))
}

// editPlans changes the weight of a plan.
func editPlans(ctx context.Context, f *fleet, rng *rand.Rand) error {
	customer := f.spec.customers[rng.IntN(len(f.spec.customers))]
	weight := strconv.Itoa(10 + rng.IntN(90)) // differs from all weights in the examples
	return f.editList(ctx, "plans", "set", customer.Plan, "--weight", weight)
}

// editConcurrently applies two different lists concurrently that are based on the same
// revision. Exactly one edit must be accepted, and the other must be refused as stale.
func editConcurrently(ctx context.Context, f *fleet, rng *rand.Rand) error {
	text, err := f.command("customers", "get", "--store", "http://"+f.storeAddr.String())
	if err != nil {
		return err
	}
	first := rng.IntN(len(f.spec.customers))
	second := (first + 1) % len(f.spec.customers)
	began := time.Now()
	var outcomes [2]edit.Outcome
	var failures [2]error
	var both sync.WaitGroup
	for i, customer := range []int{first, second} {
		both.Go(func() { outcomes[i], failures[i] = f.applyRenamed(text, i, customer) })
	}
	both.Wait()
	if err := errors.Join(failures[0], failures[1]); err != nil {
		return err
	}
	return f.checkConcurrentEdits(ctx, outcomes, began)
}

// applyRenamed applies the list of customers with one customer renamed.
func (f *fleet) applyRenamed(text string, operator, customer int) (edit.Outcome, error) {
	name := f.spec.customers[customer].Name + "-renamed"
	filled, err := fillTemplate([]byte(text), map[string]any{"/customers/" + strconv.Itoa(customer) + "/name": name})
	if err != nil {
		return edit.Outcome{}, err
	}
	path, err := f.writeList("customers-operator-"+strconv.Itoa(operator+1), filled)
	if err != nil {
		return edit.Outcome{}, err
	}
	return f.listCommand("customers", "apply", path)
}

func (f *fleet) checkConcurrentEdits(ctx context.Context, outcomes [2]edit.Outcome, began time.Time) error {
	winner, loser := outcomes[0], outcomes[1]
	if winner.Status != edit.Accepted {
		winner, loser = loser, winner
	}
	f.logf("two operators edit: %s (revision %d), %s", winner.Status, winner.Revision, loser.Status)
	if winner.Status != edit.Accepted || loser.Status != edit.Stale {
		f.addViolation("the outcomes of two edits of the same revision were %s and %s", winner.Status, loser.Status)
		return nil
	}
	f.mu.Lock()
	f.lists.Stale++
	f.mu.Unlock()
	return f.waitForRevision(ctx, winner, began)
}

// decodeOutcome decodes the JSON that a list command prints. It ignores failure, the
// error of the command, if there is an outcome: commands exit with an error status for
// each outcome other than accepted.
func decodeOutcome(out string, failure error) (edit.Outcome, error) {
	var o edit.Outcome
	if err := json.Unmarshal([]byte(out), &o); err != nil || o.Status == "" {
		return o, errors.CombineErrors(failure, errors.Wrap(err, "outcome of an edit"))
	}
	return o, nil
}
