package agent

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/packetio"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/upstream"
)

// upstreamVM is a VM with an upstream that announces itself to its agent, and a balancer
// that is the agent's home.
type upstreamVM struct {
	now      time.Duration
	balancer *member.Node
	down     bool // the balancer does not answer
	lost     int  // number of the next calls to the balancer that are lost
	agent    *Agent
	address  netip.AddrPort // of the upstream
	excess   float64        // settings.Agent.WarmupExcess
	warmup   time.Duration  // in announcements; 0: a second
	log      io.Writer      // nil: none
}

// datagrams stands for a datagram format; no packet passes it.
type datagrams struct{ packet.Datagram }

const announcementInterval = time.Second

func newUpstreamVM() *upstreamVM {
	v := &upstreamVM{address: sinkAddr}
	v.startBalancer()
	return v
}

// startBalancer starts a balancer without records.
func (v *upstreamVM) startBalancer() {
	v.balancer = member.NewNode(member.Config{}, member.Record{Name: "b1", FailureDomain: "a", State: flow.Ready, Control: seed},
		rand.New(rand.NewPCG(1, 2)))
}

func (v *upstreamVM) Call(_ context.Context, to netip.AddrPort, _ string, args, reply any) error {
	m, isMember := args.(*member.Message)
	if !isMember || to != seed || v.down {
		return errors.New("unreachable")
	}
	if v.lost > 0 {
		v.lost--
		return errors.New("lost")
	}
	*reply.(*member.Message) = v.balancer.Handle(v.now, *m)
	return nil
}

// wall returns the time of day of the VM at a virtual time.
func wall(at time.Duration) time.Time { return time.UnixMilli(1_700_000_000_000).Add(at) }

// startAgent starts an agent process. clockAhead is by how much the time of day is ahead.
func (v *upstreamVM) startAgent(clockAhead time.Duration) {
	cfg := settings.Agent{
		Name: "u1", FailureDomain: "a", ControlAdvertise: netip.AddrPortFrom(origin.Addr(), 8001), Seeds: []netip.AddrPort{seed},
		Service:             settings.Service{Name: "impact-portal", Connections: 1000},
		UpstreamSinkAddress: v.address, ReplyAddress: replyAddr, HeartbeatSeconds: settings.Seconds(announcementInterval.Seconds()),
		Limits: settings.LimitsNone, SettlingSeconds: 15, RebuildSeconds: 20, WarmupExcess: v.excess,
	}
	if v.log == nil {
		v.log = io.Discard
	}
	options := Options{Packets: datagrams{}, UpstreamAPI: func(AnnouncementHandler) http.Handler { return http.NotFoundHandler() }}
	v.agent = newAgent(cfg, options, event.NewLogger(v.log), func() time.Duration { return v.now })
	v.agent.startedAt = wall(v.now + clockAhead)
	p := ports{data: packetio.NewPipe(1), dataAddr: netip.AddrPortFrom(origin.Addr(), 9001), upstream: packetio.NewPipe(1), replies: packetio.NewPipe(1)}
	v.agent.assemble(p, v, func(f func()) { f() })
	v.agent.flows.do(func(now time.Duration, t *flow.Table) { t.StartRebuild(now) })
}

// announce sends an announcement of the upstream that was started at the virtual time born.
func (v *upstreamVM) announce(born time.Duration, sequence int64) {
	Expect(v.agent.monitor.Announced(upstream.Announcement{ID: "i-1", Born: wall(born).UnixMilli(), Sequence: sequence,
		Service: "impact-portal", Address: v.address, Slots: 5, Warmup: cmp.Or(v.warmup, time.Second)})).To(Succeed())
}

func (v *upstreamVM) run(d time.Duration) {
	for end := v.now + d; v.now < end; v.now += stepInterval {
		v.agent.step()
		v.agent.lifecycle.Wait() // for a check of the upstream's connection
	}
}

// answer returns the agent's answer to an inquiry about a flow that it does not know.
func (v *upstreamVM) answer() packet.FlowStatus { return v.answerAbout(1) }

// answerAbout returns the agent's answer to an inquiry about the flow with the given hash.
func (v *upstreamVM) answerAbout(hash uint64) (s packet.FlowStatus) {
	v.agent.flows.do(func(now time.Duration, t *flow.Table) {
		s = t.AnswerInquiry(now, &packet.Inquiry{From: 9, Number: 1, Flows: []uint64{hash}}).Statuses[0]
	})
	return s
}

