package balancer

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/store"
)

func TestBalancer(t *testing.T) { spec.Run(t, "balancer") }

var (
	service  = netip.MustParseAddrPort("10.96.0.1:80")
	client   = netip.MustParseAddrPort("10.0.0.7:40000")
	dataAddr = netip.MustParseAddrPort("127.0.0.1:7000")
)

func upstreamRecord(name, data string) member.Record {
	return member.Record{
		Name: name, Service: "impact-portal", FailureDomain: "a", Incarnation: 1, State: flow.Ready,
		Data:      netip.MustParseAddrPort(data),
		Control:   netip.MustParseAddrPort(data),
		Endpoints: []flow.Endpoint{{Addr: service, Proto: packet.ProtoTCP}},
	}
}

// testBalancer is a balancer with an in-memory socket and a clock set by the test.
type testBalancer struct {
	*Balancer
	now    time.Duration
	log    bytes.Buffer
	pipe   *packetio.Pipe
	reader *reader
	// customer and refusal are the result of the customer lookup for every source.
	customer uint64
	refusal  flow.Reason
}

func newTestBalancer(records ...member.Record) *testBalancer {
	return newStoreBalancer("b1", nil, records...)
}

// newStoreBalancer returns a balancer with the given store; nil means no store.
func newStoreBalancer(name string, s store.Store, records ...member.Record) *testBalancer {
	t := &testBalancer{pipe: packetio.NewPipe(1)}
	control := netip.AddrPortFrom(dataAddr.Addr(), 7900+uint16(name[len(name)-1]))
	cfg := settings.Balancer{Name: name, FailureDomain: "a", ControlAdvertise: control, Readers: 2, HintEntries: 4096}
	t.Balancer = newBalancer(cfg, event.NewLogger(&t.log), func() time.Duration { return t.now })
	t.assemble(ports{data: t.pipe, dataAddr: dataAddr}, s, nil, t.lifecycle.Spawn)
	t.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, records) })
	t.refreshView()
	t.reader = t.newReader(t.pipe)
	t.reader.customer = func(*[16]byte) (uint64, flow.Reason) { return t.customer, t.refusal }
	t.customer = 7
	return t
}

// handle passes datagrams through the packet path and returns the datagrams sent.
func (t *testBalancer) handle(datagrams ...[]byte) []packetio.Datagram {
	t.reader.in.Reset()
	for _, d := range datagrams {
		Expect(t.reader.in.Put(d)).To(BeTrue())
	}
	t.reader.handle()
	return t.pipe.Sent()
}

func syn(from netip.AddrPort) []byte {
	key := packet.KeyOf(from, service, packet.ProtoTCP)
	return packet.AppendTCP(nil, &packet.TCPSegment{Key: key, Flags: packet.FlagSYN})
}

var _ = Describe("A balancer that is the arbiter", func() {
	// Guards against a mark as failed by mistake that no line explains.
	It("logs whom it marks as failed and which balancers could not reach it", func() {
		b := newTestBalancer(upstreamRecord("u1", "127.0.0.1:7101"), upstreamRecord("u2", "127.0.0.1:7102"))
		var u1 member.Record
		b.members.Do(func(_ time.Duration, n *member.Node) { u1, _ = n.Table().Get("u1") })
		b.members.Handle(member.Message{Kind: member.KindClaim, From: client, Name: "u1", Records: []member.Record{u1},
			Observers: []string{"10.0.0.1:7900", "10.0.0.2:7900"}})
		b.logVerdicts()
		b.refreshView()
		Expect(b.log.String()).To(MatchRegexp(`event=1203 .*process=u1 service=impact-portal state=ready observers="10.0.0.1:7900 10.0.0.2:7900" claimed_by=10.0.0.7:40000 silent_seconds=unknown\n`))
		Expect(b.log.String()).To(MatchRegexp(`event=1200 .*upstream=u1 service=impact-portal state=failed was=ready\n`))
	})
})

