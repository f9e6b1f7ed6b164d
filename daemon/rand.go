package daemon

import "math/rand/v2"

// NewRand returns a random number generator seeded from another one. Each part of a
// process has its own, as a generator is not safe for concurrent use.
func NewRand(seed *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(seed.Uint64(), seed.Uint64()))
}
