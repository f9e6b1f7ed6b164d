package soak

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/platform/standin"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// A bug in the oracle would hide violations of the guarantees. So its checks are tested with
// a violation and with the cases that they have to excuse, except for the checks of drains and
// of recovery.
var _ = Describe("The oracle", func() {
	var (
		now    time.Time
		result Result
		o      *oracle
		a, b   *standin.Server
		k      packet.Key
		to     = netip.MustParseAddrPort("127.9.4.1:8443")
	)
	BeforeEach(func() {
		now, result = time.Unix(1000, 0), Result{}
		o = newOracle(&result)
		o.clock = func() time.Time { return now }
		a = standin.NewServer(standin.ServerConfig{ID: "a", App: netip.MustParseAddrPort("127.9.2.1:1")})
		b = standin.NewServer(standin.ServerConfig{ID: "b", App: netip.MustParseAddrPort("127.9.2.2:1")})
		o.started(a)
		o.started(b)
		k = packet.KeyOf(netip.MustParseAddrPort("127.9.3.1:1025"), to, packet.ProtoTCP)
		o.Received(a, k)
	})

	It("reports a request that runs twice", func() {
		o.Executed(a, "c0u0-1")
		Expect(result.Violations).To(BeEmpty())
		o.Executed(b, "c0u0-1")
		Expect(result.Violations).To(HaveLen(1))
	})

	It("reports a reset of a flow whose server is alive", func() {
		o.Reset(k, b.Host())
		Expect(result.Violations).To(HaveLen(1))
		Expect(result.Judged).To(Equal(1))
	})

	It("excuses a reset when the server has ended, a VM involved has a fault, or the route is removed", func() {
		o.ended(a)
		o.Reset(k, b.Host())
		o.started(a)
		o.exempt(b.Host(), time.Second)
		o.Reset(k, b.Host())
		Expect(result.Excused).To(Equal(1))
		now = now.Add(time.Second + recoveryTime)
		o.setRoute(to, false)
		o.Reset(k, b.Host())
		Expect(result.Violations).To(BeEmpty())
		o.setRoute(to, true)
		o.Reset(k, b.Host())
		Expect(result.Violations).To(HaveLen(1))
	})

	It("reports packets of a flow that reach other servers while none reaches its own", func() {
		for range minMisdelivered {
			o.Misdelivered(b, k)
		}
		o.endMisdelivery(k, o.flows[k])
		Expect(result.Violations).To(HaveLen(1))
	})

	It("excuses misdelivered packets when one reaches the flow's own server, or when there are few", func() {
		for range minMisdelivered {
			o.Misdelivered(b, k)
		}
		o.Received(a, k)
		o.endMisdelivery(k, o.flows[k])
		o.Misdelivered(b, k)
		o.endMisdelivery(k, o.flows[k])
		Expect(result.Violations).To(BeEmpty())
	})

	It("reports a new flow on a removed route after the bound", func() {
		o.setRoute(to, false)
		now = now.Add(routeRemovalBound)
		o.FirstPacket(a, k)
		Expect(result.Violations).To(BeEmpty())
		now = now.Add(1)
		o.FirstPacket(a, k)
		Expect(result.Violations).To(HaveLen(1))
	})

	It("reports a new flow that is reset although its route was added", func() {
		o.setRoute(to, true)
		now = now.Add(configBound)
		o.newFlowReset(to)
		Expect(result.Violations).To(BeEmpty())
		now = now.Add(1)
		o.newFlowReset(to)
		Expect(result.Violations).To(HaveLen(1))
	})

	It("excuses route changes during a fault of the store", func() {
		o.setRoute(to, false)
		o.exemptRouteChanges(2 * routeRemovalBound)
		now = now.Add(2 * routeRemovalBound)
		o.FirstPacket(a, k)
		Expect(result.Violations).To(BeEmpty())
	})
})

var _ = Describe("The faults of a run", func() {
	It("are the same for the same seed", func() {
		draw := func() (names []string) {
			s := newSchedule(&Config{Seed: 7})
			for range 20 {
				f, _, _ := s.next()
				names = append(names, f.name)
			}
			return names
		}
		Expect(draw()).To(Equal(draw()))
	})
})
