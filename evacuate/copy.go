package evacuate

import "slices"

// Set is the set of failure domains that are evacuated.
type Set struct {
	Revision int64    // qualified revision of the store at which it was seen; 0: no order has ever been seen
	Domains  []string // sorted, without duplicates; not modified afterwards
}

// Copy is what a process knows of the orders. Its zero value knows of none. It is not safe for concurrent use.
type Copy struct {
	set       Set
	confirmed int64 // highest revision at which a read of this process has confirmed the set
}

// Read records the whole set of domains as read from the store at a revision. It reports whether the set has
// changed. A read that is older than what is known is ignored, and one that confirms the set keeps its
// revision, so that it is not propagated again.
func (c *Copy) Read(revision int64, domains []string) (changed bool) {
	if revision <= 0 || revision < c.confirmed || revision < c.set.Revision {
		return false
	}
	c.confirmed = revision
	next := slices.Compact(slices.Sorted(slices.Values(domains)))
	if slices.Equal(next, c.set.Domains) {
		return false
	}
	c.set = Set{Revision: revision, Domains: next}
	return true
}

// Learn records the set that another process knows and reports whether the set has changed.
func (c *Copy) Learn(s Set) (changed bool) {
	next := slices.Compact(slices.Sorted(slices.Values(s.Domains)))
	if s.Revision <= c.set.Revision || s.Revision <= c.confirmed {
		if !slices.Equal(next, c.set.Domains) {
			c.Outrank(s.Revision)
		}
		return false
	}
	changed = !slices.Equal(next, c.set.Domains)
	c.set = Set{Revision: s.Revision, Domains: next}
	return changed
}

// Outrank raises the revision of the set above that of another process's set, if a read of this process has
// confirmed the set at a later revision than that, and reports whether it did. Without it the other process
// would keep its set, as after the loss of all copies that held the withdrawal, or if the store was restored
// to a copy whose orders are those of an earlier revision.
func (c *Copy) Outrank(revision int64) bool {
	if revision <= c.set.Revision || revision > c.confirmed {
		return false
	}
	c.set.Revision = c.confirmed
	return true
}

// Set returns the set as it is known.
func (c *Copy) Set() Set { return c.set }

// Contains reports whether a failure domain is evacuated.
func (c *Copy) Contains(domain string) bool { return c.set.Contains(domain) }

// Contains reports whether a failure domain is in the set.
func (s Set) Contains(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}
