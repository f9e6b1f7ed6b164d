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

// removedRecord returns the removed record that suppresses r, if r states that the process is
// alive. The process that receives it announces a higher epoch, as after a restart
// under the same name.
func (t *Table) removedRecord(r *Record) (Record, bool) {
	if r.Gone() || !t.isRemoved(r) {
		return Record{}, false
	}
	return t.removed[r.Name].record, true
}

// expire removes records of processes that have been failed or leaving for at least
// the time after. Tombstones are kept for twice that time: a process that received
// the record just before another one removed it keeps and sends it for up to the same
// time again.
func (t *Table) expire(now, after time.Duration) {
	t.now = now
	for name, e := range t.byName {
		if e.record.Gone() && now-e.since >= after {
			t.remove(e)
			t.removed[name] = tombstone{record: e.record, expires: now + 2*after}
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
	delete(t.byHash, e.hash)
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
