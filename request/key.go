package request

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Key identifies a non-idempotent request. It is a truncated SHA-256 hash: callers choose
// the idempotency keys, and with a hash whose collisions can be constructed one request
// could receive the answer to another.
type Key [16]byte

// KeyOf returns the Key for an idempotency key that is used with a target of a service.
// The target is the method and the request URI. The Key does not depend on the customer:
// customers that use the same idempotency key with the same target get the same Key.
func KeyOf(service, target, idempotencyKey string) Key {
	h := sha256.New()
	for _, part := range [...]string{service, target, idempotencyKey} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:16])
}

// hash returns the part of the key by which registrars are ranked.
func (k Key) hash() uint64 { return binary.BigEndian.Uint64(k[:]) }

// AttemptID identifies one attempt: one submission of a request to one agent.
type AttemptID struct {
	Number      uint64 // random; of two conflicting attempts without both grants, the one with the lower number wins
	Agent       packet.AgentID
	Incarnation uint64 // of the agent
	// Round is incremented each time the attempt releases its claims, so that a delayed
	// or duplicated release never removes a later claim of the same attempt.
	Round uint32
}

// withoutRound returns the ID with Round set to zero. Tables use it as key.
func (a AttemptID) withoutRound() AttemptID {
	a.Round = 0
	return a
}

// Compare orders attempts by number, agent and incarnation. It ignores the round.
func (a AttemptID) Compare(b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Agent, b.Agent),
		cmp.Compare(a.Incarnation, b.Incarnation))
}
