package packet_test

import (
	"testing"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// FuzzParse guards against panics on hostile input and against a flow key that changes
// when a packet is built from it and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(tcp(client4, service4, packet.FlagSYN, "hello"))
	f.Add(tcp(client6, service6, packet.FlagACK, ""))
	f.Add(icmpError(client4, service4, packet.ProtoICMP, 3, tcp(service4, client4, packet.FlagACK, "")))
	f.Fuzz(func(t *testing.T, b []byte) {
		var in, again packet.Info
		if packet.Parse(b, &in) != nil {
			return
		}
		if in.Key.Proto != packet.ProtoTCP && in.Key.Proto != packet.ProtoUDP {
			t.Fatalf("flow of protocol %d", in.Key.Proto)
		}
		built := packet.AppendUDP(nil, &in.Key, nil)
		if in.Key.Proto == packet.ProtoTCP {
			built = packet.AppendTCP(nil, &packet.TCPSegment{Key: in.Key})
		}
		if err := packet.Parse(built, &again); err != nil || again.Key != in.Key {
			t.Fatalf("key %+v became %+v, %v", in.Key, again.Key, err)
		}
	})
}

// FuzzReadHeader guards against panics on hostile datagrams and against a header
// that changes when it is encoded and decoded again.
func FuzzReadHeader(f *testing.F) {
	var b [packet.HeaderSize]byte
	(&packet.Header{Kind: packet.KindData, Hops: 1, Visited: [4]packet.AgentID{9}}).Put(b[:])
	f.Add(b[:])
	var hint [packet.HintSize]byte
	k := packet.KeyOf(client4, service4, packet.ProtoTCP)
	f.Add(hint[:packet.PutHint(hint[:], 3, &k, 4)])
	f.Add(packet.AppendInquiry(nil, 3, &packet.Inquiry{From: 4, Number: 5, Flows: []uint64{6, 7}}))
	f.Add(packet.AppendAnswer(nil, 3, &packet.InquiryAnswer{From: 4, Number: 5, Statuses: []packet.FlowStatus{packet.Held}, Peers: []packet.AgentID{8}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, rest, err := packet.ReadHeader(b)
		if err != nil {
			return
		}
		switch h.Kind {
		case packet.KindHint:
			_, _, _ = packet.ReadHint(rest)
			return
		case packet.KindInquiry:
			if q, err := packet.ReadInquiry(rest); err == nil && len(packet.AppendInquiry(nil, h.Service, &q)) > len(b) {
				t.Fatalf("inquiry %+v grew", q)
			}
			return
		case packet.KindAnswer:
			if a, err := packet.ReadAnswer(rest); err == nil && len(packet.AppendAnswer(nil, h.Service, &a)) > len(b) {
				t.Fatalf("answer %+v grew", a)
			}
			return
		}
		var out [packet.HeaderSize]byte
		h.Put(out[:])
		if again, _, err := packet.ReadHeader(out[:]); err != nil || again != h {
			t.Fatalf("header %+v became %+v, %v", h, again, err)
		}
	})
}
