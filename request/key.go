package request

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Key identifies a non-idempotent request. It is a truncated SHA-256: callers choose
// idempotency keys, and a hash whose collisions can be constructed would let one
// request receive the answer of another.
type Key [16]byte

// KeyOf returns the key of an idempotency key within a service and customer.
func KeyOf(service, customer, idempotencyKey string) Key {
	h := sha256.New()
	for _, part := range [...]string{service, customer, idempotencyKey} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:16])
}

// hash is the part of the key that ranks registrars.
func (k Key) hash() uint64 { return binary.BigEndian.Uint64(k[:]) }

// AttemptID names one attempt at a request, on one agent.
type AttemptID struct {
	Number      uint64 // random; the lower one wins between two attempts
	Agent       packet.AgentID
	Incarnation uint64 // of the agent
	// Round grows each time the attempt gives its claims back. A release that is
	// late or doubled so never takes away a later claim of the same attempt.
	Round uint32
}

// first returns the name of the attempt without its round.
func (a AttemptID) first() AttemptID {
	a.Round = 0
	return a
}

// Compare orders attempts.
func (a AttemptID) Compare(b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Agent, b.Agent),
		cmp.Compare(a.Incarnation, b.Incarnation))
}