var _ = Describe("The packet path", func() {
	u1, u2 := upstreamRecord("u1", "127.0.0.1:7101"), upstreamRecord("u2", "127.0.0.1:7102")

	// Guards against modified packets, and against headers with a wrong service, origin or
	// customer.
	It("sends the packet unchanged with an encapsulation header", func() {
		sent := newTestBalancer(u1).handle(syn(client))
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].To).To(Equal(u1.Data))
		h, rest, err := packet.ReadHeader(sent[0].Data)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(Equal(syn(client)))
		Expect(h.Kind).To(Equal(packet.KindData))
		Expect(h.Service).To(Equal(packet.ServiceIDOf("impact-portal")))
		Expect(h.Origin).To(Equal(dataAddr))
		Expect(h.Customer).To(BeEquivalentTo(7))
	})

	// Guards against accepting new flows of sources without a customer, and against
	// interrupting open flows after an edit of the lists or without lists.
	It("refuses only new flows of sources without a customer", func() {
		b := newTestBalancer(u1)
		ack := packet.AppendTCP(nil, &packet.TCPSegment{
			Key: packet.KeyOf(client, service, packet.ProtoTCP), Flags: packet.FlagACK})
		Expect(b.handle(syn(client))).To(HaveLen(1))
		b.customer = 0
		for _, reason := range []flow.Reason{flow.ReasonNoCustomer, flow.ReasonNoLists} {
			b.refusal = reason
			Expect(b.handle(syn(client), ack)).To(HaveLen(1))
			Expect(b.counters.dropped[reason].Count()).To(BeEquivalentTo(1))
		}
	})

	// Guards against hints that are ignored or stored for another flow.
	It("routes flows by the hints of agents", func() {
		b := newTestBalancer(u1, u2)
		for port := uint16(1); port <= 200; port++ {
			from := netip.AddrPortFrom(client.Addr(), port)
			other := u1
			if b.handle(syn(from))[0].To == u1.Data {
				other = u2
			}
			key := packet.KeyOf(from, service, packet.ProtoTCP)
			hint := make([]byte, packet.HintSize)
			packet.PutHint(hint, packet.ServiceIDOf("impact-portal"), &key, packet.AgentIDOf(other.Name))
			Expect(b.handle(hint)).To(BeEmpty())
			Expect(b.handle(syn(from))[0].To).To(Equal(other.Data))
		}
	})

	// Guards against a hint about a waiting flow that is read as one about an open flow.
	It("learns from a hint with packet.FlagWaiting where a flow waits", func() {
		b := newTestBalancer(u1, u2)
		key := packet.KeyOf(client, service, packet.ProtoTCP)
		late := packet.Info{Key: key, First: true, Numbered: true, Repeat: 2}
		var elsewhere packet.AgentID
		b.router.do(func(now time.Duration, r *flow.Router) { elsewhere = r.Route(now, &late).Agent })
		waitsAt := packet.AgentIDOf(u1.Name)
		if elsewhere == waitsAt {
			waitsAt = packet.AgentIDOf(u2.Name)
		}
		hint := make([]byte, packet.HintSize)
		packet.PutWaitingHint(hint, packet.ServiceIDOf("impact-portal"), &key, waitsAt)
		Expect(b.handle(hint)).To(BeEmpty())
		b.router.do(func(now time.Duration, r *flow.Router) { Expect(r.Route(now, &late).Agent).To(Equal(waitsAt)) })
	})

	// Guards against forwarding packets that only upstreams send. The receiving upstream
	// would treat them as forged.
	It("drops packets that no client can have sent", func() {
		b := newTestBalancer(u1)
		key := packet.KeyOf(client, service, packet.ProtoTCP)
		answer := packet.AppendTCP(nil, &packet.TCPSegment{Key: key, Flags: packet.FlagSYN | packet.FlagACK})
		Expect(b.handle(answer)).To(BeEmpty())
		Expect(b.counters.malformed.Count()).To(BeEquivalentTo(1))
		Expect(fromClient(&packet.Info{Flags: packet.FlagACK})).To(BeTrue())
		Expect(fromClient(&packet.Info{Flags: packet.FlagACK, Returned: true})).To(BeFalse())
	})

	// Guards against malformed packets, or packets to unknown addresses, that are forwarded
	// or stop the reader.
	It("counts and drops packets that it cannot route", func() {
		b := newTestBalancer(u1)
		foreign := packet.KeyOf(client, netip.MustParseAddrPort("10.96.0.9:80"), packet.ProtoTCP)
		sent := b.handle(nil, []byte{0x45}, []byte{1}, []byte{1, 2, 3},
			packet.AppendTCP(nil, &packet.TCPSegment{Key: foreign, Flags: packet.FlagSYN}), syn(client))
		Expect(sent).To(HaveLen(1))
		Expect(b.counters.malformed.Count()).To(BeEquivalentTo(4))
		Expect(b.counters.dropped[flow.ReasonNoService].Count()).To(BeEquivalentTo(1))
	})

	// Guards against a change of the membership that is not installed in the router.
	It("sends to the current first choice", func() {
		b := newTestBalancer(u1)
		gone := u1
		gone.State, gone.Version = flow.Leaving, 1
		b.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, []member.Record{gone, u2}) })
		b.refreshView()
		Expect(b.handle(syn(client))[0].To).To(Equal(u2.Data))
	})

	// Guards against state changes that are missing in the log, and against logging all
	// upstreams after the change of one.
	It("logs each change of an upstream once", func() {
		other := upstreamRecord("x1", "127.0.0.1:7103")
		other.Service = "evidence-intake"
		b := newTestBalancer(u1, u2, other)
		Expect(strings.Count(b.log.String(), "event=1200")).To(Equal(3))
		b.log.Reset()
		draining := u2
		draining.State, draining.Version = flow.Draining, 1
		b.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, []member.Record{draining}) })
		b.refreshView()
		b.refreshView()
		Expect(strings.Count(b.log.String(), "event=1200")).To(Equal(1))
		Expect(b.log.String()).To(ContainSubstring("upstream=u2 service=impact-portal state=draining"))
		b.log.Reset()
		b.logChanges(b.view(), &flow.View{})
		Expect(strings.Count(b.log.String(), "state=removed")).To(Equal(3))
	})
})

