package flow

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/nutmegtrack/nutmegtrack/internal/spec"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

func TestFlow(t *testing.T) { spec.Run(t, "flow") }

const (
	testService  = packet.ServiceID(1)
	otherService = packet.ServiceID(2)
)

var (
	testOrigin  = netip.MustParseAddrPort("10.254.0.1:4000")
	testAddress = netip.MustParseAddrPort("192.0.2.1:443")
)

// rig is a service of agents a, b, c, ... whose messages are delivered without delay.
type rig struct {
	now          time.Duration
	list         []Upstream
	agents       map[packet.AgentID]*Table
	owners       map[packet.Key]packet.AgentID // recorded as Observer
	opened       map[packet.Key]time.Duration  // time of the first SYN
	secondOwners int                           // flows accepted while they had an owner
	removed      []RemovedFlow                 // recorded as TableConfig.OnRemoved
	loseMessage  func() bool
}

func newRig(n int, cfg TableConfig) *rig {
	r := &rig{agents: map[packet.AgentID]*Table{}, owners: map[packet.Key]packet.AgentID{}, opened: map[packet.Key]time.Duration{}, loseMessage: func() bool { return false }}
	cfg.Observer = r
	cfg.OnRemoved = func(f *RemovedFlow) { r.removed = append(r.removed, *f) }
	for i := range n {
		name := string(rune('a' + i))
		u := Upstream{ID: packet.AgentIDOf(name), Name: name, Incarnation: uint64(i + 1), State: Ready,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 255, 0, byte(i)}), 4000)}
		r.list = append(r.list, u)
		r.agents[u.ID] = NewTable(cfg, u, testService, rand.New(rand.NewPCG(1, uint64(i))))
	}
	r.announce()
	return r
}

func (r *rig) FlowTaken(agent packet.AgentID, k *packet.Key) {
	if r.owners[*k] != 0 {
		r.secondOwners++
	}
	r.owners[*k] = agent
}

func (r *rig) FlowEnded(_ packet.AgentID, k *packet.Key) { delete(r.owners, *k) }

// announce installs the current list of upstreams in all agents.
func (r *rig) announce() {
	for _, u := range r.list {
		r.agents[u.ID].SetPeers(r.now, r.list)
	}
}

func (r *rig) setState(name string, s State) {
	for i := range r.list {
		if r.list[i].Name == name {
			r.list[i].State = s
			r.agents[r.list[i].ID].SetState(r.now, s)
		}
	}
}

// run steps all agents each second and delivers their messages.
func (r *rig) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += time.Second
		for _, u := range r.list {
			for _, m := range r.agents[u.ID].Step(r.now) {
				if !r.loseMessage() {
					r.agents[m.To].Handle(r.now, m)
				}
			}
		}
	}
}

// ranking returns the upstreams in the flow's order of preference.
func (r *rig) ranking(k packet.Key) []Upstream {
	var out []Upstream
	for _, u := range r.list {
		i := 0
		for i < len(out) && score(k.Hash(), seedOf(out[i].ID)) > score(k.Hash(), seedOf(u.ID)) {
			i++
		}
		out = append(out[:i], append([]Upstream{u}, out[i:]...)...)
	}
	return out
}

// send sends a packet to an agent and follows it until it is delivered or dropped. It returns
// the names of the visited agents and the last action.
func (r *rig) send(first Upstream, in packet.Info) (string, Action) {
	h := packet.Header{Kind: packet.KindData, Service: testService, Origin: testOrigin}
	id, path := first.ID, ""
	for {
		t := r.agents[id]
		path += t.self.Name
		a := t.Receive(r.now, &h, &in)
		if a.Kind != Forward {
			return path, a
		}
		Expect(a.Addr).To(Equal(r.agents[a.To].self.Addr))
		id = a.To
	}
}

// key returns the n-th client's flow.
func key(n int, proto uint8) packet.Key {
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5000)
	return packet.KeyOf(client, testAddress, proto)
}

// keyRanked returns a flow whose ranking begins with the named upstreams.
func (r *rig) keyRanked(proto uint8, names ...string) packet.Key {
	for n := range 1 << 16 {
		k := key(n, proto)
		ranking, match := r.ranking(k), true
		for i, name := range names {
			match = match && ranking[i].Name == name
		}
		if match {
			return k
		}
	}
	panic(fmt.Sprint("no flow ranks first ", names))
}

func (r *rig) named(name string) Upstream {
	for _, u := range r.list {
		if u.Name == name {
			return u
		}
	}
	panic("no upstream " + name)
}

func syn(k packet.Key) packet.Info  { return packet.Info{Key: k, First: true, Flags: packet.FlagSYN} }
func data(k packet.Key) packet.Info { return packet.Info{Key: k, Flags: packet.FlagACK} }
func udp(k packet.Key) packet.Info  { return packet.Info{Key: k, First: true} }
