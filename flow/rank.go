package flow

import (
	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// seedOf returns the seed of an upstream's scores.
func seedOf(id packet.AgentID) uint64 {
	return rendezvous.Seed(uint64(id))
}

// score ranks an upstream for a flow; the highest score is the first choice.
func score(hash, seed uint64) uint64 {
	return rendezvous.Score(hash, seed)
}

// fingerprint is the part of a flow's hash that digests carry.
func fingerprint(hash uint64) uint32 {
	return uint32(hash >> 32)
}
