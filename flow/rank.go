package flow

import "github.com/nutmegtrack/nutmegtrack/packet"

// mix is a bijective 64-bit finalizer (two multiplications). It spreads every
// input bit over the result, so that scores of different upstreams for one flow
// are independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// seedOf returns the seed of an upstream's scores.
func seedOf(id packet.AgentID) uint64 {
	return mix(uint64(id) * 0x9e3779b97f4a7c15)
}

// score ranks an upstream for a flow; the highest score is the first choice.
func score(hash, seed uint64) uint64 {
	return mix(hash ^ seed)
}

// fingerprint is the part of a flow's hash that digests carry.
func fingerprint(hash uint64) uint32 {
	return uint32(hash >> 32)
}
