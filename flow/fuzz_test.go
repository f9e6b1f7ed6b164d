package flow

import (
	"testing"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// FuzzReceive guards against a panic, an unlimited path or a delivery to another service when
// a datagram from the network contains a hostile header.
func FuzzReceive(f *testing.F) {
	k := key(1, packet.ProtoTCP)
	for _, h := range []packet.Header{
		{Kind: packet.KindData, Service: testService},
		{Kind: packet.KindData, Service: testService, Hops: 2, Flags: packet.FlagReturnIfUnknown, Visited: [4]packet.AgentID{packet.AgentIDOf("b"), 5}},
	} {
		b := make([]byte, packet.HeaderSize)
		h.Put(b)
		f.Add(packet.AppendTCP(b, &packet.TCPSegment{Key: k, Flags: packet.FlagSYN}), uint8(1))
	}
	f.Fuzz(func(t *testing.T, b []byte, states uint8) {
		h, rest, err := packet.ReadHeader(b)
		var in packet.Info
		if err != nil || packet.Parse(rest, &in) != nil {
			return
		}
		r := newRig(4, TableConfig{})
		for i, u := range r.list {
			r.setState(u.Name, State(states>>(2*i)&3))
		}
		r.announce()
		id := r.list[0].ID
		for hops := 0; ; hops++ {
			a := r.agents[id].Receive(time.Second, &h, &in)
			if a.Kind == Deliver && h.Service != testService || hops > packet.MaxHops {
				t.Fatalf("header %+v: action %+v after %d hops", h, a, hops)
			}
			if a.Kind != Forward {
				return
			}
			id = a.To
		}
	})
}

// FuzzHandle guards against a panic or unbounded state on messages that do not
// follow the digest protocol.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := newRig(3, TableConfig{MaxDigest: 20})
		to, from := r.agents[r.list[0].ID], r.list[1].ID
		for i := 0; i+3 <= len(b); i += 3 {
			fp := uint32(b[i+1] & 7)
			m := Message{From: from, To: to.self.ID, Seq: uint32(b[i+2]), Reset: b[i]&1 != 0, Check: b[i]&2 != 0,
				Resync: b[i]&4 != 0, HasLoad: b[i]&8 != 0, Incarnation: uint64(b[i] >> 7)}
			if b[i]&16 != 0 {
				m.Add = []uint32{fp, fp + 1}
			}
			if b[i]&32 != 0 {
				m.Remove = []uint32{fp}
			}
			to.Handle(0, m)
			if to.digestRoom() < 0 {
				t.Fatalf("digest exceeds its limit by %d", -to.digestRoom())
			}
			to.Step(time.Duration(i) * time.Second)
		}
		to.inbox(from).clear()
		if to.filter != (digestFilter{}) {
			t.Fatal("the filter is not empty without digests")
		}
	})
}
