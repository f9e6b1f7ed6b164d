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

// wireSize computes the size of a call of net/rpc by encoding it. Type
// descriptions, which gob sends once for each connection, are left out.
type wireSize struct {
	n   int
	enc *gob.Encoder
	seq uint64
}

// Write counts bytes.
func (s *wireSize) Write(b []byte) (int, error) {
	s.n += len(b)
	return len(b), nil
}

func newWireSize() *wireSize {
	s := &wireSize{}
	s.enc = gob.NewEncoder(s)
	s.message(&flow.Message{}) // sends the type descriptions
	return s
}

// message returns the bytes of one message with its call and the empty response.
func (s *wireSize) message(m *flow.Message) int {
	s.n = 0
	s.seq++
	for _, v := range []any{
		&rpc.Request{ServiceMethod: "Flow.Send", Seq: s.seq}, m,
		&rpc.Response{ServiceMethod: "Flow.Send", Seq: s.seq}, struct{ OK bool }{true},
	} {
		if err := s.enc.Encode(v); err != nil {
			panic("bench: message is not gob-encodable: " + err.Error())
		}
	}
	return s.n + tcpIPHeaders
}

// hintSize returns the bytes of a hint for a flow on the wire.
func hintSize(k *packet.Key) int {
	var b [packet.HintSize]byte
	return packet.PutHint(b[:], 1, k, 1) + udpIPHeaders
}
