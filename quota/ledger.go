package quota

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// entry is the grantor's record of one account.
type entry struct {
	id       Account
	limit    int32 // tokens the plan allows
	issued   int32 // tokens at holders or in transit
	recalled bool  // holders return their free tokens
	changed  bool  // listed in ledger.changes
}

// ledger records how many tokens of each account are issued.
type ledger struct {
	entries []*entry
	index   map[Account]*entry
	// exact has the bits of the groups whose issued counts are exact.
	exact uint64
	// changes holds the entries whose issued count has to be compared with the
	// limit.
	changes []*entry
}

func newLedger() ledger { return ledger{index: map[Account]*entry{}} }

func (l *ledger) entry(id Account) *entry {
	if e := l.index[id]; e != nil {
		return e
	}
	e := &entry{id: id}
	l.index[id] = e
	l.entries = append(l.entries, e)
	return e
}

func (l *ledger) markChanged(e *entry) {
	if !e.changed {
		e.changed = true
		l.changes = append(l.changes, e)
	}
}

// dueChanges removes and returns, in a fixed order, the changed entries whose
// issued counts are exact. Entries of groups that are not exact, or for which skip
// returns true, remain in changes.
func (l *ledger) dueChanges(skip func(uint64) bool) []*entry {
	var ready, rest []*entry
	for _, e := range l.changes {
		if g := e.id.group(); l.exact&g == 0 || skip(g) {
			rest = append(rest, e)
			continue
		}
		e.changed = false
		ready = append(ready, e)
	}
	l.changes = rest
	slices.SortFunc(ready, compareEntries)
	return ready
}

// setLimits replaces all limits; accounts that are not listed get the limit 0.
func (l *ledger) setLimits(limits []Amount) {
	wanted := make(map[Account]int32, len(limits))
	for _, limit := range limits {
		wanted[limit.Account] = limit.Tokens
		l.entry(limit.Account)
	}
	for _, e := range l.entries {
		if limit := wanted[e.id]; limit != e.limit {
			e.limit = limit
			l.markChanged(e)
		}
	}
}

// setCounts replaces the issued counts of some groups by the result of a recount.
func (l *ledger) setCounts(groups uint64, counts map[Account]int32) {
	for id := range counts {
		l.entry(id)
	}
	for _, e := range l.entries {
		if e.id.group()&groups != 0 {
			e.issued = counts[e.id]
			l.markChanged(e)
		}
	}
	l.exact |= groups
	// Entries were added in map order; sorting makes the order deterministic.
	slices.SortFunc(l.entries, compareEntries)
}

func compareEntries(a, b *entry) int { return compareAccounts(a.id, b.id) }

// recordReturn records tokens that a holder has returned. It ignores those of a group
// whose counts are not exact, because the group is still to be recounted.
func (l *ledger) recordReturn(a Amount) {
	e := l.entry(a.Account)
	if l.exact&a.Account.group() == 0 {
		return
	}
	e.issued -= a.Tokens
	if e.issued < 0 {
		panic(errors.AssertionFailedf("quota: more tokens of %x/%s returned than issued",
			e.id.Customer, e.id.Kind))
	}
	l.markChanged(e)
}
