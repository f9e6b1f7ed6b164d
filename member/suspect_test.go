package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

var _ = Describe("An agent that restarts beside its upstream", func() {
	// Guards against open flows of a sound upstream that are reset during a planned restart
	// of its agent, because the agent was marked as failed before its restart was overdue.
	It("is not marked as failed before the restart is overdue, and is afterwards", func() {
		for seed := range uint64(5) {
			f := newFleet(40 + seed)
			f.start(6, 7)
			f.setState("u0", flow.AgentRestarting)
			for !f.agents["u0"].Confirmed() {
				f.net.Run(10 * time.Millisecond)
			}
			announced := f.net.Now()
			f.kill("u0")
			f.net.Run(time.Second)
			f.every(func() {
				Expect(f.states("u0")).To(HaveEach(flow.AgentRestarting), "after %v", f.net.Now()-announced)
			}, flow.AgentRestartTimeout-1200*time.Millisecond)
			f.net.Run(10 * time.Second)
			Expect(f.states("u0")).To(HaveEach(flow.Failed))
		}
	})

	// Guards against a mark that was decided just before the announcement of the restart and
	// overrides it, and against an announcement that is lost for the processes it reaches late.
	It("overrides a concurrent mark as failed", func() {
		f := newFleet(50)
		f.segments["u0"] = "island"
		f.start(6, 7)
		f.net.Cut("island", "fd0")
		f.net.Cut("island", "fd1")
		f.net.Cut("island", "fd2")
		f.net.Run(10 * time.Second)
		Expect(f.states("u0")).To(HaveEach(flow.Failed))
		// The agent does not know of the mark.
		f.net.Heal()
		f.setState("u0", flow.AgentRestarting)
		for !f.agents["u0"].Confirmed() {
			f.net.Run(10 * time.Millisecond)
		}
		f.kill("u0")
		f.net.Run(2 * time.Second)
		Expect(f.states("u0")).To(HaveEach(flow.AgentRestarting))
		for name, a := range f.agents {
			r, _ := a.Table().Get("u0")
			Expect(r.State).To(Equal(flow.AgentRestarting), name)
		}
	})

	// Guards against an arbiter that has learned of the restart only with the claim's
	// record, and against claims by balancers that have not learned of it.
	It("is not marked by a claim on its record from before the restart", func() {
		f := newFleet(60)
		now := time.Duration(0)
		n := member.NewNode(member.Config{}, f.record("b1", "", "a"), f.rng())
		ready := f.record("u1", "portal", "a")
		ready.Incarnation = 7
		restarting := ready
		restarting.State, restarting.Version = flow.AgentRestarting, ready.Version+1
		claim := func(r member.Record) flow.State {
			n.Handle(now, member.Message{Kind: member.KindClaim, Records: []member.Record{r}, Name: r.Name,
				Observers: []string{"10.0.0.2:1", "10.0.0.3:1"}})
			known, _ := n.Table().Get(r.Name)
			return known.State
		}
		n.Load(now, []member.Record{restarting, f.record("u2", "portal", "a")})
		Expect(claim(ready)).To(Equal(flow.AgentRestarting))
		now = flow.AgentRestartTimeout - 1
		Expect(claim(restarting)).To(Equal(flow.AgentRestarting))
		now = flow.AgentRestartTimeout
		Expect(claim(ready)).To(Equal(flow.AgentRestarting))
		Expect(claim(restarting)).To(Equal(flow.Failed))
	})
})

