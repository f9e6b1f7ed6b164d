package member

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// wireEndpoint and wireRecord are encoded as arrays without field names, because
// field names would double the size of a record.
type wireEndpoint struct {
	_     struct{} `cbor:",toarray"`
	Addr  netip.AddrPort
	Proto uint8
}

type wireRecord struct {
	_                            struct{} `cbor:",toarray"`
	Name, Service, FailureDomain string
	Role                         Role
	Incarnation, Epoch, Version  uint64
	State                        flow.State
	Data, Control                netip.AddrPort
	Endpoints                    []wireEndpoint
	Slots, Connections           int
	Start                        uint64
}

// wireColdRecord is the encoding of a record with Cold. Other records have no such element, so that
// they take no byte more than without cold upstreams.
type wireColdRecord struct {
	_ struct{} `cbor:",toarray"`
	wireRecord
	Cold bool
}

// wireRecordLength is the number of elements of an encoded record without Cold.
const wireRecordLength = 14

func toWire(r *Record) wireRecord {
	w := wireRecord{
		Name: r.Name, Service: r.Service, FailureDomain: r.FailureDomain, Role: r.Role,
		Incarnation: r.Incarnation, Epoch: r.Epoch, Version: r.Version, State: r.State,
		Data: r.Data, Control: r.Control, Slots: r.Slots, Connections: r.Connections, Start: r.Start,
	}
	for _, e := range r.Endpoints {
		w.Endpoints = append(w.Endpoints, wireEndpoint{Addr: e.Addr, Proto: e.Proto})
	}
	return w
}

func (w *wireRecord) record() Record {
	r := Record{
		Name: w.Name, Service: w.Service, FailureDomain: w.FailureDomain, Role: w.Role,
		Incarnation: w.Incarnation, Epoch: w.Epoch, Version: w.Version, State: w.State,
		Data: w.Data, Control: w.Control, Slots: w.Slots, Connections: w.Connections, Start: w.Start,
	}
	for _, e := range w.Endpoints {
		r.Endpoints = append(r.Endpoints, flow.Endpoint{Addr: e.Addr, Proto: e.Proto})
	}
	return r
}

// MarshalCBOR encodes the record as an array.
func (r Record) MarshalCBOR() ([]byte, error) {
	if r.Cold {
		return cbor.Marshal(wireColdRecord{wireRecord: toWire(&r), Cold: true})
	}
	return cbor.Marshal(toWire(&r))
}

// UnmarshalCBOR decodes a record written by MarshalCBOR.
func (r *Record) UnmarshalCBOR(b []byte) error {
	const arrayHeader = 0x80 // of an array of fewer than 24 elements, plus their number
	if len(b) > 0 && b[0] == arrayHeader+wireRecordLength+1 {
		var w wireColdRecord
		if err := cbor.Unmarshal(b, &w); err != nil {
			return err
		}
		*r = w.record()
		r.Cold = w.Cold
		return nil
	}
	var w wireRecord
	if err := cbor.Unmarshal(b, &w); err != nil {
		return err
	}
	*r = w.record()
	return nil
}

func encodeRecord(r *Record) []byte {
	b, err := r.MarshalCBOR()
	invariant(err == nil, "record %q cannot be encoded: %v", r.Name, err)
	return b
}
