// Package rendezvous holds the hash step that all rankings by rendezvous hashing share.
package rendezvous

// Mix is a bijective 64-bit finalizer (two multiplications). It spreads every input
// bit over the result, so that scores of different candidates for one key are
// independent.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Seed returns the seed of a candidate's scores from its identifier.
func Seed(id uint64) uint64 { return Mix(id * 0x9e3779b97f4a7c15) }

// Score ranks the candidate with the seed for a key's hash; the highest score is the
// first choice.
func Score(hash, seed uint64) uint64 { return Mix(hash ^ seed) }
