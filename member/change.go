package member

// Change is a new state of a process whose record the receiver knows. It takes
// about 20 bytes, a record 130. A receiver without that record ignores the change
// and receives the whole record by anti-entropy.
type Change struct {
	_              struct{} `cbor:",toarray"`
	ID             uint64   // hash of the name
	Epoch, Version uint64
	State          uint8
	Sum            uint32 // hash of the record after the change
}

func changeOf(e *entry) Change {
	r := &e.record
	return Change{ID: e.hash, Epoch: r.Epoch, Version: r.Version, State: uint8(r.State), Sum: uint32(e.sum)}
}

// isChange reports whether b differs from a in state and version only. A new epoch
// replaces a record that others may never have had.
func isChange(a, b Record) bool {
	a.Version, a.State = b.Version, b.State
	return a.sum() == b.sum()
}
