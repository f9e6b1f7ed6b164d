package member

import "time"

// tombstone marks a removed record, so that a peer that has not removed the record
// yet cannot reintroduce it.
type tombstone struct {
	record  Record
	expires time.Duration
}

// isRemoved reports whether r is not newer than a removed record of the same name.
func (t *Table) isRemoved(r *Record) bool {
	stone, found := t.removed[r.Name]
	return found && Compare(r, &stone.record) <= 0
}

// removedRecord returns the removed record that suppresses r, if r is live. When the
// process that r describes receives the removed record, it announces a newer record (see
// refute): with a higher version if the removed record is of the same incarnation, and
// with a higher epoch if the process has restarted since.
func (t *Table) removedRecord(r *Record) (Record, bool) {
	if r.Gone() || !t.isRemoved(r) {
		return Record{}, false
	}
	return t.removed[r.Name].record, true
}

// expire removes records of processes that have been failed or leaving for at least
// removeAfter. Tombstones are kept for twice that time: a peer that received the record
// just before this process removed it can send it for another period of removeAfter.
func (t *Table) expire(now, removeAfter time.Duration) {
	t.now = now
	for name, e := range t.byName {
		if e.record.Gone() && now-e.since >= removeAfter {
			t.remove(e)
			t.removed[name] = tombstone{record: e.record, expires: now + 2*removeAfter}
		}
	}
	for name, stone := range t.removed {
		if now >= stone.expires {
			delete(t.removed, name)
		}
	}
}

func (t *Table) remove(e *entry) {
	t.removeFromGroup(e)
	t.toggleInDigest(e)
	delete(t.byName, e.record.Name)
	delete(t.byHash, e.nameHash)
	if e.record.Role == RoleBalancer {
		t.balancers = nil
	}
	kept := t.order[:0]
	for _, other := range t.order {
		if other != e {
			kept = append(kept, other)
		}
	}
	t.order = kept
}
