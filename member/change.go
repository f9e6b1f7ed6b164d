package member

// Change is a state update for a record that the receiver already has. It takes
// about 20 bytes, a full record about 130. A receiver without the record ignores
// the change and gets the full record by anti-entropy.
type Change struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64   // hash of the process name
	Epoch, Version uint64
	State          uint8
	Sum            uint32 // hash of the record after the change
}

func changeOf(e *entry) Change {
	r := &e.record
	return Change{ID: e.nameHash, Epoch: r.Epoch, Version: r.Version, State: uint8(r.State), Sum: uint32(e.sum)}
}

// isChange reports whether b differs from a in state and version only. A record
// with a new epoch is not a change: peers may never have received the record that
// it replaces.
func isChange(a, b Record) bool {
	a.Version, a.State = b.Version, b.State
	return a.sum() == b.sum()
}
