package edit

import (
	"github.com/nutmegtrack/nutmegtrack/plan"
)

// keepAccounts writes the accounts of customers that an edit has renamed into the new list.
// A customer is renamed if its entry has another name and the same sources. A customer that
// was renamed earlier also keeps its account when the operator's file omits it.
//
// Without the account the daemons would treat a renamed customer as a new one. It would have
// no tokens until the quota grantor issues some, which is impossible while the grantor has
// failed and the store is unavailable.
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

// formerAccounts returns the accounts that customers had before the edit, keyed by their
// names before the edit and, if renamed, also by those after it.
func formerAccounts(before, after *plan.Lists) map[string]string {
	out := make(map[string]string, len(before.Customers))
	for i := range before.Customers {
		out[before.Customers[i].Name] = before.Customers[i].Account
	}
	present := make(map[string]bool, len(after.Customers))
	for i := range after.Customers {
		present[after.Customers[i].Name] = true
	}
	// Sources do not overlap, so at most one customer of each list has a given set of them.
	removed := make(map[string]string)
	for i := range before.Customers {
		if c := &before.Customers[i]; !present[c.Name] {
			removed[plan.SourcesText(c.Sources)] = c.Account
		}
	}
	for i := range after.Customers {
		c := &after.Customers[i]
		if account, found := removed[plan.SourcesText(c.Sources)]; found && out[c.Name] == "" {
			out[c.Name] = account
		}
	}
	return out
}
