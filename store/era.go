package store

import "github.com/cockroachdb/errors"

// Era numbers the lives of the store. After an outage the store may return from an older
// copy of itself. Writes since the copy are then lost, leases too, and their revisions and
// lease numbers are given out again. Each return starts a new era with a higher number. An
// era of 0 is also that of a store that does not report its era.
type Era int64

const (
	// revisionBits is the number of bits for the revision within an era: enough for 30 years
	// at 1,000 changes a second.
	revisionBits = 40
	// MaxRevisionNumber is the highest revision within an era.
	MaxRevisionNumber = 1<<revisionBits - 1
	// MaxEra is the highest era: 22 bits are left below the sign and an overflow bit.
	MaxEra Era = 1<<22 - 1
)

// QualifyRevision returns the revision with a number in an era. Qualified revisions are
// ordered by era first, so that those of a later era are always higher. The number 0, which
// means that a key does not exist, stays 0 in every era. Era and number must be within 0 and
// MaxEra or MaxRevisionNumber.
func QualifyRevision(era Era, number int64) int64 {
	if era < 0 || era > MaxEra || number < 0 || number > MaxRevisionNumber {
		panic(errors.AssertionFailedf("store: revision %d of era %d is out of range", number, era))
	}
	if number == 0 {
		return 0
	}
	return int64(era)<<revisionBits | number
}

// EraOf returns the era of a qualified revision.
func EraOf(revision int64) Era { return Era(revision >> revisionBits) }

// NumberOf returns the number of a qualified revision within its era.
func NumberOf(revision int64) int64 { return revision & MaxRevisionNumber }

// ErrEraOver reports that a condition of a transaction is on a revision of an older era.
var ErrEraOver = errors.New("store: the era of a condition is over")

// TxnEra returns the era in which a transaction must be executed, because its conditions and
// leases are of this era, or false if it may be executed in any. known is the latest era seen.
// A condition of an older era gives ErrEraOver, a lease of an older one ErrNotFound: the
// transaction must then not be sent, because a store compares numbers without their era.
func TxnEra(known Era, conditions []Compare, writes []Op) (era Era, bound bool, err error) {
	for _, c := range conditions {
		if c.Revision != 0 {
			era, bound = max(era, EraOf(c.Revision)), true
		}
	}
	for _, w := range writes {
		if !w.Delete && !w.Lease.IsZero() {
			era, bound = max(era, w.Lease.Era), true
		}
	}
	known = max(known, era)
	for _, c := range conditions {
		if c.Revision != 0 && EraOf(c.Revision) < known {
			return era, bound, errors.Wrapf(ErrEraOver, "key %q at revision %d of era %d", c.Key, NumberOf(c.Revision), EraOf(c.Revision))
		}
	}
	for _, w := range writes {
		if !w.Delete && !w.Lease.IsZero() && w.Lease.Era < known {
			return era, bound, LeaseOver(w.Lease)
		}
	}
	return era, bound, nil
}

// LeaseOver returns the ErrNotFound of a lease whose era is over.
func LeaseOver(id LeaseID) error {
	return errors.Wrapf(ErrNotFound, "the era %d of lease %d is over", id.Era, id.Number)
}