var _ = Describe("The health endpoint", func() {
	status := func(b *testBalancer) int {
		w := httptest.NewRecorder()
		b.health.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}

	// Guards against a balancer that becomes ready before it knows the fleet, and against
	// a balancer that never becomes ready in a deployment without upstreams.
	It("is ready once the view is stable or the start timeout has passed", func() {
		b := newTestBalancer(upstreamRecord("u1", "127.0.0.1:7101"))
		Expect(status(b)).To(Equal(http.StatusServiceUnavailable))
		b.now = viewStableTime
		b.refreshView()
		Expect(status(b)).To(Equal(http.StatusOK))

		empty := newTestBalancer()
		empty.now = startTimeout - 1
		empty.refreshView()
		Expect(status(empty)).To(Equal(http.StatusServiceUnavailable))
		empty.now = startTimeout
		empty.refreshView()
		Expect(status(empty)).To(Equal(http.StatusOK))
	})

	// Guards against a draining balancer that becomes ready again in a later step.
	It("stays draining", func() {
		b := newTestBalancer()
		b.health.drain()
		b.now = startTimeout
		b.refreshView()
		Expect(status(b)).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("A balancer process", func() {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	cfg := settings.Balancer{
		Name: "b1", FailureDomain: "a", Readers: 2, HintEntries: 1024,
		DataAddress: loopback, ControlListen: loopback, HealthAddress: loopback,
		PacketIO: settings.PacketIO{Mode: settings.ModeUDP},
	}

	// Guards against goroutines and sockets that outlive a graceful shutdown.
	It("releases all resources when it stops", func() {
		defer goleak.VerifyNone(GinkgoT(), goleak.IgnoreCurrent())
		b := New(cfg, Options{}, event.NewLogger(io.Discard))
		Expect(b.Start()).To(Succeed())
		b.Shutdown()
		b.Shutdown()
		<-b.Done()
		Expect(b.Err()).NotTo(HaveOccurred())
	})

	// Guards against sockets that stay open after a later one could not be opened.
	It("leaves no socket open if one address is in use", func() {
		defer goleak.VerifyNone(GinkgoT(), goleak.IgnoreCurrent())
		first := New(cfg, Options{}, event.NewLogger(io.Discard))
		Expect(first.Start()).To(Succeed())
		taken := cfg
		taken.HealthAddress = netip.MustParseAddrPort(first.ports.health.Addr().String())
		Expect(New(taken, Options{}, event.NewLogger(io.Discard)).Start()).NotTo(Succeed())
		first.Shutdown()
		<-first.Done()
	})
})