var _ = Describe("A balancer that pings a suspected agent", func() {
	var (
		n      *member.Node
		now    time.Duration
		agent  member.Record
		prober = netip.MustParseAddrPort("10.0.0.9:7000")
	)
	probe := func() member.Message {
		return member.Message{Kind: member.KindProbe, From: prober, Name: agent.Name, Target: agent.Control}
	}
	// step advances the time and returns the pings of the agent and the verdicts that are sent.
	step := func() (pings []member.Call, verdicts []bool) {
		now += 100 * time.Millisecond
		for _, c := range n.Step(now) {
			switch c.Request.Kind {
			case member.KindPing:
				pings = append(pings, c)
			case member.KindVerdict:
				verdicts = append(verdicts, c.Request.Alive)
			}
		}
		return pings, verdicts
	}
	heartbeat := func() {
		a := member.NewAnnouncer(member.Config{Seeds: []netip.AddrPort{n.Self().Control}}, agent, rand.New(rand.NewPCG(1, 1)))
		for _, c := range a.Step(0) {
			n.Handle(now, c.Request)
		}
	}
	BeforeEach(func() {
		f := newFleet(1)
		now = 0
		n = member.NewNode(member.Config{}, f.record("b1", "", "a"), f.rng())
		agent = f.record("u1", "portal", "a")
		agent.Incarnation = 7
		other := f.record("b2", "", "b")
		other.Role = member.RoleBalancer
		n.Load(now, []member.Record{agent, other})
	})
	// suspect lets the silence of the agent become a suspicion, and returns its first ping.
	suspect := func() member.Call {
		heartbeat()
		for range 100 {
			if pings, _ := step(); len(pings) > 0 {
				Expect(pings).To(HaveLen(1))
				return pings[0]
			}
		}
		Fail("the agent is never suspected")
		return member.Call{}
	}

	// Guards against two pings at the same moment, one of the balancer itself and one for
	// another balancer, that count as two failed attempts: an agent that was not scheduled for
	// one time-out would count as unreachable.
	It("counts only pings that follow each other as attempts", func() {
		first := suspect()
		n.Handle(now, probe())
		pings, _ := step()
		Expect(pings).To(BeEmpty(), "a ping is in progress")
		n.Unreachable(now, first)
		pings, verdicts := step()
		Expect(pings).To(HaveLen(1))
		Expect(verdicts).To(BeEmpty())
		n.Handle(now, probe())
		n.Unreachable(now, pings[0])
		pings, verdicts = step()
		Expect(pings).To(BeEmpty())
		Expect(verdicts).To(Equal([]bool{false, false}), "both requests, after two attempts")
	})

	// Guards against a verdict that an agent is unreachable although its heartbeat arrived
	// during the check, as from an agent whose processor was busy.
	It("considers an agent alive whose heartbeat arrives during the check", func() {
		n.Handle(now, probe())
		pings, _ := step()
		n.Unreachable(now, pings[0])
		pings, _ = step()
		heartbeat()
		n.Unreachable(now, pings[0])
		_, verdicts := step()
		Expect(verdicts).To(Equal([]bool{true}))
	})

	// Guards against a check that never ends, and blocks all later ones of the same process,
	// because the address to ping is this balancer's own or none.
	It("ignores a request to ping itself", func() {
		for _, target := range []netip.AddrPort{n.Self().Control, {}} {
			m := probe()
			m.Target = target
			n.Handle(now, m)
		}
		n.Handle(now, probe())
		pings, _ := step()
		Expect(pings).To(HaveLen(1))
	})
})

var _ = Describe("Agents whose VMs pause for moments", func() {
	// Guards against marks of live agents: a mark needs silence for Config.SuspectAfter and two
	// balancers whose consecutive pings have failed, which pauses of 50 to 900 ms do not give.
	It("are not marked as failed", func() {
		for seed := range uint64(10) {
			f := newFleet(70 + seed)
			for i := range 7 {
				f.segments[fmt.Sprintf("u%d", i)] = fmt.Sprintf("pausing%d", i%2)
			}
			f.start(6, 7)
			rng := f.rng()
			for end := f.net.Now() + 2*time.Minute; f.net.Now() < end; {
				segment := fmt.Sprintf("pausing%d", rng.IntN(2))
				for domain := range 3 {
					f.net.Cut(segment, fmt.Sprintf("fd%d", domain))
				}
				f.net.Run(time.Duration(50+rng.IntN(851)) * time.Millisecond)
				f.net.Heal()
				f.net.Run(time.Duration(rng.IntN(1000)) * time.Millisecond)
				for name := range f.agents {
					Expect(f.states(name)).NotTo(ContainElement(flow.Failed), "%s, seed %d, %v", name, 70+seed, f.net.Now())
				}
			}
		}
	})
})
