package bench

import (
	"encoding/gob"
	"net/rpc"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

const (
	// tcpIPHeaders is the size of the TCP and IPv4 headers of one request and
	// one response packet, without options.
	tcpIPHeaders = 2 * 40
	// udpIPHeaders is the size of the IPv4 and UDP headers of a hint.
	udpIPHeaders = 28
)

// callSize computes the size of calls of one RPC method: their gob encoding and the TCP and
// IP headers of one request and one response packet. The type descriptions, which gob sends
// once for each connection, are not included.
type callSize struct {
	method string
	n      int
	enc    *gob.Encoder
	seq    uint64
}

// newCallSize returns a callSize for a method whose arguments and replies have the types of
// the given samples.
func newCallSize(method string, arguments, reply any) *callSize {
	s := &callSize{method: method}
	s.enc = gob.NewEncoder(s)
	s.bytes(arguments, reply)
	return s
}

// Write implements io.Writer for the encoder. It only counts the bytes.
func (s *callSize) Write(b []byte) (int, error) {
	s.n += len(b)
	return len(b), nil
}

// bytes returns the size of one call.
func (s *callSize) bytes(arguments, reply any) int {
	s.n = 0
	s.seq++
	for _, v := range []any{
		&rpc.Request{ServiceMethod: s.method, Seq: s.seq}, arguments,
		&rpc.Response{ServiceMethod: s.method, Seq: s.seq}, reply,
	} {
		if err := s.enc.Encode(v); err != nil {
			panic("bench: " + s.method + " is not gob-encodable: " + err.Error())
		}
	}
	return s.n + tcpIPHeaders
}

// wireSize computes the size of messages between agents.
type wireSize struct {
	call *callSize
}

func newWireSize() *wireSize {
	return &wireSize{call: newCallSize("Flow.Send", &flow.Message{}, struct{ OK bool }{true})}
}

// message returns the size of a call with one message, including its response.
func (s *wireSize) message(m *flow.Message) int {
	return s.call.bytes(m, struct{ OK bool }{true})
}

// hintSize returns the size of a hint for a flow, including its IP and UDP headers.
func hintSize(k *packet.Key) int {
	var b [packet.HintSize]byte
	return packet.PutHint(b[:], 1, k, 1) + udpIPHeaders
}
