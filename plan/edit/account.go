package edit

import (
	"github.com/nutmegtrack/nutmegtrack/plan"
)

// keepAccounts writes the accounts of customers that an edit has renamed into the new list.
// A customer is renamed when its entry has another name and the same sources. An operator's
// file that does not state the account of a customer renamed before keeps it too.
//
// Without the account a renamed customer would be a new one to the daemons: it had no tokens
// until the quota grantor issued some, which nobody can while the grantor is lost and the
// store is away.
func keepAccounts(before, after *plan.Lists, text []byte) ([]byte, error) {
	t, err := plan.NewText(plan.CustomersList, text)
	if err != nil {
		return nil, err
	}
	former := formerAccounts(before, after)
	for i := range after.Customers {
		c := &after.Customers[i]
		account, known := former[c.Name]
		if !known || account == c.Account || t.HasField(c.Name, accountField) {
			continue
		}
		if err := t.Set(c.Name, account, accountField); err != nil {
			return nil, err
		}
	}
	return t.Bytes(), nil
}

const accountField = "account"

// formerAccounts returns the accounts that customers had before the edit, by their names
// after it.
func formerAccounts(before, after *plan.Lists) map[string]string {
	out := make(map[string]string, len(before.Customers))
	for i := range before.Customers {
		out[before.Customers[i].Name] = before.Customers[i].Account
	}
	present := make(map[string]bool, len(after.Customers))
	for i := range after.Customers {
		present[after.Customers[i].Name] = true
	}
	// Sources do not overlap, so at most one customer of a list has those of another.
	vanished := make(map[string]string)
	for i := range before.Customers {
		if c := &before.Customers[i]; !present[c.Name] {
			vanished[plan.SourcesText(c.Sources)] = c.Account
		}
	}
	for i := range after.Customers {
		c := &after.Customers[i]
		if account, found := vanished[plan.SourcesText(c.Sources)]; found && out[c.Name] == "" {
			out[c.Name] = account
		}
	}
	return out
}