var _ = Describe("An agent that starts beside its upstream", func() {
	var v *upstreamVM
	BeforeEach(func() { v = newUpstreamVM() })

	// Guards against open flows that are reset because an agent which restarted soon after
	// its upstream had started, or whose VM's clock was stepped back meanwhile, denies that
	// its upstream holds them.
	DescribeTable("does not deny unknown flows if an earlier agent ran beside the same upstream",
		func(restart time.Duration, planned, announcedFirst bool, clockAhead time.Duration) {
			v.startAgent(0)
			v.run(100 * time.Millisecond)
			v.announce(0, 1)
			sequence := int64(1)
			for v.now+announcementInterval < restart {
				v.run(announcementInterval)
				sequence++
				v.announce(0, sequence)
			}
			v.run(restart - v.now)
			Expect(v.agent.self().State).To(Equal(flow.Ready))
			if planned {
				v.agent.announce(flow.AgentRestarting)
				v.run(100 * time.Millisecond)
			}
			v.now += 100 * time.Millisecond
			v.startAgent(clockAhead)
			sequence++
			if announcedFirst {
				v.down = true
				v.announce(0, sequence)
				v.run(200 * time.Millisecond)
				Expect(v.answer()).To(Equal(packet.MaybeHeld), "no balancer has answered")
				v.down = false
			} else {
				v.run(200 * time.Millisecond)
				v.announce(0, sequence)
			}
			for range 10 {
				Expect(v.answer()).To(Equal(packet.MaybeHeld))
				v.run(stepInterval)
			}
		},
		Entry("crash after 0.5 s", 500*time.Millisecond, false, false, time.Duration(0)),
		Entry("crash after 0.5 s, announcement before the balancer's answer", 500*time.Millisecond, false, true, time.Duration(0)),
		Entry("planned, after 0.5 s", 500*time.Millisecond, true, false, time.Duration(0)),
		Entry("crash after 1.5 s", 1500*time.Millisecond, false, false, time.Duration(0)),
		Entry("planned, after 1.5 s, announcement before the balancer's answer", 1500*time.Millisecond, true, true, time.Duration(0)),
		Entry("crash after 20 s, clock stepped back by 25 s", 20*time.Second, false, false, -25*time.Second),
		Entry("planned, after 20 s, clock stepped back by 25 s", 20*time.Second, true, true, -25*time.Second),
	)

	// Guards against open flows that are reset because the earlier agent, which accepted them
	// while the whole fleet started, ended before the upstream's first announcement.
	It("does not deny unknown flows if an earlier agent ended before the first announcement", func() {
		v.startAgent(0)
		v.run(200 * time.Millisecond)
		v.startAgent(0)
		v.run(100 * time.Millisecond)
		v.announce(0, 1)
		v.run(stepInterval)
		Expect(v.answer()).To(Equal(packet.MaybeHeld))
	})

	// Guards against open flows that are reset because their upstream had restarted just before its
	// agent was stopped: the earlier agent passed SYNs to the new run before it was announced.
	It("does not deny unknown flows if the upstream restarted before the earlier agent ended", func() {
		v.startAgent(0)
		v.run(100 * time.Millisecond)
		v.announce(0, 1)
		v.run(10 * time.Second)
		born := v.now
		v.run(300 * time.Millisecond)
		v.now += 1200 * time.Millisecond
		v.startAgent(0)
		v.run(200 * time.Millisecond)
		v.announce(born, 3)
		v.run(stepInterval)
		Expect(v.answer()).To(Equal(packet.MaybeHeld))
	})

	// Guards against open flows that are reset because the balancer that answers first has just started and
	// does not know the earlier agent, which passed flows to the upstream's new run.
	It("does not deny unknown flows because a balancer that has just started knows no earlier agent", func() {
		born := v.now // the earlier agent, which ran until now, is not known to the balancer
		v.now += 300 * time.Millisecond
		v.startAgent(0)
		v.run(200 * time.Millisecond)
		v.announce(born, 3)
		v.run(stepInterval)
		Expect(v.answer()).To(Equal(packet.MaybeHeld))
	})

	// Guards against clients that wait for lost flows after a power failure because the
	// agents of upstreams without flows do not say so at once.
	DescribeTable("denies unknown flows at once after a power failure", func(recordsLost bool, announcedFirst bool) {
		v.startAgent(0)
		v.run(100 * time.Millisecond)
		v.announce(0, 1)
		v.run(2 * time.Second)
		v.now += time.Minute // without power
		if recordsLost {
			v.startBalancer()
		}
		v.startAgent(0)
		born := v.now
		if announcedFirst {
			v.announce(born, 1)
			v.run(stepInterval)
		} else {
			v.run(200 * time.Millisecond)
			v.announce(born, 1)
		}
		Expect(v.answer()).To(Equal(packet.NotHeld))
	},
		Entry("balancers know the record from before", false, false),
		Entry("balancers know the record from before, announcement first", false, true),
		Entry("balancers know nothing", true, false),
		Entry("balancers know nothing, announcement first", true, true),
	)
})

var _ = Describe("An agent that is stopped beside its running upstream", func() {
	// Guards against a planned restart that other processes take for a failure, after which
	// they reset the upstream's flows, because the only message about it was lost.
	It("announces its restart until a balancer confirms it", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		v := newUpstreamVM()
		v.address = listener.Addr().(*net.TCPAddr).AddrPort()
		v.startAgent(0)
		v.run(100 * time.Millisecond)
		v.announce(0, 1)
		v.run(500 * time.Millisecond)
		v.lost = 1
		v.agent.announceExit()
		r, _ := v.balancer.Table().Get("u1")
		Expect(r.State).To(Equal(flow.AgentRestarting))
	})
})

var _ = Describe("An agent whose upstream announces itself late", func() {
	// Guards against flows that are given up because the agent, without a sign of life of its
	// idle upstream, announces it as failed: that is a suspicion.
	It("announces it as failed, but keeps its flows", func() {
		v := newUpstreamVM()
		v.startAgent(0)
		v.run(100 * time.Millisecond)
		v.announce(0, 1)
		v.run(500 * time.Millisecond)
		k := packet.KeyOf(client, serviceAddr, packet.ProtoTCP)
		v.agent.flows.do(func(now time.Duration, t *flow.Table) {
			h := packet.Header{Kind: packet.KindData, Service: v.agent.service}
			Expect(t.Receive(now, &h, &packet.Info{Key: k, First: true, Flags: packet.FlagSYN}).Kind).To(Equal(flow.Deliver))
			t.HandleReply(now, &packet.Info{Key: k.Reverse(), Flags: packet.FlagACK})
		})
		held := func() packet.FlowStatus { return v.answerAbout(k.Hash()) }
		v.run(4 * announcementInterval)
		Expect(v.agent.self().State).To(Equal(flow.Failed))
		Expect(held()).To(Equal(packet.Held))
		v.announce(0, 2)
		Expect(v.agent.self().State).To(Equal(flow.Ready))
		Expect(held()).To(Equal(packet.Held))
	})
})
