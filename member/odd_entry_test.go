package member_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// encoded returns a CBOR encoding.
func encoded(v any) cbor.RawMessage {
	GinkgoHelper()
	b, err := cbor.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// recordFields returns the record of u9 as the generic elements of its encoding.
func recordFields() (fields []any) {
	GinkgoHelper()
	Expect(cbor.Unmarshal(encoded(newFleet(1).record("u9", "portal", "fd0")), &fields)).To(Succeed())
	return fields
}

// withField returns the encoded record of u9 with one field replaced.
func withField(i int, value any) cbor.RawMessage {
	GinkgoHelper()
	fields := recordFields()
	fields[i] = value
	return encoded(fields)
}

// Positions of fields in an encoded record.
const (
	fieldName, fieldRole, fieldEpoch, fieldVersion, fieldState = 0, 3, 5, 6, 7
	fieldData, fieldControl, fieldSlots                        = 8, 9, 11
)

// nested returns depth CBOR arrays of one element each.
func nested(depth int) cbor.RawMessage { return append(bytes.Repeat([]byte{0x81}, depth), 0x01) }

var _ = Describe("An odd record in a shard", func() {
	good := func(name string) cbor.RawMessage { return encoded(newFleet(1).record(name, "portal", "fd0")) }

	// Guards against one record of another writer that costs the other records of its shard.
	DescribeTable("does not cost the others", func(odd func() cbor.RawMessage) {
		value := encoded(map[int]any{1: 7, 2: []cbor.RawMessage{good("u1"), odd(), good("u2")}})
		records, err := member.DecodeShard(value)
		Expect(err).To(MatchError(ContainSubstring("1 of 3 records")))
		Expect(records).To(HaveExactElements(HaveField("Name", "u1"), HaveField("Name", "u2")))
	},
		Entry("text", func() cbor.RawMessage { return encoded("u9") }),
		Entry("null", func() cbor.RawMessage { return encoded(nil) }),
		Entry("a map", func() cbor.RawMessage { return encoded(map[string]any{"name": "u9"}) }),
		Entry("nested arrays", func() cbor.RawMessage { return nested(20) }),
		Entry("a missing field", func() cbor.RawMessage { return encoded(recordFields()[:10]) }),
		Entry("no name", func() cbor.RawMessage { return withField(fieldName, "") }),
		Entry("a name that is a number", func() cbor.RawMessage { return withField(fieldName, 9) }),
		Entry("a name that is not UTF-8", func() cbor.RawMessage { return withField(fieldName, cbor.RawMessage("\x61\xff")) }),
		Entry("an unknown role", func() cbor.RawMessage { return withField(fieldRole, 9) }),
		Entry("an unknown state", func() cbor.RawMessage { return withField(fieldState, 200) }),
		Entry("a negative epoch", func() cbor.RawMessage { return withField(fieldEpoch, -1) }),
		Entry("half an epoch", func() cbor.RawMessage { return withField(fieldEpoch, 0.5) }),
		Entry("an epoch of 1e400", func() cbor.RawMessage { return withField(fieldEpoch, math.Inf(1)) }),
		Entry("an epoch of 2^63", func() cbor.RawMessage { return withField(fieldEpoch, uint64(1)<<63) }),
		Entry("an epoch that leaves no room for later ones", func() cbor.RawMessage { return withField(fieldEpoch, uint64(1)<<62-1) }),
		Entry("a version that leaves no room for later ones", func() cbor.RawMessage { return withField(fieldVersion, uint64(1)<<62-1) }),
		Entry("a version of 2^64-1", func() cbor.RawMessage { return withField(fieldVersion, uint64(math.MaxUint64)) }),
		Entry("negative slots", func() cbor.RawMessage { return withField(fieldSlots, -1) }),
		Entry("no data address", func() cbor.RawMessage { return withField(fieldData, []byte{}) }),
		Entry("a data address with port 0", func() cbor.RawMessage { return withField(fieldData, []byte{10, 0, 0, 1, 0, 0}) }),
		Entry("no control address", func() cbor.RawMessage { return withField(fieldControl, []byte{}) }),
		Entry("a control address with port 0", func() cbor.RawMessage { return withField(fieldControl, []byte{10, 0, 0, 1, 0, 0}) }),
		Entry("a data address that is text", func() cbor.RawMessage { return withField(fieldData, "10.0.0.1:65536") }),
	)

	// Guards against a newer record of a process that an older one in the same shard replaces.
	It("does not replace the newer of two records of one process", func() {
		older, newer := newFleet(1).record("u1", "portal", "fd0"), newFleet(1).record("u1", "portal", "fd0")
		newer.Version, newer.State = 2, flow.Draining
		records, err := member.DecodeShard(encoded(map[int]any{2: []member.Record{newer, older}}))
		Expect(err).NotTo(HaveOccurred())
		c := newCollector("b1")
		c.node.Load(0, records)
		kept, _ := c.node.Table().Get("u1")
		Expect(kept.State).To(Equal(flow.Draining))
	})
})

var _ = Describe("A malformed shard", func() {
	// Guards against a domain whose shard is never written again, and against a process that ends
	// or uses more memory than it has.
	DescribeTable("is replaced by the collector", func(value func() []byte) {
		r := &fakeStore{keys: map[string]store.KV{}}
		r.txn(nil, []store.Op{{Key: member.ShardKey("fd0"), Value: value()}})
		c := newCollector("b1", "u1")
		c.elect(r, store.QualifyLease(0, 11))
		_, err := c.HandleShard(r.keys[member.ShardKey("fd0")])
		Expect(err).To(HaveOccurred())
		Expect(c.NeedsLoad()).To(BeFalse())
		c.mustWrite(r)
		Expect(r.names()).To(Equal([]string{"b1", "u1"}))
	},
		Entry("empty", func() []byte { return []byte{} }),
		Entry("text", func() []byte { return []byte("no shard") }),
		Entry("10,000 arrays", func() []byte { return nested(10_000) }),
		Entry("1,000,000 arrays", func() []byte { return nested(1_000_000) }),
		Entry("1,000,000 maps", func() []byte { return bytes.Repeat([]byte{0xa1, 0x01}, 1_000_000) }),
		Entry("an array of 2^32 elements", func() []byte { return []byte{0x9a, 0xff, 0xff, 0xff, 0xff} }),
		Entry("a string of 2^63-1 bytes", func() []byte { return []byte{0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff} }),
		Entry("records of another type", func() []byte { return encoded(map[int]any{1: 7, 2: "u1"}) }),
		Entry("truncated", func() []byte {
			whole := encoded(map[int]any{1: 7, 2: []member.Record{newFleet(1).record("u2", "portal", "fd0")}})
			return whole[:len(whole)-3]
		}),
		Entry("one odd record", func() []byte { return encoded(map[int]any{1: 7, 2: []any{"u2"}}) }),
	)
})

var _ = Describe("A record of this process with an extreme counter", func() {
	const limit = 1 << 62
	// Guards against a process that ends at its next change of state, and against one that others
	// take for failed for good because it cannot raise the counter.
	DescribeTable("is refuted, and the process continues", func(epoch, version uint64, earlier bool) {
		f := newFleet(1)
		for _, p := range []protocol{
			member.NewNode(member.Config{}, f.record("p", "", "fd0"), f.rng()),
			member.NewAnnouncer(member.Config{}, f.record("p", "portal", "fd0"), f.rng()),
		} {
			odd := p.Self()
			odd.Epoch, odd.Version, odd.State = epoch, version, flow.Failed
			if earlier {
				odd.Incarnation++
			}
			p.Handle(0, member.Message{Kind: member.KindPush, Records: []member.Record{odd}})
			for range 3 {
				p.SetState(0, flow.Draining)
				p.SetState(0, flow.Ready)
			}
			self := p.Self()
			Expect(self.State).To(Equal(flow.Ready))
			Expect(member.Compare(&self, &odd)).To(BeNumerically(">", 0))
			peer := member.NewTable()
			peer.Merge(odd)
			Expect(peer.Merge(self)).To(BeTrue())
		}
	},
		Entry("the last version of this run", uint64(1), uint64(limit-1), false),
		Entry("the last version but one of this run", uint64(1), uint64(limit-2), false),
		Entry("the last versions of an earlier run", uint64(1), uint64(limit-1), true),
		Entry("a high epoch of this run", uint64(limit-3), uint64(limit-1), false),
		Entry("a high epoch of an earlier run", uint64(limit-3), uint64(7), true),
	)

	// Guards against a process that ends where no counter is left to raise.
	DescribeTable("does not end the process", func(epoch, version uint64, earlier bool) {
		f := newFleet(1)
		n := member.NewNode(member.Config{}, f.record("p", "", "fd0"), f.rng())
		odd := n.Self()
		odd.Epoch, odd.Version = epoch, version
		if earlier {
			odd.Incarnation++
		}
		n.Load(0, []member.Record{odd})
		n.SetState(0, flow.Draining)
		n.SetState(0, flow.Ready)
		Expect(n.Self().State).To(Equal(flow.Ready))
	},
		Entry("last epoch", uint64(limit-1), uint64(1), true),
		Entry("last epoch but one", uint64(limit-2), uint64(1), true),
		Entry("last epoch and version of this run", uint64(limit-1), uint64(limit-1), false),
		Entry("last epoch, last version but one of this run", uint64(limit-1), uint64(limit-2), false),
		Entry("beyond the limit", uint64(limit), uint64(limit), true),
	)
})

// FuzzDecode guards against an entry or a message that makes a process panic.
func FuzzDecode(f *testing.F) {
	shard, _ := cbor.Marshal(map[int]any{1: 7, 2: []member.Record{newFleet(1).record("u1", "portal", "fd0")}})
	message, _ := member.Message{Kind: member.KindPush, Records: []member.Record{newFleet(1).record("u1", "portal", "fd0")},
		Changes: []member.Change{{ID: 1}}, Digests: []member.Digest{{}}, Want: []uint32{1}}.MarshalBinary()
	for _, seed := range [][]byte{shard, message, nested(10_000), {0x9a, 0xff, 0xff, 0xff, 0xff}, {0xa1, 0x01, 0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, value []byte) {
		n := newCollector("b1").node
		a := member.NewAnnouncer(member.Config{}, newFleet(1).record("u1", "portal", "fd0"), newFleet(1).rng())
		records, _ := member.DecodeShard(value)
		n.Load(0, records)
		var m member.Message
		if m.UnmarshalBinary(value) != nil {
			return
		}
		for at := range 3 * time.Second / (100 * time.Millisecond) {
			now := at * 100 * time.Millisecond
			n.Handle(now, m)
			a.Handle(now, m)
			for _, c := range append(n.Step(now), a.Step(now)...) {
				n.Reply(now, c, m)
				if c.Request.Kind == member.KindHeartbeat || c.Request.Name != "" {
					a.Reply(now, c, m)
				}
			}
			n.SetState(now, flow.State(at%2)+flow.Ready)
			a.SetState(now, flow.State(at%2)+flow.Ready)
		}
	})
}
