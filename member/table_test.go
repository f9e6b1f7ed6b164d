package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

func drawRecord(t *rapid.T) member.Record {
	small := rapid.Uint64Range(0, 2)
	name := fmt.Sprintf("p%d", rapid.IntRange(0, 40).Draw(t, "name"))
	return member.Record{
		Name: name, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), FailureDomain: "fd0",
		Role:        member.Role(rapid.IntRange(0, 1).Draw(t, "role")),
		Incarnation: small.Draw(t, "incarnation"), Epoch: small.Draw(t, "epoch"), Version: small.Draw(t, "version"),
		State:   flow.State(rapid.IntRange(0, 4).Draw(t, "state")),
		Control: control(name), Data: control(name),
	}
}

func tableOf(records []member.Record) *member.Table {
	t := member.NewTable()
	for _, r := range records {
		t.Merge(r)
	}
	return t
}

// Guards against tables whose content or digest depends on the order in which records
// were merged or on duplicates.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(drawRecord)).Draw(t, "records")
		one := tableOf(records)
		two := tableOf(rapid.Permutation(append(records, records...)).Draw(t, "permutation"))
		g := NewWithT(t)
		g.Expect(two.Records()).To(Equal(one.Records()))
		g.Expect(two.Digest()).To(Equal(one.Digest()))
		g.Expect(two.View()).To(Equal(one.View()))
		g.Expect(two.Balancers()).To(Equal(one.Balancers()))
	})
}

// Guards against differences between two tables that their digests or deltas miss.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOf(rapid.Custom(drawRecord))
		one, two := tableOf(draw.Draw(t, "one")), tableOf(draw.Draw(t, "two"))
		fromTwo, fromOne := two.Delta(one.Digest()), one.Delta(two.Digest())
		for _, r := range fromTwo {
			one.Merge(r)
		}
		for _, r := range fromOne {
			two.Merge(r)
		}
		g := NewWithT(t)
		g.Expect(two.Records()).To(Equal(one.Records()))
		g.Expect(two.Delta(one.Digest())).To(BeEmpty())
	})
}

// Guards against panics and unbounded work on messages that a correct process does not
// send.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m member.Message
		if b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"); m.UnmarshalBinary(b) != nil {
			m = member.Message{}
		}
		m.Kind = member.Kind(rapid.Uint8Range(0, 12).Draw(t, "kind"))
		m.Want = rapid.SliceOfN(rapid.Uint32(), 0, 5).Draw(t, "want")
		m.Digests = []member.Digest{{Part: rapid.Uint32Range(0, 6<<16).Draw(t, "part")}}
		m.Records = rapid.SliceOfN(rapid.Custom(drawRecord), 0, 5).Draw(t, "records")
		m.Changes = []member.Change{{ID: rapid.Uint64().Draw(t, "change"), State: 200}, {ID: xxhash.Sum64String("p1"), Version: 1 << 63}}
		// Records under the receivers' own names are refuted instead of merged.
		m.Records = append(m.Records, member.Record{Name: "p1", Epoch: 1}, member.Record{Name: "p2", Epoch: 1})
		for i := range m.Records {
			m.Records[i].Version = rapid.SampledFrom([]uint64{0, 1, 1<<62 - 1, 1<<64 - 1}).Draw(t, "version")
			m.Records[i].Epoch = rapid.SampledFrom([]uint64{0, 1, 1<<62 - 1, 1<<64 - 1}).Draw(t, "epoch")
			m.Records[i].State += flow.State(rapid.IntRange(0, 200).Draw(t, "state"))
		}
		f := newFleet(1)
		n := member.NewNode(member.Config{}, f.record("p1", "", "fd0"), rand.New(rand.NewPCG(1, 1)))
		a := member.NewAnnouncer(member.Config{}, f.record("p2", "a", "fd0"), rand.New(rand.NewPCG(1, 1)))
		for _, p := range []protocol{n, a} {
			p.Handle(1, m)
			p.Reply(2, member.Call{Request: m}, m)
			p.Unreachable(3, member.Call{Request: m})
			p.Step(4)
		}
	})
}

