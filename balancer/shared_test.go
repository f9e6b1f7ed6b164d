package balancer

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/finding"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/route"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// movedRoute returns a document with one route to impact-portal, in versions above 1 to evidence-intake.
func movedRoute(text []byte) (*route.Document, finding.List, error) {
	version, err := strconv.ParseInt(string(text), 10, 64)
	to := "impact-portal"
	if version > 1 {
		to = "evidence-intake"
	}
	return &route.Document{Version: version, Routes: []route.Route{{
		Name: "r1", Endpoint: flow.Endpoint{Addr: service, Proto: packet.ProtoTCP}, Targets: []route.Target{{Service: to, Weight: 1}},
	}}}, nil, err
}

var _ = Describe("A balancer whose route goes to another service", func() {
	// Guards against a packet of an open flow that reaches only the new service, which cannot find its
	// owner, and against one that is not marked, so that the new service finds the flow lost (review/2).
	It("sends packets of flows without a hint to both services, marked as shared", func() {
		t := &testBalancer{pipe: packetio.NewPipe(1)}
		clients := packetio.NewPipe(1)
		s := fake.NewStore(func() time.Duration { return t.now })
		cfg := settings.Balancer{Name: "b1", FailureDomain: "a", Readers: 1, HintEntries: 1024, Limits: settings.LimitsNone}
		t.Balancer = newBalancer(cfg, event.NewLogger(&t.log), func() time.Duration { return t.now })
		t.options = Options{Packets: datagrams{}, RoutesKey: "routes", DecodeRoutes: movedRoute}
		t.assemble(ports{data: t.pipe, dataAddr: dataAddr, clients: clients}, s, nil, t.lifecycle.Spawn)
		t.reader = t.newReader(clients)
		put := func(version string) {
			_, err := s.Txn(t.lifecycle.Context(), nil, []store.Op{{Key: "routes", Value: []byte(version)}})
			Expect(err).NotTo(HaveOccurred())
		}
		put("1")
		u1, u2 := upstreamRecord("u1", "127.0.0.1:7101"), upstreamRecord("u2", "127.0.0.1:7102")
		u2.Service, u2.Endpoints = "evidence-intake", nil
		t.members.Do(func(now time.Duration, n *member.Node) { n.Load(now, []member.Record{u1, u2}) })
		install := func() {
			Expect(t.routes.Refresh(t.lifecycle.Context())).To(Succeed())
			t.refreshView()
		}
		packetOf := func(flags uint8) []byte {
			return packet.AppendTCP(nil, &packet.TCPSegment{Key: packet.KeyOf(client, service, packet.ProtoTCP), Flags: flags})
		}
		install()
		Expect(t.handle(packetOf(packet.FlagACK))).To(HaveLen(1))
		put("2")
		install()
		for range 2 {
			sent := t.handle(packetOf(packet.FlagACK))
			Expect(sent).To(HaveLen(2))
			to := map[packet.ServiceID]string{}
			for _, d := range sent {
				h, rest, err := packet.ReadHeader(d.Data)
				Expect(err).NotTo(HaveOccurred())
				Expect(h.Flags & packet.FlagShared).NotTo(BeZero())
				Expect(rest).To(Equal(packetOf(packet.FlagACK)))
				to[h.Service] = d.To.String()
			}
			Expect(to).To(Equal(map[packet.ServiceID]string{
				packet.ServiceIDOf("impact-portal"): "127.0.0.1:7101", packet.ServiceIDOf("evidence-intake"): "127.0.0.1:7102",
			}))
		}
		syn := t.handle(packetOf(packet.FlagSYN))
		Expect(syn).To(HaveLen(1))
		Expect(syn[0].To.String()).To(Equal("127.0.0.1:7102"))
	})
})
