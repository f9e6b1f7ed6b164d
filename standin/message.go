package standin

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// FlowID identifies a flow in all records of one run. Ports are reused, flow IDs
// are not.
type FlowID uint64

// Request is what a client sends: a numbered request of one flow.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Service packet.ServiceID
	Flow    FlowID
	Number  uint32 // from 1, in the flow
}

// Response names the request that it answers and the state it comes from.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Service  packet.ServiceID
	Flow     FlowID
	Number   uint32
	Upstream string
	State    uint64 // random number of the flow's state in the upstream
}

var errMessage = errors.New("standin: malformed message")

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the message types hold nothing that cannot be encoded
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