// Guards against message fields that are lost in encoding.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := member.Message{
			Kind: member.KindDigest, From: control("b1"), Revision: rapid.Int64().Draw(t, "revision"),
			Records: rapid.SliceOfN(rapid.Custom(drawRecord), 1, 3).Draw(t, "records"),
			ID:      rapid.Uint64().Draw(t, "id"), Sum: 1, Members: 2, HomeSum: 3, Resend: true,
			Digests: []member.Digest{{Part: 1 << 16, Sums: [16]uint32{7, 15: 9}}}, Want: []uint32{4},
			Changes: []member.Change{{ID: 1, Epoch: 2, Version: 3, State: 4, Sum: 5}},
			Name:    "u1", Target: control("u1"), Alive: true, Observers: []string{"b1"},
		}
		sent.Records[0].Endpoints = newFleet(1).record("x", "", "").Endpoints
		b, err := sent.MarshalBinary()
		var got member.Message
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.UnmarshalBinary(b)).To(Succeed())
		g.Expect(got).To(Equal(sent))
	})
}

var _ = Describe("a view", func() {
	f := newFleet(1)

	It("is ordered by name and rebuilt only after a change", func() {
		t := tableOf([]member.Record{f.record("u2", "b", ""), f.record("u9", "a", ""), f.record("u1", "b", "")})
		v := t.View()
		Expect(t.View()).To(BeIdenticalTo(v))
		Expect(v.Services).To(HaveLen(2))
		Expect(v.Services[0].Name).To(Equal("a"))
		Expect(v.Services[1].Upstreams[0].Name).To(Equal("u1"))
		Expect(v.Services[1].Endpoints).To(HaveLen(1))
		Expect(t.Merge(f.record("u2", "b", ""))).To(BeFalse())
		Expect(t.View()).To(BeIdenticalTo(v))
		changed := f.record("u2", "b", "")
		changed.Version, changed.State = 2, flow.Draining
		Expect(t.Merge(changed)).To(BeTrue())
		Expect(t.View().Services[1].Upstreams[1].State).To(Equal(flow.Draining))
		Expect(v.Services[1].Upstreams[1].State).To(Equal(flow.Ready), "an existing view was modified")
	})

	It("moves an upstream whose service has changed", func() {
		t := tableOf([]member.Record{f.record("u1", "a", "")})
		moved := f.record("u1", "b", "")
		moved.Epoch = 2
		t.Merge(moved)
		Expect(t.View().Services).To(HaveLen(1))
		Expect(t.View().Services[0].Name).To(Equal("b"))
	})

	It("reports two names of a service with the same AgentID and contains only the first", func() {
		names := make(map[packet.AgentID]string)
		var pair []string
		for i := 0; pair == nil; i++ {
			name := fmt.Sprintf("vm-%d", i)
			id := packet.AgentIDOf(name)
			if other, taken := names[id]; taken {
				pair = []string{other, name}
			}
			names[id] = name
		}
		slices.Sort(pair)
		t := tableOf([]member.Record{f.record(pair[1], "a", ""), f.record(pair[0], "a", ""), f.record("u1", "a", "")})
		Expect(t.Conflicts()).To(Equal([]member.Conflict{
			{Service: "a", Kept: pair[0], Hidden: pair[1], ID: packet.AgentIDOf(pair[0])}}))
		Expect(t.View().Services[0].Upstreams).To(HaveLen(2))
		Expect(t.ServiceMembers("a")).To(HaveLen(3))
	})
})

// Guards against open flows that are not looked for at an upstream which is only suspected to have failed.
func TestServiceKeepsTheEndpointsOfUpstreamsMarkedAsFailed(t *testing.T) {
	g := NewWithT(t)
	table := member.NewTable()
	e := flow.Endpoint{Addr: netip.MustParseAddrPort("192.0.2.1:443"), Proto: 6}
	own := flow.Endpoint{Addr: netip.MustParseAddrPort("192.0.2.2:443"), Proto: 6}
	table.Merge(member.Record{Name: "u1", Service: "s", Incarnation: 1, Version: 1, State: flow.Failed, Endpoints: []flow.Endpoint{e}})
	table.Merge(member.Record{Name: "u2", Service: "s", Incarnation: 1, Version: 1, State: flow.Ready, Endpoints: []flow.Endpoint{own}})
	g.Expect(table.View().Services[0].Endpoints).To(ConsistOf(e, own))
	table.Merge(member.Record{Name: "u1", Service: "s", Incarnation: 1, Version: 2, State: flow.Leaving, Endpoints: []flow.Endpoint{e}})
	g.Expect(table.View().Services[0].Endpoints).To(ConsistOf(own))
}
