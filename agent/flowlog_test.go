package agent

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/upstream"
)

var _ = Describe("The lines about a lost flow", func() {
	const service = 1
	var (
		log   bytes.Buffer
		a     *Agent
		table *flow.Table
		now   time.Duration
	)
	BeforeEach(func() {
		log.Reset()
		now = time.Second
		a = newAgent(settings.Agent{}, Options{}, event.NewLogger(&log), func() time.Duration { return now })
		self := flow.Upstream{ID: 1, Name: "self", Incarnation: 1, State: flow.Ready}
		table = flow.NewTable(flow.TableConfig{Rebuild: time.Second}, self, service, rand.New(rand.NewPCG(1, 2)))
		table.SetUpstreamStart(now, 100, true)
		// Names as long as those of VMs, so that the length of a line is realistic.
		list := []flow.Upstream{self}
		for i := range 9 {
			u := flow.Upstream{ID: packet.AgentID(i + 2), Name: fmt.Sprintf("side-lk-west-domain-c-%d", i), Incarnation: 1, State: flow.Ready}
			if i < 5 {
				u.State, u.StateSource = flow.Failed, flow.StateFromAgent
			}
			list = append(list, u)
		}
		table.SetPeers(now, list)
		table.SetPeersKnown(now)
		now += flow.AgentRestartTimeout // from then on the failed peers count as absent
	})

	// findLost makes the table find a flow lost and logs it.
	findLost := func() packet.Key {
		for port := uint16(1); !table.HasSuspects(); port++ {
			k := packet.Key{SrcPort: port, DstPort: 443, Proto: packet.ProtoTCP}
			h := packet.Header{Kind: packet.KindData, Service: service, Class: packet.NewClass(1, time.Second, true)}
			table.Receive(now, &h, &packet.Info{Key: k, Flags: packet.FlagACK})
		}
		for end := now + 4*time.Second; now < end; now += 30 * time.Millisecond {
			lost, out, _ := table.CheckSuspects(now)
			if len(lost) > 0 {
				e := table.LossEvidence(now, 0)
				a.logLost(now, table, &lost[0].Key, &e)
				return lost[0].Key
			}
			for _, q := range out {
				for i := range 4 {
					table.HandleInquiryAnswer(now, &packet.InquiryAnswer{From: packet.AgentID(i + 7), Number: q.Inquiry.Number, Statuses: []packet.FlowStatus{packet.NotHeld}})
				}
			}
		}
		Fail("no flow was found lost")
		return packet.Key{}
	}

	// Guards against a reset whose line does not tell on which evidence about which peers it was sent.
	It("name the evidence, and count it by rule", func() {
		findLost()
		Expect(log.String()).To(MatchRegexp(`event=1814 .*cause=inquiry .*complete=rebuilt peers=9 .*may_repeat=true denied=4 ` +
			`denied_by="side-lk-west-domain-c-5 side-lk-west-domain-c-6 [^"]*" excluded=5 ` +
			`excluded_as="side-lk-west-domain-c-0 rule=failed state=failed for=20\.\d+ from=agent heard=never inquired; [^"]*"`))
		Expect(a.counters.lost[flow.ExcludedFailed].Count()).To(BeEquivalentTo(1))
		Expect(a.counters.lost[flow.ExcludedSilent].Count()).To(BeZero())
	})

	// Guards against lines that are cut because a batch of the log does not hold them.
	It("stay below 1 KB", func() {
		findLost()
		for line := range strings.Lines(log.String()) {
			Expect(len(line)).To(BeNumerically("<", 1<<10))
		}
	})

	// Guards against a repeated reset that reads like another loss.
	It("tell a reset for a recorded flow from the first one", func() {
		k := findLost()
		log.Reset()
		now += 250 * time.Millisecond
		h := packet.Header{Kind: packet.KindData, Service: service}
		in := packet.Info{Key: k, Flags: packet.FlagACK}
		action := table.Receive(now, &h, &in)
		Expect(action.Kind).To(Equal(flow.Reset))
		a.logUnownedPacket(now, table, &in, &h, &action)
		Expect(log.String()).To(MatchRegexp(`event=1814 .*cause=inquiry .*recorded=0.25\n$`))
		Expect(log.String()).NotTo(ContainSubstring("excluded_as"))
	})
})

