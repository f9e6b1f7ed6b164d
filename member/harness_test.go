package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/fake"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

// protocol is what Node and Announcer have in common.
type protocol interface {
	Step(now time.Duration) []member.Call
	Handle(now time.Duration, m member.Message) member.Message
	Reply(now time.Duration, c member.Call, m member.Message)
	Unreachable(now time.Duration, c member.Call)
	SetState(now time.Duration, s flow.State)
	Table() *member.Table
	Self() member.Record
}

// fleet runs balancers and agents over a fake network.
type fleet struct {
	net       *fake.Network
	seed      uint64
	balancers map[string]*member.Node
	agents    map[string]*member.Announcer
	seeds     []netip.AddrPort
	bytes     int // both directions of all messages
}

func newFleet(seed uint64) *fleet {
	f := &fleet{net: fake.NewNetwork(seed), seed: seed,
		balancers: make(map[string]*member.Node), agents: make(map[string]*member.Announcer)}
	f.net.Faults = fake.Faults{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond}
	f.net.Observe = func(_, _ netip.AddrPort, m any) {
		if message, ok := m.(member.Message); ok {
			f.bytes += message.Size()
		}
	}
	return f
}

// control derives a process's control address from its name, as a restarted VM
// keeps its address.
func control(name string) netip.AddrPort {
	h := uint32(0)
	for _, c := range []byte(name) {
		h = h*31 + uint32(c)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(h >> 16), byte(h >> 8), byte(h)}), 7000)
}

func (f *fleet) record(name, service, domain string) member.Record {
	return member.Record{Name: name, Service: service, FailureDomain: domain, Epoch: 1, Version: 1, State: flow.Ready,
		Control: control(name), Data: control(name), Slots: 5, Connections: 2000,
		Endpoints: []flow.Endpoint{{Addr: netip.MustParseAddrPort("192.0.2.1:80"), Proto: 6}}}
}

func (f *fleet) rng() *rand.Rand {
	f.seed++
	return rand.New(rand.NewPCG(f.seed, 1))
}

func (f *fleet) attach(p protocol) {
	at, domain := p.Self().Control, p.Self().FailureDomain
	// A protocol's time starts with its process.
	start := f.net.Now()
	now := func() time.Duration { return f.net.Now() - start }
	f.net.Attach(at, domain, func(_ time.Duration, _ netip.AddrPort, m any) any {
		return p.Handle(now(), m.(member.Message))
	})
	f.net.Every(at, 100*time.Millisecond, func() {
		for _, c := range p.Step(now()) {
			f.net.Request(at, c.To, c.Request, func(reply any, ok bool) {
				if ok {
					p.Reply(now(), c, reply.(member.Message))
				} else {
					p.Unreachable(now(), c)
				}
			})
		}
	})
}

func (f *fleet) balancer(name, domain string) *member.Node {
	r := f.record(name, "", domain)
	r.Endpoints = nil
	n := member.NewNode(member.Config{Seeds: f.seeds}, r, f.rng())
	f.balancers[name] = n
	f.attach(n)
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, r.Control)
	}
	return n
}

func (f *fleet) agent(name, service, domain string) *member.Announcer {
	a := member.NewAnnouncer(member.Config{Seeds: f.seeds}, f.record(name, service, domain), f.rng())
	f.agents[name] = a
	f.attach(a)
	return a
}

// kill stops a process without notice.
func (f *fleet) kill(name string) {
	f.net.Detach(control(name))
	delete(f.balancers, name)
	delete(f.agents, name)
}

// start runs balancers and upstreams spread over three failure domains until
// they know each other.
func (f *fleet) start(balancers, upstreams int) {
	for i := range balancers {
		f.balancer(fmt.Sprintf("b%d", i), fmt.Sprintf("fd%d", i%3))
	}
	for i := range upstreams {
		f.agent(fmt.Sprintf("u%d", i), "portal", fmt.Sprintf("fd%d", i%3))
	}
	f.net.Run(15 * time.Second)
	f.expectConverged()
}

// expectConverged checks that all balancers hold equal tables that name exactly
// the running processes as alive, and that agents know their peers.
func (f *fleet) expectConverged() {
	GinkgoHelper()
	for name, n := range f.balancers {
		for other, p := range f.all() {
			r, _ := n.Table().Get(other)
			Expect(r).To(Equal(p.Self()), "%s as seen by %s", other, name)
		}
		for _, r := range n.Table().Records() {
			if _, running := f.all()[r.Name]; !running {
				Expect(r.Gone()).To(BeTrue(), "%s as seen by %s", r.Name, name)
			}
		}
	}
	for name, a := range f.agents {
		for other, p := range f.agents {
			r, _ := a.Table().Get(other)
			Expect(r).To(Equal(p.Self()), "%s as seen by %s", other, name)
		}
	}
}

func (f *fleet) all() map[string]protocol {
	out := make(map[string]protocol)
	for name, n := range f.balancers {
		out[name] = n
	}
	for name, a := range f.agents {
		out[name] = a
	}
	return out
}

// states returns the state of a process as each balancer sees it.
func (f *fleet) states(name string) []flow.State {
	var out []flow.State
	for _, n := range f.balancers {
		r, _ := n.Table().Get(name)
		out = append(out, r.State)
	}
	return out
}
