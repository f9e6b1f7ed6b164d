package flow

import "github.com/nutmegtrack/nutmegtrack/packet"

// Message is sent from one agent to another. It is gob-encodable; gob omits zero fields, so
// that a message contains only what it uses.
type Message struct {
	From, To    packet.AgentID
	Incarnation uint64 // of the sender
	Start       uint64 // of the sender's upstream; 0 when unknown

	// Complete says that the sender's table is complete: see Table.tableComplete. Only agents of
	// earlier builds read it.
	Complete bool

	// HasLoad says that Open and Limit are set.
	HasLoad bool
	Open    uint32 // number of open flows at the sender
	Limit   uint32 // number of open flows up to which the sender accepts new ones

	// Seq numbers the messages with a digest part; 0 in messages without one.
	Seq uint32
	// Reset says that this message begins a new digest of the sender; it is no TCP reset. The
	// receiver still uses the old digest until the new one is verified.
	Reset       bool
	Add, Remove []uint32 // fingerprints

	// Check says that Count and Sum are set. They describe the whole digest after this
	// message.
	Check bool
	Count uint32
	Sum   uint64

	// Suspects are flows that may be lost: the sender's upstream does not hold them, and the
	// receiver is their first choice in the sender's view.
	Suspects []Suspect

	// Keep are lists of flows that the receiver is to keep for their owners, and Kept those that the
	// sender keeps for the receiver. Return are lists of the receiver's own earlier process, and Restored
	// those that the sender has received back. See BeginHandover.
	Keep, Return   []FlowList
	Kept, Restored []ListID

	// Resync asks the receiver to send the sender its whole digest again.
	Resync bool
}
