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
