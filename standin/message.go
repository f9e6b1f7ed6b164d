package standin

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// FlowID identifies a flow in all records of a demo or test run. Unlike ports, flow
// IDs are not reused.
type FlowID uint64

// Request is the payload that a client sends: a numbered request of one flow.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Service packet.ServiceID
	Flow    FlowID
	Number  uint32 // counts from 1 within the flow
}

// Response identifies the request that it answers and the server state that
// produced it.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Service  packet.ServiceID
	Flow     FlowID
	Number   uint32
	Upstream string
	State    uint64 // random ID of the upstream's state of the flow
}

var errMessage = errors.New("standin: malformed message")

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // every value of the message types can be encoded
	}
	return b
}

func decodeRequest(b []byte) (Request, error) {
	var r Request
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, errors.Mark(err, errMessage)
	}
	return r, nil
}

func decodeResponse(b []byte) (Response, error) {
	var r Response
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, errors.Mark(err, errMessage)
	}
	return r, nil
}
