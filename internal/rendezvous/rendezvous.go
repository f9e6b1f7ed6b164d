// Package rendezvous implements the scores of rendezvous hashing.
package rendezvous

// Mix is a bijective 64-bit finalizer (two multiplications). Every input bit affects all
// bits of the result, so that the scores of different candidates for one key are
// independent.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Seed returns the seed for the scores of the candidate with the identifier.
func Seed(id uint64) uint64 { return Mix(id * 0x9e3779b97f4a7c15) }

// Score returns the score, for a key's hash, of the candidate with the seed. The candidate
// with the highest score is the key's first choice.
func Score(hash, seed uint64) uint64 { return Mix(hash ^ seed) }