// Guards against a probe and its return by the upstream that read
// alike, so that nobody can tell at which upstreams a flow's packets ended.
var _ = DescribeTable("The line of a packet of an unknown flow tells", func(action flow.Action, returned bool, want string) {
	var log bytes.Buffer
	a := newAgent(settings.Agent{}, Options{}, event.NewLogger(&log), func() time.Duration { return 0 })
	table := flow.NewTable(flow.TableConfig{Rebuild: time.Second}, flow.Upstream{ID: 1}, 1, rand.New(rand.NewPCG(1, 2)))
	table.StartRebuild(0)
	table.SetUpstreamStart(0, 100, true)
	a.logUnownedPacket(0, table, &packet.Info{Returned: returned}, &packet.Header{Tried: 2}, &action)
	Expect(log.String()).To(MatchRegexp("event=1815 .*outcome=" + want + " .*tried=2 .*complete=started_with_agent"))
},
	Entry("a probe", flow.Action{Kind: flow.Deliver, Probe: true}, false, `"delivered as a probe"`),
	Entry("a packet that the upstream has returned", flow.Action{Kind: flow.Forward, OwnerKnown: true}, true, `"returned by the upstream and forwarded" .*known=true`),
	Entry("a returned packet without another agent", flow.Action{Kind: flow.Drop, Reason: flow.ReasonNoOwner}, true, `"returned by the upstream and dropped" .*reason=no_owner`),
)

// Guards against an upstream that its agent calls failed without a reason: if announcements are
// missing it may still hold flows, if a connection was refused it holds none.
var _ = DescribeTable("The agent's own word on a failed upstream has a reason", func(report func(*upstream.Tracker), want string) {
	tracker := upstream.NewTracker(upstream.Config{Service: "portal", AnnouncementInterval: time.Second})
	report(tracker)
	now := 10 * time.Second
	Expect(tracker.State(now)).To(Equal(flow.Failed))
	Expect(stateReason(tracker, tracker.State(now))).To(Equal(want))
},
	Entry("no announcement", func(*upstream.Tracker) {}, "never announced"),
	Entry("announcements that have ended", func(t *upstream.Tracker) {
		Expect(t.HandleAnnouncement(time.Second, upstream.Announcement{ID: "i", Service: "portal"})).To(Succeed())
	}, "announcements missed"),
	Entry("a refused connection", func(t *upstream.Tracker) { t.MarkStopped(0) }, "connection refused"),
)

// Guards against a hand-off or a refusal that the log does not explain by the order to evacuate.
var _ = DescribeTable("The line of a first packet tells of an evacuation", func(action flow.Action, want string) {
	var log bytes.Buffer
	a := newAgent(settings.Agent{}, Options{}, event.NewLogger(&log), func() time.Duration { return 0 })
	table := flow.NewTable(flow.TableConfig{}, flow.Upstream{ID: 1}, 1, rand.New(rand.NewPCG(1, 2)))
	a.logFirstPacket(0, table, &packet.Info{First: true}, &packet.Header{}, &action, 0)
	Expect(log.String()).To(MatchRegexp(want))
},
	Entry("a hand-off", flow.Action{Kind: flow.Forward, Reason: flow.ReasonEvacuated}, "event=1811 .*reason=evacuated"),
	Entry("another hand-off", flow.Action{Kind: flow.Forward}, `event=1811 .*waited=0\n$`),
	Entry("a refusal", flow.Action{Kind: flow.Reset, Reason: flow.ReasonEvacuated}, "event=1813 .*reason=evacuated reset=true"),
)
