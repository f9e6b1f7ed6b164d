package flow

import "github.com/nutmegtrack/nutmegtrack/packet"

// Message is what one agent sends another. It is gob-encodable; gob omits zero
// fields, so a message costs only what it carries.
type Message struct {
	From, To    packet.AgentID
	Incarnation uint64 // of the sender
	Start       uint64 // of the sender's upstream; 0 when not known

	// Complete says that the sender knows every flow that its upstream holds.
	Complete bool

	// HasLoad marks Open and Limit as set.
	HasLoad bool
	Open    uint32 // flows open at the sender
	Limit   uint32 // flows up to which the sender takes new ones

	// Seq numbers the messages with a digest part; 0 in messages without one.
	Seq uint32
	// Reset tells the receiver to forget the sender's digest before applying
	// this message.
	Reset       bool
	Add, Remove []uint32 // fingerprints

	// Check marks Count and Sum, which describe the whole digest after this
	// message.
	Check bool
	Count uint32
	Sum   uint64

	// Suspects are flows that may be lost. The sender's upstream does not hold them, and the
	// receiver is their first choice in the sender's view.
	Suspects []Suspect

	// Resync asks the receiver to send its digest to the sender again.
	Resync bool
}
